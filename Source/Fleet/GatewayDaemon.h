// The gateway, the job path's daemon on an entry VM: decodes callers' requests,
// checks their queue, key and body against the configuration in force and
// forwards them to the leader. It stores nothing on disk and acknowledges only
// what the leader has committed.

#ifndef MIMOSASHUNT_FLEET_GATEWAYDAEMON_H
#define MIMOSASHUNT_FLEET_GATEWAYDAEMON_H

#include "Daemon/ConnectionMetrics.h"
#include "Daemon/Metrics.h"
#include "Fleet/Codecs.h"
#include "Fleet/EventLog.h"
#include "Fleet/FleetSettings.h"
#include "Fleet/LeaderLink.h"
#include "Fleet/SettingsWatcher.h"
#include "Links/EventLoop.h"
#include "Links/HttpServer.h"

#include <memory>
#include <string>

namespace mimosashunt {

/// Serves callers, readiness probes and metrics on one event loop.
class GatewayDaemon {
public:
  GatewayDaemon(FleetSettings Settings, std::string SettingsFile,
                EventLoop &Loop, const ConfigurationReader &Reader,
                const CallerCodec &Codec);
  ~GatewayDaemon();

  /// Opens the sockets. On failure \p Key is the settings key with the address
  /// that could not be opened.
  std::error_code open(std::string &Key);
  /// Serves until stop() completes.
  void run();
  /// Begins a graceful stop; callable from any thread.
  void stop();
  /// Reads the settings file again; callable from any thread.
  void reload();

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;

  void handleCallerRequest(const ExchangePtr &Exchange);
  void refuse(const ExchangePtr &Exchange, const CallRefusal &Refusal);
  void handleReadinessProbe(const ExchangePtr &Exchange);
  void forwardToLeader(const ExchangePtr &Exchange, const JobRequest &Request);
  /// Applies the limits of callers that the configuration in force names.
  void applyCallerLimits();
  std::string metricsText();
  void beginStop();
  /// Closes the callers' server once the balancer sends no more, and ends the
  /// event loop once all calls are answered or the grace period is almost over.
  void continueStop();

  const FleetSettings Settings;
  const std::string SettingsFile;
  EventLoop &Loop;
  const CallerCodec &Codec;
  EventLog Events;
  Metrics Registry;
  LeaderLink Link;
  HttpServer CallerServer;
  HttpServer ReadinessServer;
  HttpServer MetricsServer;
  ConnectionMetrics Connections;
  uint64_t LimitsVersion = 0; // Of the configuration whose limits apply.
  TimerId ReportTimer = 0;
  std::unique_ptr<SettingsWatcher> Watcher;
  bool Stopping = false;
  bool ShutdownBegun = false; // CallerServer accepts no more connections.
  Instant StopStartedAt;
  prometheus::Summary &CallDurationSummary;
};

} // namespace mimosashunt

#endif
