#include "StandIns/BackendServer.h"

#include "Entry/RequestHeaders.h"
#include "Links/SystemTime.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration HeartbeatPeriod = milliseconds(300);
constexpr Duration CallTimeout = milliseconds(700);
constexpr Duration PlatformPeriod = milliseconds(200);
constexpr Duration StopCheckPeriod = milliseconds(50);
/// A leaving server that nobody releases stops once its session has lapsed.
constexpr Duration LeavePatience = seconds(4);
constexpr int ServerError = 500;
constexpr int ConflictStatus = 409;

uint64_t wallMillis() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(Since).count());
}

} // namespace

BackendServer::BackendServer(BackendServerOptions Given)
    : Options(std::move(Given)), Logger("backend"),
      Server(Loop, [this](auto Exchange) { onRequest(Exchange); }),
      Client(Loop), Tracer("backend " + Options.Name, Options.TraceFile, 1),
      Epoch(wallMillis()),
      EntryAt(std::hash<std::string>()(Options.Name) % Options.Entries.size()),
      SessionUntil(Loop.timers().now()) {
  if (!Options.Journal.empty())
    Journal.open(Options.Journal, std::ios::app);
  if (!Options.Times.empty())
    Times.open(Options.Times, std::ios::app);
  Loop.timers().scheduleEvery(HeartbeatPeriod, [this] { heartbeat(); });
  if (Options.Platform)
    Loop.timers().scheduleEvery(PlatformPeriod, [this] { pollPlatform(); });
  Loop.post([this] { heartbeat(); });
}

bool BackendServer::sessionValid() const { return bootNow() < SessionUntil; }

void BackendServer::refuse(HttpExchange &Exchange, const AttemptId &Attempt) {
  Exchange.respond({ConflictStatus,
                    {{headers::Attempt, Attempt}, {headers::Run, "refused"}},
                    "not run\n"});
}

void BackendServer::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  AttemptId Attempt = headerValue(Request.Headers, headers::Attempt);
  std::string OfEpoch = headerValue(Request.Headers, headers::Epoch);
  if (OfEpoch != std::to_string(Epoch) || !sessionValid() ||
      Running.size() >= Options.Slots || Running.contains(Attempt))
    return refuse(*Exchange, Attempt);
  if (Journal.is_open())
    Journal << Attempt << ' '
            << headerValue(Request.Headers, headers::RequestId) << std::endl;
  Run New;
  New.Exchange = Exchange;
  New.Began = Loop.timers().now();
  New.Span = Tracer.start("backend.run",
                          headerValue(Request.Headers, TraceParentHeader));
  long Millis = std::atol(
      headerValue(Request.Headers, headers::RunTimeoutMillis).c_str());
  Duration Limit = milliseconds(std::max(1L, Millis));
  bool Stopped = Options.Work > Limit;
  New.Ends = Loop.timers().scheduleAt(
      Loop.timers().now() + std::min(Options.Work, Limit),
      [this, Attempt, Stopped] { endRun(Attempt, Stopped); });
  Running.emplace(Attempt, std::move(New));
}

void BackendServer::endRun(const AttemptId &Attempt, bool Stopped) {
  auto Found = Running.find(Attempt);
  Run Done = std::move(Found->second);
  Running.erase(Found);
  Done.Span->Finish();
  if (Times.is_open())
    Times << Done.Began.time_since_epoch().count() << ' '
          << Loop.timers().now().time_since_epoch().count() << std::endl;
  if (Options.Behaviour == BackendBehaviour::Silent)
    return;
  AttemptId Named =
      Options.Behaviour == BackendBehaviour::Crossed ? "other" : Attempt;
  HttpResponse Response{200, {}, {}};
  Response.Headers = {{headers::Attempt, Named},
                      {headers::Run, Stopped ? "stopped" : "done"},
                      {"content-type", "text/plain"},
                      {"x-backend", Options.Name}};
  Response.Body = Done.Exchange->request().Body;
  if (Options.Behaviour == BackendBehaviour::Failing)
    Response.Status = ServerError;
  Done.Exchange->respond(Response);
}

void BackendServer::heartbeat() {
  if (Pending || Released)
    return;
  Pending = true;
  BackendAnnouncement New;
  New.Name = Options.Name;
  New.Service = Options.Service;
  New.Vm = Options.Vm;
  New.Address = Options.Listen.text();
  New.Slots = Options.Slots;
  New.Leaving = Leaving;
  New.Epoch = Epoch;
  for (const auto &[Attempt, Item] : Running)
    New.Running.push_back(Attempt);
  HttpRequest Request{"POST", "/v1/backend-servers", {}, {}, Json(New).dump()};
  std::shared_ptr<opentracing::Span> Span =
      Tracer.startRoutine("backend.announce");
  Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  Instant SentAt = Loop.timers().now();
  uint64_t OfEpoch = Epoch;
  Client.send(Options.Entries[EntryAt], Request, CallTimeout,
              [this, Span, SentAt, OfEpoch](const HttpResult &Result) {
                Pending = false;
                Span->Finish();
                heard(SentAt, OfEpoch, Result);
              });
}

void BackendServer::heard(Instant SentAt, uint64_t OfEpoch,
                          const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response == nullptr || Response->Status != 200)
    return moveOn();
  AnnouncementReply Reply;
  try {
    Reply = Json::parse(Response->Body).get<AnnouncementReply>();
  } catch (const std::exception &) {
    return moveOn();
  }
  if (Owner != Reply.Owner) {
    Owner = Reply.Owner;
    Logger.info("Entry VM at " + Owner + " owns the slots of " + Options.Name +
                ".");
  }
  if (OfEpoch == Epoch)
    SessionUntil = SentAt + milliseconds(Reply.LeaseMillis);
  if (Reply.RenewEpoch) {
    // Attempts of the old session are refused from here on.
    Epoch = std::max(Epoch + 1, wallMillis());
    SessionUntil = SentAt;
    heartbeat();
  }
  if (Reply.Released && Running.empty())
    Released = true;
}

void BackendServer::moveOn() {
  // A new owner starts a new session; the old one's attempts are refused.
  EntryAt = (EntryAt + 1) % Options.Entries.size();
  Owner.clear();
  SessionUntil = Loop.timers().now();
  Epoch = std::max(Epoch + 1, wallMillis());
}

void BackendServer::pollPlatform() {
  HttpRequest Request{"POST", "/v1/vms/" + Options.Vm + "/tasks", {}, {}, {}};
  bool Ended = Leaving && Released && Running.empty();
  Request.Body = Json{{"task", Options.Name}, {"running", !Ended}}.dump();
  std::shared_ptr<opentracing::Span> Span =
      Tracer.startRoutine("backend.tellPlatform");
  Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  Client.send(*Options.Platform, Request, CallTimeout,
              [this, Span](const HttpResult &Result) {
                Span->Finish();
                platformSays(Result);
              });
}

void BackendServer::platformSays(const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response == nullptr || Stopping)
    return;
  Json Body = Json::parse(Response->Body, nullptr, false);
  if (!Body.is_object())
    return;
  std::string State = Body.value("state", std::string());
  if (State == "draining" && !Leaving) {
    Leaving = true;
    LeaveBegan = Loop.timers().now();
    Logger.info("Leaving, since the VM is drained.");
    heartbeat();
  } else if (State == "up" && Leaving) {
    Leaving = false;
    Released = false;
    Epoch = std::max(Epoch + 1, wallMillis());
    Logger.info("Serving again after maintenance.");
  } else if (Leaving && Running.empty() &&
             Loop.timers().now() - LeaveBegan > LeavePatience) {
    Released = true;
  }
}

void BackendServer::stop() {
  Loop.post([this] {
    if (Stopping)
      return;
    Stopping = true;
    Leaving = true;
    LeaveBegan = Loop.timers().now();
    heartbeat();
    Loop.timers().scheduleEvery(StopCheckPeriod, [this] { checkStopped(); });
  });
}

void BackendServer::checkStopped() {
  bool Late = Loop.timers().now() - LeaveBegan > LeavePatience;
  if (Running.empty() && (Released || Late) && Client.pendingCalls() == 0)
    Loop.stop();
}

} // namespace mimosashunt
