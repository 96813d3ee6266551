#include "Entry/EntryDaemon.h"

#include "Daemon/ServerOptions.h"
#include "Entry/OutcomeCodec.h"
#include "Entry/RequestHeaders.h"
#include "Links/SystemTime.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration StopCheckInterval = milliseconds(50);
constexpr Duration GaugeInterval = milliseconds(500);
/// Added to the core's deadline for HTTP calls, so that the core's own timeout
/// decides the outcome first.
constexpr Duration ResponseGracePeriod = seconds(1);
/// Time from the end of StopGrace after which connections that callers
/// keep open without a request no longer hold up a stop.
constexpr Duration IdleConnectionTimeout = seconds(8);
constexpr Duration RecordTransferTimeout = seconds(1);
/// A stop waits this long for other entry VMs to accept the records.
constexpr Duration RecordDrainTimeout = seconds(3);
/// Peers may send bodies of at least this size, enough for a page of records.
constexpr size_t MaxRecordPageBytes = 1 << 20;
/// Most slots of one backend server, so that sums of slots cannot overflow.
constexpr uint32_t MaxBackendSlots = 1000000;
const char *const RecordTransferPath = "/v1/records";
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int BadRequest = 400;
constexpr int Unavailable = 503;

/// Returns an incarnation number from the wall clock in milliseconds, so that
/// it normally grows with each restart.
uint64_t newIncarnation() { return static_cast<uint64_t>(wallNow()); }

HttpResponse textResponse(int Status, const std::string &Text) {
  return {Status, {{"content-type", "text/plain; charset=utf-8"}}, Text};
}

HttpResponse problemResponse(int Status, const std::string &Detail) {
  return jsonResponse(Status, toText({{"status", Status}, {"detail", Detail}}));
}

/// Copies a header if it is present and not empty.
void copyHeader(const HttpRequest &From, const char *Name, HttpRequest &To) {
  std::string Value = headerValue(From.Headers, Name);
  if (!Value.empty())
    To.Headers.push_back({Name, Value});
}

/// The rest of the descriptors is for links to other VMs and for files.
constexpr ConnectionPart CallerPart = {60, 40};
constexpr ConnectionPart PeerPart = {40, 20};

HttpServerOptions limitedOptions(const EntrySettings &Settings,
                                 ConnectionPart Part, size_t MaxBodyBytes) {
  HttpServerOptions Options = serverOptions(Settings.MemoryMb, Part);
  Options.Limits.MaxBodyBytes = MaxBodyBytes;
  // An earlier sending of the same request may have run.
  Options.RefusalHeaders = {{headers::Outcome, "this-sending-not-run"}};
  return Options;
}

HttpServerOptions callerOptions(const EntrySettings &Settings) {
  return limitedOptions(Settings, CallerPart, Settings.MaxBodyBytes);
}

HttpServerOptions peerOptions(const EntrySettings &Settings) {
  // A page of records must fit even if the limit for callers' bodies is
  // smaller.
  return limitedOptions(Settings, PeerPart,
                        std::max(Settings.MaxBodyBytes, MaxRecordPageBytes));
}

} // namespace

EntryDaemon::EntryDaemon(EntrySettings InitialSettings)
    : Settings(std::move(InitialSettings)), Logger("entry"),
      Tracer("entry " + Settings.Self.Vm, Settings.TraceFile,
             Settings.TraceSamplingInterval),
      CallerServer(
          Loop, [this](auto Exchange) { handleCallerRequest(Exchange); },
          callerOptions(Settings)),
      PeerServer(
          Loop, [this](auto Exchange) { handlePeerRequest(Exchange); },
          peerOptions(Settings)),
      Connections(Registry), Client(Loop),
      Core(Settings.Self, Settings.EntryVms, newIncarnation(), {},
           Loop.timers(), *this),
      Sync(Loop, Settings.ControlAddresses),
      RequestLatency(Registry.summary("mimosashunt_request_seconds",
                                      "Time from a request to its outcome.")),
      ActiveRevisionGauge(
          Registry.gauge("mimosashunt_configuration_revision",
                         "Revision of the configuration in force.")),
      LeaseValidGauge(Registry.gauge("mimosashunt_configuration_lease_valid",
                                     "1 while keys may be used.")),
      WaitingGauge(Registry.gauge("mimosashunt_requests_waiting",
                                  "Requests that wait for a backend server.")),
      RunningGauge(
          Registry.gauge("mimosashunt_attempts_running",
                         "Attempts that hold a backend server's slot.")),
      RetriesGauge(Registry.gauge("mimosashunt_retries", "Retries so far.")),
      ForwardsGauge(Registry.gauge("mimosashunt_forwards",
                                   "Requests sent on to entry VMs so far.")) {
  Connections.add("callers", CallerServer);
  Connections.add("peers", PeerServer);
  Loop.timers().scheduleEvery(Settings.SyncInterval, [this] { onSyncTimer(); });
  Loop.timers().scheduleEvery(GaugeInterval, [this] { updateGauges(); });
}

EntryDaemon::~EntryDaemon() = default;

std::error_code EntryDaemon::listen() {
  if (std::error_code Error = CallerServer.listen(Settings.ListenAddress))
    return Error;
  return PeerServer.listen(Settings.PeerListenAddress);
}

void EntryDaemon::run() {
  Logger.info("Listening for callers on " + Settings.ListenAddress.text() +
              ".");
  onSyncTimer();
  Loop.run();
  Logger.info("Stopped.");
}

void EntryDaemon::stop() {
  Loop.post([this] { beginStop(); });
}

void EntryDaemon::beginStop() {
  if (Stopping)
    return;
  Stopping = true;
  StopStartedAt = Loop.timers().now();
  Logger.info("Stopping after the requests in flight have finished.");
  // The readiness check fails first, so that the load balancer sends new
  // connections elsewhere before the listening socket closes.
  Core.beginStop();
  onSyncTimer();
  Loop.timers().scheduleAt(StopStartedAt + Settings.StopGrace, [this] {
    Core.releaseBackends();
    CallerServer.beginShutdown();
    Loop.timers().scheduleEvery(StopCheckInterval, [this] { stopIfDrained(); });
  });
}

void EntryDaemon::stopIfDrained() {
  Duration Elapsed = Loop.timers().now() - StopStartedAt - Settings.StopGrace;
  bool TimedOut = Elapsed > IdleConnectionTimeout;
  if (!Core.mayStop() && Elapsed <= RecordDrainTimeout)
    return;
  bool Drained = Core.isIdle() && CallerServer.pendingExchanges() == 0 &&
                 PeerServer.pendingExchanges() == 0 &&
                 Client.pendingCalls() == 0;
  if (Drained && (CallerServer.openConnections() == 0 || TimedOut))
    Loop.stop();
}

bool EntryDaemon::handleHealthProbe(
    const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string &Path = Exchange->request().Path;
  if (Path == "/healthz") {
    Exchange->respond(textResponse(200, "ok\n"));
    return true;
  }
  if (Path == "/readyz") {
    bool Ready = Core.isReady();
    Exchange->respond(Ready ? textResponse(200, "ready\n")
                            : textResponse(Unavailable, "not ready\n"));
    return true;
  }
  return false;
}

void EntryDaemon::handleCallerRequest(
    const std::shared_ptr<HttpExchange> &Exchange) {
  if (!handleHealthProbe(Exchange))
    handleQueueRequest(Exchange, /*FromPeer=*/false);
}

void EntryDaemon::handlePeerRequest(
    const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string &Path = Exchange->request().Path;
  if (Path == "/metrics") {
    updateGauges();
    Connections.update();
    Exchange->respond(textResponse(200, Registry.text()));
  } else if (Path == "/v1/backend-servers") {
    handleAnnouncement(Exchange);
  } else if (Path == RecordTransferPath) {
    handleRecordTransfer(Exchange);
  } else if (!handleHealthProbe(Exchange)) {
    handleQueueRequest(Exchange, /*FromPeer=*/true);
  }
}

void EntryDaemon::handleAnnouncement(
    const std::shared_ptr<HttpExchange> &Exchange) {
  SpanPtr Span =
      Tracer.start("entry.announced",
                   headerValue(Exchange->request().Headers, TraceParentHeader));
  BackendAnnouncement Announcement;
  try {
    Announcement =
        Json::parse(Exchange->request().Body).get<BackendAnnouncement>();
  } catch (const std::exception &Error) {
    Exchange->respond(problemResponse(BadRequest, Error.what()));
    return;
  }
  Span->SetTag("backendServer", Announcement.Name);
  SocketAddress Address;
  if (SocketAddress::parse(Announcement.Address, Address) ||
      Announcement.Name.empty() || Announcement.Slots == 0 ||
      Announcement.Slots > MaxBackendSlots) {
    Exchange->respond(problemResponse(
        BadRequest, "a name, an address IP:port and 1 to 1000000 slots must be "
                    "given"));
    return;
  }
  if (std::optional<AnnouncementReply> Reply =
          Core.handleAnnouncement(Announcement))
    Exchange->respond(jsonResponse(200, toText(*Reply)));
  else
    Exchange->respond(
        problemResponse(Unavailable, "stopping; announce elsewhere"));
}

void EntryDaemon::handleRecordTransfer(
    const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  SpanPtr Span = Tracer.start("entry.takeOver",
                              headerValue(Request.Headers, TraceParentHeader));
  std::optional<RecordPage> Page = decodeRecordPage(Request.Body);
  if (!Page)
    return Exchange->respond(problemResponse(BadRequest, "no page of records"));
  Span->SetTag("from", Page->From.Vm);
  Span->SetTag("records", static_cast<uint64_t>(Page->Records.size()));
  if (Core.receiveRecords(*Page))
    Exchange->respond(textResponse(200, "taken\n"));
  else
    Exchange->respond(
        problemResponse(Conflict, "the keepers are of another epoch"));
}

void EntryDaemon::sendTo(const std::string &Address, const HttpRequest &Request,
                         Duration Timeout, const HttpClient::Callback &OnDone,
                         HttpClient::Guard MaySend) {
  SocketAddress Target;
  if (std::error_code Error = SocketAddress::parse(Address, Target)) {
    Logger.warn("Nothing is sent to \"" + Address + "\": " + Error.message() +
                ".");
    return Loop.defer([OnDone] { OnDone(HttpNotSent{"no address"}); });
  }
  Client.send(Target, Request, Timeout, OnDone, std::move(MaySend));
}

void EntryDaemon::sendRecords(const RecordTransfer &Transfer) {
  std::shared_ptr<opentracing::Span> Span = Tracer.start("entry.handOver", {});
  HttpRequest Request{
      "POST", RecordTransferPath, {}, {}, encodeRecordPage(Transfer.Page)};
  Request.Headers.push_back({"content-type", "application/cbor"});
  Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  sendTo(Transfer.Address, Request, RecordTransferTimeout,
         [this, Span, Vm = Transfer.Vm,
          Number = Transfer.Number](const HttpResult &Result) {
           Span->Finish();
           const auto *Response = std::get_if<HttpResponse>(&Result);
           bool Accepted = Response != nullptr && Response->Status == 200;
           Core.onTransferDone(Vm, Number, Accepted);
         });
}

void EntryDaemon::handleQueueRequest(
    const std::shared_ptr<HttpExchange> &Exchange, bool FromPeer) {
  const HttpRequest &Request = Exchange->request();
  QueuePath Path;
  if (!parseQueuePath(Request.Path, Path)) {
    Exchange->respond(problemResponse(NotFound, "no such path"));
    return;
  }
  EntryRequest Submitted = readWork(Request, Path, FromPeer);
  SpanPtr Span = Tracer.start(FromPeer ? "entry.forwarded" : "entry.receive",
                              headerValue(Request.Headers, TraceParentHeader));
  Span->SetTag("queue", Path.Queue);
  LocalRequestId Id = ++LastRequestId;
  PendingRequests.emplace(Id,
                          PendingRequest{Exchange, std::move(Path),
                                         std::move(Span), Loop.timers().now()});
  Exchange->onGone([this, Id] { Core.onCallerDisconnected(Id); });
  Core.submitRequest(Id, Submitted);
}

void EntryDaemon::dispatchAttempt(const Dispatch &Attempt) {
  const PendingRequest &Request = PendingRequests.at(Attempt.Id);
  const HttpRequest &Received = Request.Exchange->request();
  HttpRequest Outgoing{
      Received.Method, Request.Path.Rest, Received.Query, {}, Received.Body};
  copyHeader(Received, headers::ContentType, Outgoing);
  copyHeader(Received, headers::RequestId, Outgoing);
  Outgoing.Headers.push_back({headers::Queue, Request.Path.Queue});
  Outgoing.Headers.push_back({headers::Attempt, Attempt.Attempt});
  Outgoing.Headers.push_back({headers::Epoch, std::to_string(Attempt.Epoch)});
  Outgoing.Headers.push_back({headers::RunTimeoutMillis,
                              std::to_string(toMillis(Attempt.RunTimeout))});
  auto Span = std::shared_ptr<opentracing::Span>(
      Tracer.start("entry.dispatch", Tracer.traceParent(*Request.Span)));
  Span->SetTag("backendServer", Attempt.Backend);
  Outgoing.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  LocalRequestId Id = Attempt.Id;
  AttemptId SentAttempt = Attempt.Attempt;
  sendTo(
      Attempt.Address, Outgoing, Attempt.RunTimeout + ResponseGracePeriod,
      [this, SentAttempt, Span](const HttpResult &Result) {
        Span->Finish();
        onAttemptResponse(SentAttempt, Result);
      },
      [this, Id] { return Core.maySendAttempt(Id); });
}

void EntryDaemon::onAttemptResponse(const AttemptId &Id,
                                    const HttpResult &Result) {
  if (std::holds_alternative<HttpNotSent>(Result))
    return Core.onAttemptDone(Id, AttemptNotSent{});
  const auto *Response = std::get_if<HttpResponse>(&Result);
  // A response with the id of another attempt does not answer this request.
  if (Response == nullptr ||
      headerValue(Response->Headers, headers::Attempt) != Id)
    return Core.onAttemptDone(Id, AttemptLost{});
  std::string RunStatus = headerValue(Response->Headers, headers::Run);
  if (RunStatus == "refused")
    Core.onAttemptDone(Id, AttemptRefused{});
  else if (RunStatus == "stopped")
    Core.onAttemptDone(Id, AttemptStopped{});
  else
    Core.onAttemptDone(Id, Answered{answerOf(*Response)});
}

void EntryDaemon::forwardRequest(const Forward &Target) {
  const PendingRequest &Request = PendingRequests.at(Target.Id);
  const HttpRequest &Received = Request.Exchange->request();
  HttpRequest Outgoing{
      Received.Method, Received.Path, Received.Query, {}, Received.Body};
  for (const char *Name :
       {headers::ContentType, headers::Authorization, headers::RequestId,
        headers::Team, headers::Idempotent, headers::FirstSend})
    copyHeader(Received, Name, Outgoing);
  Outgoing.Headers.push_back(
      {headers::Hop, Target.Via == Hop::Keeper ? "home" : "owner"});
  Outgoing.Headers.push_back(
      {headers::TimeoutMillis,
       std::to_string(std::max<int64_t>(1, toMillis(Target.Timeout)))});
  auto Span = std::shared_ptr<opentracing::Span>(
      Tracer.start("entry.forward", Tracer.traceParent(*Request.Span)));
  Span->SetTag("entryVm", Target.Vm);
  Outgoing.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  LocalRequestId Id = Target.Id;
  sendTo(Target.Address, Outgoing, Target.Timeout + ResponseGracePeriod,
         [this, Id, Span](const HttpResult &Result) {
           Span->Finish();
           onForwardResponse(Id, Result);
         });
}

void EntryDaemon::onForwardResponse(LocalRequestId Id,
                                    const HttpResult &Result) {
  if (std::holds_alternative<HttpNotSent>(Result))
    return Core.onForwardDone(Id, ForwardNotSent{});
  const auto *Response = std::get_if<HttpResponse>(&Result);
  std::optional<Outcome> Decoded;
  if (Response != nullptr)
    Decoded = decodeOutcome(*Response);
  if (Decoded)
    Core.onForwardDone(Id, *Decoded);
  else
    Core.onForwardDone(Id, ForwardLost{});
}

void EntryDaemon::finishRequest(LocalRequestId Id, const Outcome &Result) {
  auto Entry = PendingRequests.find(Id);
  if (Entry == PendingRequests.end())
    return;
  PendingRequest Request = std::move(Entry->second);
  PendingRequests.erase(Entry);
  HttpResponse Response = encodeOutcome(Result);
  std::string OutcomeName = headerValue(Response.Headers, headers::Outcome);
  if (const auto *NotRunResult = std::get_if<NotRun>(&Result))
    OutcomeName += "." + refusalName(NotRunResult->Reason);
  Request.Span->SetTag("outcome", OutcomeName);
  Request.Span->Finish();
  prometheus::Counter *&Counter = OutcomeCounters[OutcomeName];
  if (Counter == nullptr)
    Counter =
        &Registry.counter("mimosashunt_requests_total", "Requests by outcome.",
                          {{"outcome", OutcomeName}});
  Counter->Increment();
  Duration Elapsed = Loop.timers().now() - Request.ReceivedAt;
  RequestLatency.Observe(std::chrono::duration<double>(Elapsed).count());
  Request.Exchange->respond(Response);
}

void EntryDaemon::onSyncTimer() {
  if (SyncPending)
    return;
  SyncPending = true;
  Instant SentAt = Loop.timers().now();
  SpanPtr Span = Tracer.startRoutine("entry.sync");
  EntryReport Report = Core.makeReport();
  Report.TraceParent = Tracer.traceParent(*Span);
  auto SharedSpan = std::shared_ptr<opentracing::Span>(std::move(Span));
  Sync.send(std::move(Report),
            [this, SentAt, SharedSpan](const std::optional<EntryReply> &Reply) {
              SyncPending = false;
              SharedSpan->Finish();
              if (Reply)
                Core.handleSyncReply(SentAt, *Reply);
              updateGauges();
            });
}

void EntryDaemon::updateGauges() {
  Revision ActiveRevision = Core.lease().activeRevision();
  ActiveRevisionGauge.Set(static_cast<double>(ActiveRevision));
  LeaseValidGauge.Set(Core.lease().isValid() ? 1 : 0);
  WaitingGauge.Set(static_cast<double>(Core.queuedRequests()));
  RunningGauge.Set(static_cast<double>(Core.sessions().runningAttempts()));
  RetriesGauge.Set(static_cast<double>(Core.statistics().Retries));
  ForwardsGauge.Set(static_cast<double>(Core.statistics().Forwards));
  if (ActiveRevision != LoggedRevision) {
    LoggedRevision = ActiveRevision;
    Logger.info("Configuration revision " + std::to_string(ActiveRevision) +
                " is active.");
  }
  bool Ready = Core.isReady();
  if (Ready != LoggedReady)
    Logger.info(Ready
                    ? "The configuration lease is valid."
                    : "The configuration lease has expired; requests with keys "
                      "are refused.");
  LoggedReady = Ready;
}

} // namespace mimosashunt
