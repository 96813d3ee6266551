#include "Entry/EntryDaemon.h"

#include "Entry/OutcomeCodec.h"
#include "Entry/RequestHeaders.h"
#include "Links/SystemTime.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration StopCheckPeriod = milliseconds(50);
constexpr Duration GaugePeriod = milliseconds(500);
/// Beyond the core's own deadline, so that the core's word comes first.
constexpr Duration AttemptGrace = seconds(1);
/// Idle connections of callers that never close them are cut after this time.
constexpr Duration StopPatience = seconds(8);
constexpr Duration HandOverTimeout = seconds(1);
/// A stop waits this long for others to take the records over.
constexpr Duration HandOverPatience = seconds(3);
constexpr size_t HandOverBytes = 1 << 20;
const char *const HandOverPath = "/v1/records";
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int BadRequest = 400;
constexpr int Unavailable = 503;

uint64_t freshIncarnation() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(Since).count());
}

HttpResponse plain(int Status, const std::string &Text) {
  return {Status, {{"content-type", "text/plain; charset=utf-8"}}, Text};
}

HttpResponse problem(int Status, const std::string &Detail) {
  return jsonResponse(Status,
                      Json{{"status", Status}, {"detail", Detail}}.dump());
}

void copyHeader(const HttpRequest &From, const char *Name, HttpRequest &To) {
  std::string Value = headerValue(From.Headers, Name);
  if (!Value.empty())
    To.Headers.push_back({Name, Value});
}

HttpServerOptions callerOptions(const EntrySettings &Settings) {
  HttpServerOptions Options;
  Options.MaxBodyBytes = Settings.MaxBodyBytes;
  return Options;
}

HttpServerOptions peerOptions(const EntrySettings &Settings) {
  // A page of records must get through however small callers' bodies are.
  HttpServerOptions Options;
  Options.MaxBodyBytes = std::max(Settings.MaxBodyBytes, HandOverBytes);
  return Options;
}

} // namespace

EntryDaemon::EntryDaemon(EntrySettings Given)
    : Settings(std::move(Given)), Logger("entry"),
      Tracer("entry " + Settings.Self.Vm, Settings.TraceFile,
             Settings.TraceEvery),
      Callers(
          Loop, [this](auto Exchange) { onCaller(Exchange); },
          callerOptions(Settings)),
      Peers(
          Loop, [this](auto Exchange) { onPeer(Exchange); },
          peerOptions(Settings)),
      Client(Loop), Core(Settings.Self, Settings.Entries, freshIncarnation(),
                         {}, Loop.timers(), *this),
      Sync(Loop, Settings.Control),
      Latency(Measured.summary("mimosashunt_request_seconds",
                               "Time from a request to its outcome.")),
      InForce(Measured.gauge("mimosashunt_configuration_revision",
                             "Revision of the configuration in force.")),
      LeaseValid(Measured.gauge("mimosashunt_configuration_lease_valid",
                                "1 while keys may be used.")),
      Waiting(Measured.gauge("mimosashunt_requests_waiting",
                             "Requests that wait for a backend server.")),
      Running(Measured.gauge("mimosashunt_attempts_running",
                             "Attempts that hold a backend server's slot.")),
      RetriesMade(Measured.gauge("mimosashunt_retries", "Retries so far.")),
      ForwardsMade(Measured.gauge("mimosashunt_forwards",
                                  "Requests sent on to entry VMs so far.")) {
  Loop.timers().scheduleEvery(Settings.SyncPeriod, [this] { onSyncTimer(); });
  Loop.timers().scheduleEvery(GaugePeriod, [this] { updateGauges(); });
}

EntryDaemon::~EntryDaemon() = default;

std::error_code EntryDaemon::listen() {
  if (std::error_code Error = Callers.listen(Settings.Listen))
    return Error;
  return Peers.listen(Settings.PeerListen);
}

void EntryDaemon::run() {
  Logger.info("Serving callers on " + Settings.Listen.text() + ".");
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
  StopBegan = Loop.timers().now();
  Logger.info("Stopping; requests under way are finished.");
  // Readiness fails first, so that the balancer sends new connections
  // elsewhere before the listening socket closes.
  Core.beginStop();
  onSyncTimer();
  Loop.timers().scheduleAt(StopBegan + Settings.StopGrace, [this] {
    Core.releaseBackends();
    Callers.beginShutdown();
    Loop.timers().scheduleEvery(StopCheckPeriod, [this] { checkStopped(); });
  });
}

void EntryDaemon::checkStopped() {
  Duration Since = Loop.timers().now() - StopBegan - Settings.StopGrace;
  bool Late = Since > StopPatience;
  if (!Core.mayStop() && Since <= HandOverPatience)
    return;
  bool Quiet = Core.isIdle() && Callers.pendingExchanges() == 0 &&
               Peers.pendingExchanges() == 0 && Client.pendingCalls() == 0;
  if (Quiet && (Callers.openConnections() == 0 || Late))
    Loop.stop();
}

bool EntryDaemon::onStatusPage(const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string &Path = Exchange->request().Path;
  if (Path == "/healthz") {
    Exchange->respond(plain(200, "ok\n"));
    return true;
  }
  if (Path == "/readyz") {
    bool Ready = Core.isReady();
    Exchange->respond(Ready ? plain(200, "ready\n")
                            : plain(Unavailable, "not ready\n"));
    return true;
  }
  return false;
}

void EntryDaemon::onCaller(const std::shared_ptr<HttpExchange> &Exchange) {
  if (!onStatusPage(Exchange))
    onQueue(Exchange, /*FromPeer=*/false);
}

void EntryDaemon::onPeer(const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string &Path = Exchange->request().Path;
  if (Path == "/metrics") {
    updateGauges();
    Exchange->respond(plain(200, Measured.text()));
  } else if (Path == "/v1/backend-servers") {
    onAnnouncement(Exchange);
  } else if (Path == HandOverPath) {
    onHandOver(Exchange);
  } else if (!onStatusPage(Exchange)) {
    onQueue(Exchange, /*FromPeer=*/true);
  }
}

void EntryDaemon::onAnnouncement(
    const std::shared_ptr<HttpExchange> &Exchange) {
  SpanPtr Span =
      Tracer.start("entry.announced",
                   headerValue(Exchange->request().Headers, TraceParentHeader));
  BackendAnnouncement New;
  try {
    New = Json::parse(Exchange->request().Body).get<BackendAnnouncement>();
  } catch (const std::exception &Error) {
    Exchange->respond(problem(BadRequest, Error.what()));
    return;
  }
  Span->SetTag("backendServer", New.Name);
  SocketAddress Address;
  if (SocketAddress::parse(New.Address, Address) || New.Name.empty() ||
      New.Slots == 0) {
    Exchange->respond(
        problem(BadRequest, "name, address and slots must be given"));
    return;
  }
  if (std::optional<AnnouncementReply> Reply = Core.handleAnnouncement(New))
    Exchange->respond(jsonResponse(200, Json(*Reply).dump()));
  else
    Exchange->respond(problem(Unavailable, "stopping; announce elsewhere"));
}

void EntryDaemon::onHandOver(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  SpanPtr Span = Tracer.start("entry.takeOver",
                              headerValue(Request.Headers, TraceParentHeader));
  std::optional<RecordPage> Page = decodeRecordPage(Request.Body);
  if (!Page)
    return Exchange->respond(problem(BadRequest, "no page of records"));
  Span->SetTag("from", Page->From.Vm);
  Span->SetTag("records", static_cast<uint64_t>(Page->Records.size()));
  if (Core.receiveRecords(*Page))
    Exchange->respond(plain(200, "taken\n"));
  else
    Exchange->respond(problem(Conflict, "the keepers are of another epoch"));
}

void EntryDaemon::sendRecords(const RecordTransfer &Order) {
  std::shared_ptr<opentracing::Span> Span = Tracer.start("entry.handOver", {});
  HttpRequest Request{
      "POST", HandOverPath, {}, {}, encodeRecordPage(Order.Page)};
  Request.Headers.push_back({"content-type", "application/cbor"});
  Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  SocketAddress Address;
  SocketAddress::parse(Order.Address, Address);
  Client.send(Address, Request, HandOverTimeout,
              [this, Span, Vm = Order.Vm,
               Number = Order.Number](const HttpResult &Result) {
                Span->Finish();
                const auto *Response = std::get_if<HttpResponse>(&Result);
                bool Taken = Response != nullptr && Response->Status == 200;
                Core.onTransferDone(Vm, Number, Taken);
              });
}

void EntryDaemon::onQueue(const std::shared_ptr<HttpExchange> &Exchange,
                          bool FromPeer) {
  const HttpRequest &Request = Exchange->request();
  QueuePath Path;
  if (!parseQueuePath(Request.Path, Path)) {
    Exchange->respond(problem(NotFound, "no such path"));
    return;
  }
  EntryRequest New = readWork(Request, Path, FromPeer);
  SpanPtr Span = Tracer.start(FromPeer ? "entry.forwarded" : "entry.receive",
                              headerValue(Request.Headers, TraceParentHeader));
  Span->SetTag("queue", Path.Queue);
  LocalRequestId Id = ++LastWork;
  Calls.emplace(Id, Call{Exchange, std::move(Path), std::move(Span),
                         Loop.timers().now()});
  Exchange->onGone([this, Id] { Core.onCallerDisconnected(Id); });
  Core.submitRequest(Id, New);
}

void EntryDaemon::dispatchAttempt(const Dispatch &Order) {
  const Call &Of = Calls.at(Order.Id);
  const HttpRequest &From = Of.Exchange->request();
  HttpRequest To{From.Method, Of.Path.Rest, From.Query, {}, From.Body};
  copyHeader(From, headers::ContentType, To);
  copyHeader(From, headers::RequestId, To);
  To.Headers.push_back({headers::Queue, Of.Path.Queue});
  To.Headers.push_back({headers::Attempt, Order.Attempt});
  To.Headers.push_back({headers::Epoch, std::to_string(Order.Epoch)});
  To.Headers.push_back(
      {headers::RunTimeoutMillis, std::to_string(toMillis(Order.RunTimeout))});
  auto Span = std::shared_ptr<opentracing::Span>(
      Tracer.start("entry.dispatch", Tracer.traceParent(*Of.Span)));
  Span->SetTag("backendServer", Order.Backend);
  To.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  SocketAddress Address;
  SocketAddress::parse(Order.Address, Address);
  LocalRequestId Id = Order.Id;
  AttemptId Attempt = Order.Attempt;
  Client.send(
      Address, To, Order.RunTimeout + AttemptGrace,
      [this, Attempt, Span](const HttpResult &Result) {
        Span->Finish();
        dispatched(Attempt, Result);
      },
      [this, Id] { return Core.maySendAttempt(Id); });
}

void EntryDaemon::dispatched(const AttemptId &Attempt,
                             const HttpResult &Result) {
  if (std::holds_alternative<HttpNotSent>(Result))
    return Core.onAttemptDone(Attempt, AttemptNotSent{});
  const auto *Response = std::get_if<HttpResponse>(&Result);
  // An answer under another attempt's name is not this request's answer.
  if (Response == nullptr ||
      headerValue(Response->Headers, headers::Attempt) != Attempt)
    return Core.onAttemptDone(Attempt, AttemptLost{});
  std::string Run = headerValue(Response->Headers, headers::Run);
  if (Run == "refused")
    Core.onAttemptDone(Attempt, AttemptRefused{});
  else if (Run == "stopped")
    Core.onAttemptDone(Attempt, AttemptStopped{});
  else
    Core.onAttemptDone(Attempt, Answered{answerOf(*Response)});
}

void EntryDaemon::forwardRequest(const Forward &Order) {
  const Call &Of = Calls.at(Order.Id);
  const HttpRequest &From = Of.Exchange->request();
  HttpRequest To{From.Method, From.Path, From.Query, {}, From.Body};
  for (const char *Name :
       {headers::ContentType, headers::Authorization, headers::RequestId,
        headers::Team, headers::Idempotent, headers::FirstSend})
    copyHeader(From, Name, To);
  To.Headers.push_back(
      {headers::Hop, Order.Via == Hop::Keeper ? "home" : "owner"});
  To.Headers.push_back(
      {headers::TimeoutMillis,
       std::to_string(std::max<int64_t>(1, toMillis(Order.Timeout)))});
  auto Span = std::shared_ptr<opentracing::Span>(
      Tracer.start("entry.forward", Tracer.traceParent(*Of.Span)));
  Span->SetTag("entryVm", Order.Vm);
  To.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  SocketAddress Address;
  SocketAddress::parse(Order.Address, Address);
  LocalRequestId Id = Order.Id;
  Client.send(Address, To, Order.Timeout + AttemptGrace,
              [this, Id, Span](const HttpResult &Result) {
                Span->Finish();
                forwarded(Id, Result);
              });
}

void EntryDaemon::forwarded(LocalRequestId Id, const HttpResult &Result) {
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
  auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  Call Of = std::move(Found->second);
  Calls.erase(Found);
  HttpResponse Response = encodeOutcome(Result);
  std::string Name = headerValue(Response.Headers, headers::Outcome);
  if (const auto *Refused = std::get_if<NotRun>(&Result))
    Name += "." + refusalName(Refused->Reason);
  Of.Span->SetTag("outcome", Name);
  Of.Span->Finish();
  prometheus::Counter *&Counter = Outcomes[Name];
  if (Counter == nullptr)
    Counter = &Measured.counter("mimosashunt_requests_total",
                                "Requests by outcome.", {{"outcome", Name}});
  Counter->Increment();
  Duration Took = Loop.timers().now() - Of.Received;
  Latency.Observe(std::chrono::duration<double>(Took).count());
  Of.Exchange->respond(Response);
}

void EntryDaemon::onSyncTimer() {
  if (SyncPending)
    return;
  SyncPending = true;
  Instant SentAt = Loop.timers().now();
  SpanPtr Span = Tracer.startRoutine("entry.sync");
  EntryReport Report = Core.makeReport();
  Report.TraceParent = Tracer.traceParent(*Span);
  auto Kept = std::shared_ptr<opentracing::Span>(std::move(Span));
  Sync.send(std::move(Report),
            [this, SentAt, Kept](const std::optional<EntryReply> &Reply) {
              SyncPending = false;
              Kept->Finish();
              if (Reply)
                Core.handleSyncReply(SentAt, *Reply);
              updateGauges();
            });
}

void EntryDaemon::updateGauges() {
  Revision Present = Core.lease().activeRevision();
  InForce.Set(static_cast<double>(Present));
  LeaseValid.Set(Core.lease().isValid() ? 1 : 0);
  Waiting.Set(static_cast<double>(Core.queuedRequests()));
  Running.Set(static_cast<double>(Core.sessions().runningAttempts()));
  RetriesMade.Set(static_cast<double>(Core.statistics().Retries));
  ForwardsMade.Set(static_cast<double>(Core.statistics().Forwards));
  if (Present != LoggedRevision) {
    LoggedRevision = Present;
    Logger.info("Configuration revision " + std::to_string(Present) +
                " is in force.");
  }
  bool Ready = Core.isReady();
  if (Ready != WasReady)
    Logger.info(Ready ? "The configuration lease is valid."
                      : "The configuration lease has lapsed; work with keys is "
                        "refused.");
  WasReady = Ready;
}

} // namespace mimosashunt
