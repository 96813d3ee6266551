// The entry VM's daemon: HTTP servers for callers and peers, the client towards
// backend servers and other entry VMs, and the decisions between them.

#ifndef MIMOSASHUNT_ENTRY_ENTRYDAEMON_H
#define MIMOSASHUNT_ENTRY_ENTRYDAEMON_H

#include "Core/EntryCore.h"
#include "Core/EntryPort.h"
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

class EntryDaemon : private EntryPort {
public:
  explicit EntryDaemon(EntrySettings Settings);
  ~EntryDaemon() override;

  /// Opens the listening sockets. Fails with LinkError::CannotListen.
  std::error_code listen();

  /// Serves until stop() has let everything finish.
  void run();

  /// Begins a graceful stop; callable from any thread.
  void stop();

private:
  struct Call {
    std::shared_ptr<HttpExchange> Exchange;
    QueuePath Path;
    SpanPtr Span;
    Instant Received;
  };

  void onCaller(const std::shared_ptr<HttpExchange> &Exchange);
  void onPeer(const std::shared_ptr<HttpExchange> &Exchange);
  bool onStatusPage(const std::shared_ptr<HttpExchange> &Exchange);
  void onAnnouncement(const std::shared_ptr<HttpExchange> &Exchange);
  void onHandOver(const std::shared_ptr<HttpExchange> &Exchange);
  void onQueue(const std::shared_ptr<HttpExchange> &Exchange, bool FromPeer);

  void dispatchAttempt(const Dispatch &Order) override;
  void forwardRequest(const Forward &Order) override;
  void sendRecords(const RecordTransfer &Order) override;
  void finishRequest(LocalRequestId Id, const Outcome &Result) override;
  void dispatched(const AttemptId &Attempt, const HttpResult &Result);
  void forwarded(LocalRequestId Id, const HttpResult &Result);

  void onSyncTimer();
  void beginStop();
  void checkStopped();
  void updateGauges();

  const EntrySettings Settings;
  const Log Logger;
  EventLoop Loop;
  Metrics Measured;
  Tracing Tracer;
  HttpServer Callers;
  HttpServer Peers;
  HttpClient Client;
  EntryCore Core;
  SyncTask Sync;
  std::map<LocalRequestId, Call> Calls;
  LocalRequestId LastWork = 0;
  bool SyncPending = false;
  bool Stopping = false;
  bool WasReady = false;
  Revision LoggedRevision = 0;
  Instant StopBegan;
  prometheus::Summary &Latency;
  prometheus::Gauge &InForce;
  prometheus::Gauge &LeaseValid;
  prometheus::Gauge &Waiting;
  prometheus::Gauge &Running;
  prometheus::Gauge &RetriesMade;
  prometheus::Gauge &ForwardsMade;
  std::map<std::string, prometheus::Counter *> Outcomes;
};

} // namespace mimosashunt

#endif
