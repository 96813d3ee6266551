// The control VM's daemon. It owns the administration server, the screen
// streams, the platform client and the control task, and passes messages
// between them.

#ifndef MIMOSASHUNT_CONTROL_CONTROLDAEMON_H
#define MIMOSASHUNT_CONTROL_CONTROLDAEMON_H

#include "Control/ControlSettings.h"
#include "Control/ControlTask.h"
#include "Control/PlatformClient.h"
#include "Daemon/ConnectionMetrics.h"
#include "Daemon/Logging.h"
#include "Daemon/Metrics.h"
#include "Daemon/Tracing.h"
#include "Links/EventLoop.h"
#include "Links/HttpServer.h"

#include <memory>
#include <string>
#include <vector>

namespace mimosashunt {

/// Serves HTTP on its own event loop; the replicated state lives on the thread
/// of the control task, which is reached by posting functions to it.
class ControlDaemon {
public:
  explicit ControlDaemon(ControlSettings Settings);

  /// Opens the data folder and the sockets. On failure \p FaultyKey names the
  /// setting at fault.
  std::error_code open(std::string &FaultyKey);

  /// Serves requests until stop() is called. Returns false if the disk failed.
  bool run();

  /// Starts a graceful shutdown. May be called from any thread.
  void stop();

private:
  /// State of the control task that metrics and screens show.
  struct StatusSample {
    bool IsLeader = false;
    uint64_t Term = 0;
    uint64_t CommitIndex = 0;
    uint64_t Revision = 0;
    size_t VoterCount = 0;
    /// The fleet view in JSON; empty if no screen is connected.
    std::string FleetJson;
    /// URL of the leader's screen; empty if this VM leads or none is known.
    std::string LeaderScreenUrl;
  };

  void handleRequest(const std::shared_ptr<HttpExchange> &Exchange);
  /// Starts an event stream for a screen that may watch, else answers 401.
  void openScreenStream(const std::shared_ptr<HttpExchange> &Exchange);
  /// Drops closed streams and requests a sample from the control task.
  void sampleStatus();
  /// Updates the metrics and sends the sample to the screens.
  void publishStatus(const StatusSample &Sample);
  /// Ends the screen streams and stops accepting connections.
  void beginShutdownOnLoop();
  /// Stops the loop once all responses are sent or the shutdown has timed out.
  void stopLoopWhenDrained();

  const ControlSettings Settings;
  const Log Logger;
  EventLoop Loop;
  Metrics ProcessMetrics;
  Tracing Tracer;
  HttpServer Admin;
  ConnectionMetrics Connections;
  PlatformClient Platform;
  ControlTask Task;
  std::vector<std::shared_ptr<HttpExchange>> ScreenStreams;
  bool IsStopping = false;
  bool HasDiskFailed = false;
  Instant ShutdownStartedAt;
  prometheus::Gauge &LeadsGauge;
  prometheus::Gauge &TermGauge;
  prometheus::Gauge &CommitIndexGauge;
  prometheus::Gauge &RevisionGauge;
  prometheus::Gauge &VotersGauge;
};

} // namespace mimosashunt

#endif
