#include "StandIns/BackendServer.h"

#include "Entry/RequestHeaders.h"
#include "Links/SystemTime.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration HeartbeatInterval = milliseconds(300);
constexpr Duration CallTimeout = milliseconds(700);
constexpr Duration PlatformReportInterval = milliseconds(200);
constexpr Duration StopCheckInterval = milliseconds(50);
/// A leaving server that no entry VM releases stops after this time, when its
/// session has expired.
constexpr Duration LeaveTimeout = seconds(4);
constexpr int ServerError = 500;
constexpr int Conflict = 409;

uint64_t unixMillis() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(Since).count());
}

} // namespace

BackendServer::BackendServer(BackendServerOptions InitialOptions)
    : Options(std::move(InitialOptions)), Logger("backend"),
      Server(Loop, [this](auto Exchange) { onRequest(Exchange); }),
      Client(Loop), Tracer("backend " + Options.Name, Options.TraceFile, 1),
      Epoch(unixMillis()), EntryIndex(std::hash<std::string>()(Options.Name) %
                                      Options.Entries.size()),
      SessionExpiry(Loop.timers().now()) {
  if (!Options.JournalFile.empty())
    Journal.open(Options.JournalFile, std::ios::app);
  if (!Options.TimesFile.empty())
    Times.open(Options.TimesFile, std::ios::app);
  Loop.timers().scheduleEvery(HeartbeatInterval, [this] { heartbeat(); });
  if (Options.Platform)
    Loop.timers().scheduleEvery(PlatformReportInterval,
                                [this] { reportToPlatform(); });
  Loop.post([this] { heartbeat(); });
}

bool BackendServer::hasValidSession() const {
  return bootNow() < SessionExpiry;
}

void BackendServer::refuse(HttpExchange &Exchange, const AttemptId &Attempt) {
  Exchange.respond({Conflict,
                    {{headers::Attempt, Attempt}, {headers::Run, "refused"}},
                    "not run\n"});
}

void BackendServer::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  AttemptId Attempt = headerValue(Request.Headers, headers::Attempt);
  std::string RequestEpoch = headerValue(Request.Headers, headers::Epoch);
  if (RequestEpoch != std::to_string(Epoch) || !hasValidSession() ||
      Running.size() >= Options.Slots || Running.contains(Attempt))
    return refuse(*Exchange, Attempt);
  if (Journal.is_open())
    Journal << Attempt << ' '
            << headerValue(Request.Headers, headers::RequestId) << std::endl;
  Run NewRun;
  NewRun.Exchange = Exchange;
  NewRun.StartedAt = Loop.timers().now();
  NewRun.Span = Tracer.start("backend.run",
                             headerValue(Request.Headers, TraceParentHeader));
  long Millis = std::atol(
      headerValue(Request.Headers, headers::RunTimeoutMillis).c_str());
  Duration Limit = milliseconds(std::max(1L, Millis));
  bool Stopped = Options.Work > Limit;
  NewRun.EndTimer = Loop.timers().scheduleAt(
      Loop.timers().now() + std::min(Options.Work, Limit),
      [this, Attempt, Stopped] { endRun(Attempt, Stopped); });
  Running.emplace(Attempt, std::move(NewRun));
}

void BackendServer::endRun(const AttemptId &Attempt, bool Stopped) {
  auto It = Running.find(Attempt);
  Run EndedRun = std::move(It->second);
  Running.erase(It);
  EndedRun.Span->Finish();
  if (Times.is_open())
    Times << EndedRun.StartedAt.time_since_epoch().count() << ' '
          << Loop.timers().now().time_since_epoch().count() << std::endl;
  if (Options.Behaviour == BackendBehaviour::Silent)
    return;
  AttemptId ReportedAttempt =
      Options.Behaviour == BackendBehaviour::WrongAttempt ? "other" : Attempt;
  HttpResponse Response{200, {}, {}};
  Response.Headers = {{headers::Attempt, ReportedAttempt},
                      {headers::Run, Stopped ? "stopped" : "done"},
                      {"content-type", "text/plain"},
                      {"x-backend", Options.Name}};
  Response.Body = EndedRun.Exchange->request().Body;
  if (Options.Behaviour == BackendBehaviour::Failing)
    Response.Status = ServerError;
  EndedRun.Exchange->respond(Response);
}

void BackendServer::heartbeat() {
  if (AnnouncementInFlight || Released)
    return;
  AnnouncementInFlight = true;
  BackendAnnouncement Announcement;
  Announcement.Name = Options.Name;
  Announcement.Service = Options.Service;
  Announcement.Vm = Options.Vm;
  Announcement.Address = Options.Listen.text();
  Announcement.Slots = Options.Slots;
  Announcement.Leaving = Leaving;
  Announcement.Epoch = Epoch;
  for (const auto &[Attempt, Run] : Running)
    Announcement.Running.push_back(Attempt);
  HttpRequest Request{
      "POST", "/v1/backend-servers", {}, {}, Json(Announcement).dump()};
  std::shared_ptr<opentracing::Span> Span =
      Tracer.startRoutine("backend.announce");
  Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  Instant SentAt = Loop.timers().now();
  uint64_t SentEpoch = Epoch;
  Client.send(Options.Entries[EntryIndex], Request, CallTimeout,
              [this, Span, SentAt, SentEpoch](const HttpResult &Result) {
                AnnouncementInFlight = false;
                Span->Finish();
                handleAnnouncementReply(SentAt, SentEpoch, Result);
              });
}

void BackendServer::handleAnnouncementReply(Instant SentAt, uint64_t SentEpoch,
                                            const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response == nullptr || Response->Status != 200)
    return switchEntryVm();
  AnnouncementReply Reply;
  try {
    Reply = Json::parse(Response->Body).get<AnnouncementReply>();
  } catch (const std::exception &) {
    return switchEntryVm();
  }
  if (OwnerAddress != Reply.Owner) {
    OwnerAddress = Reply.Owner;
    Logger.info("Entry VM at " + OwnerAddress + " owns the slots of " +
                Options.Name + ".");
  }
  if (SentEpoch == Epoch)
    SessionExpiry = SentAt + milliseconds(Reply.LeaseMillis);
  if (Reply.RenewEpoch) {
    // Attempts of the old session are refused from now on.
    Epoch = std::max(Epoch + 1, unixMillis());
    SessionExpiry = SentAt;
    heartbeat();
  }
  if (Reply.Released && Running.empty())
    Released = true;
}

void BackendServer::switchEntryVm() {
  // A new owner requires a new session, so that attempts sent by the old owner
  // are refused.
  EntryIndex = (EntryIndex + 1) % Options.Entries.size();
  OwnerAddress.clear();
  SessionExpiry = Loop.timers().now();
  Epoch = std::max(Epoch + 1, unixMillis());
}

void BackendServer::reportToPlatform() {
  HttpRequest Request{"POST", "/v1/vms/" + Options.Vm + "/tasks", {}, {}, {}};
  bool HasEnded = Leaving && Released && Running.empty();
  Request.Body = Json{{"task", Options.Name}, {"running", !HasEnded}}.dump();
  std::shared_ptr<opentracing::Span> Span =
      Tracer.startRoutine("backend.tellPlatform");
  Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  Client.send(*Options.Platform, Request, CallTimeout,
              [this, Span](const HttpResult &Result) {
                Span->Finish();
                handlePlatformReply(Result);
              });
}

void BackendServer::handlePlatformReply(const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response == nullptr || Stopping)
    return;
  Json Body = Json::parse(Response->Body, nullptr, false);
  if (!Body.is_object())
    return;
  std::string State = Body.value("state", std::string());
  if (State == "draining" && !Leaving) {
    Leaving = true;
    LeaveStartedAt = Loop.timers().now();
    Logger.info("Leaving, since the VM is drained.");
    heartbeat();
  } else if (State == "up" && Leaving) {
    Leaving = false;
    Released = false;
    Epoch = std::max(Epoch + 1, unixMillis());
    Logger.info("Serving again after maintenance.");
  } else if (Leaving && Running.empty() &&
             Loop.timers().now() - LeaveStartedAt > LeaveTimeout) {
    Released = true;
  }
}

void BackendServer::stop() {
  Loop.post([this] {
    if (Stopping)
      return;
    Stopping = true;
    Leaving = true;
    LeaveStartedAt = Loop.timers().now();
    heartbeat();
    Loop.timers().scheduleEvery(StopCheckInterval, [this] { stopIfDrained(); });
  });
}

void BackendServer::stopIfDrained() {
  bool IsLate = Loop.timers().now() - LeaveStartedAt > LeaveTimeout;
  if (Running.empty() && (Released || IsLate) && Client.pendingCalls() == 0)
    Loop.stop();
}

} // namespace mimosashunt
