// The entry VM's daemon. It connects EntryCore, which makes the decisions, to
// the network: HTTP servers for callers and peers, an HTTP client for backend
// servers and other entry VMs, and the synchronisation with the control VMs.

#ifndef MIMOSASHUNT_ENTRY_ENTRYDAEMON_H
#define MIMOSASHUNT_ENTRY_ENTRYDAEMON_H

#include "Core/EntryCore.h"
#include "Core/EntryPort.h"
#include "Daemon/ConnectionMetrics.h"
#include "Daemon/Logging.h"
#include "Daemon/Metrics.h"
#include "Daemon/Tracing.h"
#include "Entry/EntrySettings.h"
#include "Entry/RequestHeaders.h"
#include "Entry/SyncTask.h"
#include "Links/EventLoop.h"
#include "Links/HttpClient.h"
#include "Links/HttpServer.h"

#include <map>
#include <memory>
#include <string>

namespace mimosashunt {

/// Runs one entry VM. Everything but stop() belongs to the thread that calls
/// run().
class EntryDaemon : private EntryPort {
public:
  explicit EntryDaemon(EntrySettings Settings);
  ~EntryDaemon() override;

  /// Opens the listening sockets. Fails with LinkError::CannotListen.
  std::error_code listen();

  /// Serves until a graceful stop has drained the requests in flight.
  void run();

  /// Starts a graceful stop. Callable from any thread.
  void stop();

private:
  /// A request without a final outcome, and the exchange that awaits it.
  struct PendingRequest {
    std::shared_ptr<HttpExchange> Exchange;
    QueuePath Path;
    SpanPtr Span;
    Instant ReceivedAt;
  };

  /// Handles every request on the callers' address.
  void handleCallerRequest(const std::shared_ptr<HttpExchange> &Exchange);
  /// Handles every request on the peers' address.
  void handlePeerRequest(const std::shared_ptr<HttpExchange> &Exchange);
  /// Answers /healthz and /readyz. Returns false for any other path.
  bool handleHealthProbe(const std::shared_ptr<HttpExchange> &Exchange);
  /// Handles a backend server's announcement, which is also its heartbeat.
  void handleAnnouncement(const std::shared_ptr<HttpExchange> &Exchange);
  /// Accepts a page of request records from another entry VM.
  void handleRecordTransfer(const std::shared_ptr<HttpExchange> &Exchange);
  /// Submits a request to a queue. \p FromPeer is true if another entry VM
  /// forwarded it.
  void handleQueueRequest(const std::shared_ptr<HttpExchange> &Exchange,
                          bool FromPeer);

  // EntryPort.
  void dispatchAttempt(const Dispatch &Attempt) override;
  void forwardRequest(const Forward &Target) override;
  void sendRecords(const RecordTransfer &Transfer) override;
  void finishRequest(LocalRequestId Id, const Outcome &Result) override;

  /// Sends a request as HttpClient::send() does. An address that cannot be
  /// parsed is logged and counts as not sent to.
  void sendTo(const std::string &Address, const HttpRequest &Request,
              Duration Timeout, const HttpClient::Callback &OnDone,
              HttpClient::Guard MaySend = {});

  /// Reports to the core how an attempt ended.
  void onAttemptResponse(const AttemptId &Id, const HttpResult &Result);
  /// Reports to the core how a forwarded request ended.
  void onForwardResponse(LocalRequestId Id, const HttpResult &Result);

  /// Sends a report to the leading control VM unless one is in flight.
  void onSyncTimer();
  void beginStop();
  /// Ends the event loop once no request is in flight. Idle connections of
  /// callers, and records that no other entry VM has accepted, delay this only
  /// up to a timeout.
  void stopIfDrained();
  /// Updates the metrics' gauges, and logs changes of the configuration
  /// revision and of readiness.
  void updateGauges();

  const EntrySettings Settings;
  const Log Logger;
  EventLoop Loop;
  Metrics Registry;
  Tracing Tracer;
  HttpServer CallerServer;
  HttpServer PeerServer;
  ConnectionMetrics Connections;
  HttpClient Client;
  EntryCore Core;
  SyncTask Sync;
  std::map<LocalRequestId, PendingRequest> PendingRequests;
  LocalRequestId LastRequestId = 0; // Ids are never reused.
  bool SyncPending = false;         // A report is in flight.
  bool Stopping = false;
  bool LoggedReady = false;
  Revision LoggedRevision = 0;
  Instant StopStartedAt;
  prometheus::Summary &RequestLatency;
  prometheus::Gauge &ActiveRevisionGauge;
  prometheus::Gauge &LeaseValidGauge;
  prometheus::Gauge &WaitingGauge;
  prometheus::Gauge &RunningGauge;
  prometheus::Gauge &RetriesGauge;
  prometheus::Gauge &ForwardsGauge;
  /// Keyed by the outcome's name, with the reason of a refusal appended.
  std::map<std::string, prometheus::Counter *> OutcomeCounters;
};

} // namespace mimosashunt

#endif
