// Implements the worker's side of the platform's wire format for tests.

#include "Platform/StandInWorkers.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mimosashunt::test {

namespace {

HttpServerOptions serverOptions() {
  HttpServerOptions Options;
  Options.Limits.IdleTimeout = seconds(60);
  return Options;
}

constexpr int Ok = 200;
constexpr int Conflict = 409;
constexpr int NotFound = 404;
constexpr Duration ReportInterval = milliseconds(1500);
constexpr Duration ReportTimeout = seconds(1);
constexpr Duration LeaseCheckInterval = milliseconds(50);
constexpr int64_t MaxLeaseMs = 6000;

int64_t wallClockMs() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
}

/// Returns the duration of a task, which is the payload of its job. Throws if
/// the payload is no number.
int64_t parseDurationMs(const Json &Body) {
  return std::stoll(Body.at("spec").get<std::string>());
}

/// Returns the part of a task id before the first dot.
std::string jobIdOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

} // namespace

StandInWorker::StandInWorker(EventLoop &Loop, HttpClient &Client,
                             TaskHistory &History, Settings InitialConfig)
    : Loop(Loop), Client(Client), History(History),
      Config(std::move(InitialConfig)), StartedAt(Loop.timers().now()),
      Incarnation(wallClockMs()),
      Server(
          Loop,
          [this](const ExchangePtr &Exchange) { handleRequest(Exchange); },
          serverOptions()) {}

void StandInWorker::start() {
  Loop.timers().scheduleEvery(ReportInterval, [this] { sendReport(); });
  Loop.timers().scheduleEvery(LeaseCheckInterval,
                              [this] { endRunsOfExpiredLease(); });
  sendReport();
}

int64_t StandInWorker::clockMs() const {
  return toMillis(Loop.timers().now() - StartedAt);
}

void StandInWorker::sendReport() {
  Json Body = {{"service", Config.Pool},
               {"address", Config.Address.text()},
               {"zone", "dc-1"},
               {"version", "v1"},
               {"capacity", 8},
               {"state", "ready"},
               {"machine", "m-" + Config.Id},
               {"capacity-free",
                {{"cpu", Config.Cores * 1000}, {"mem-mb", 65536}, {"gpu", 0}}},
               {"labels", {"a", Config.Rack}},
               {"clock-ms", clockMs()},
               {"sequence", ++Sequence},
               {"born", Incarnation}};
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/mimosashunt/instances/" + Config.Id + "/heartbeat";
  Request.Headers = {{"content-type", "application/json"}};
  Request.Body = Body.dump();
  const SocketAddress &To =
      Config.ControlAddresses[NextControl % Config.ControlAddresses.size()];
  Client.send(To, Request, ReportTimeout, [this](const HttpResult &Result) {
    const auto *Response = std::get_if<HttpResponse>(&Result);
    if (Response == nullptr || Response->Status != Ok)
      ++NextControl;
  });
}

void StandInWorker::respond(const ExchangePtr &Exchange, int Status,
                            Json Body) {
  Body["clock-ms"] = clockMs();
  Body["born"] = Incarnation;
  Exchange->respond(jsonResponse(Status, Body.dump()));
}

void StandInWorker::respondConflict(const ExchangePtr &Exchange,
                                    const char *Reason) {
  respond(Exchange, Conflict, {{"reason", Reason}});
}

void StandInWorker::handleRequest(const ExchangePtr &Exchange) {
  const std::string &Path = Exchange->request().Path;
  Json Body = Json::parse(Exchange->request().Body, nullptr, false);
  if (!Body.is_object())
    return Exchange->respond({NotFound, {}, {}});
  uint64_t Token = Body.value("fencing-token", uint64_t{0});
  if (Token < HighestToken)
    return respondConflict(Exchange, "fence");
  HighestToken = Token;
  if (Path == "/mimosashunt/run-start")
    return handleStart(Exchange, Body);
  if (Path == "/mimosashunt/run-stop")
    return handleStop(Exchange, Body);
  if (Path == "/mimosashunt/hold")
    return handlePoll(Exchange, Body);
  respond(Exchange, Ok, Json::object());
}

void StandInWorker::extendLease(int64_t RequestedEndMs) {
  int64_t MaxLeaseEndMs = clockMs() + MaxLeaseMs;
  LeaseEndMs = std::max(LeaseEndMs, std::min(RequestedEndMs, MaxLeaseEndMs));
}

void StandInWorker::handleStart(const ExchangePtr &Exchange, const Json &Body) {
  auto Task = Body.at("task").get<std::string>();
  auto Attempt = Body.at("attempt").get<uint32_t>();
  extendLease(Body.at("until-ms").get<int64_t>());
  if (Body.at("until-ms").get<int64_t>() <= clockMs())
    return respondConflict(Exchange, "late");
  auto Existing = Runs.find(Task);
  if (Existing != Runs.end() && Existing->second.Attempt == Attempt)
    return respond(Exchange, Ok, Json::object());
  auto Ended = HighestEndedAttempt.find(Task);
  if (Ended != HighestEndedAttempt.end() && Attempt <= Ended->second)
    return respondConflict(Exchange, "old");
  ++History.Starts;
  auto AddViolation = [&](const char *Violation) {
    History.Violations.push_back(std::string(Violation) + ": " + Task +
                                 " attempt " + std::to_string(Attempt) +
                                 " on " + Config.Id);
  };
  if (History.RunningOn.count(Task))
    AddViolation("started while it still runs");
  if (History.CompletedTasks.count(Task))
    AddViolation("started after it had completed");
  if (!History.SubmittedJobs.count(jobIdOf(Task)))
    AddViolation("was never submitted");
  if (History.RefusedJobs.count(jobIdOf(Task)))
    AddViolation("runs although its submission was refused");
  History.RunningOn[Task] = Config.Id;
  Run NewRun{Attempt, Loop.timers().now(), parseDurationMs(Body), 0};
  NewRun.Timer = Loop.timers().scheduleAt(
      NewRun.StartedAt + milliseconds(NewRun.DurationMs),
      [this, Task] { endRun(Task, "done"); });
  Runs[Task] = NewRun;
  respond(Exchange, Ok, Json::object());
}

void StandInWorker::endRun(const std::string &Task, const char *Outcome) {
  auto Entry = Runs.find(Task);
  if (Entry == Runs.end())
    return;
  Loop.timers().cancel(Entry->second.Timer);
  uint32_t Attempt = Entry->second.Attempt;
  Runs.erase(Entry);
  if (History.RunningOn[Task] == Config.Id)
    History.RunningOn.erase(Task);
  HighestEndedAttempt[Task] = std::max(HighestEndedAttempt[Task], Attempt);
  EndedRuns.push_back({++LastEndNumber, Task, Attempt, Outcome});
  for (const ExchangePtr &Exchange : std::exchange(WaitingPolls, {}))
    answerPoll(Exchange);
}

void StandInWorker::handleStop(const ExchangePtr &Exchange, const Json &Body) {
  auto Task = Body.at("task").get<std::string>();
  auto Attempt = Body.at("attempt").get<uint32_t>();
  HighestEndedAttempt[Task] = std::max(HighestEndedAttempt[Task], Attempt);
  auto Entry = Runs.find(Task);
  if (Entry != Runs.end() && Entry->second.Attempt <= Attempt)
    endRun(Task, "stopped");
  respond(Exchange, Ok, Json::object());
}

void StandInWorker::handlePoll(const ExchangePtr &Exchange, const Json &Body) {
  ++History.Polls;
  uint64_t AckedNumber = Body.value("ack-cursor", uint64_t{0});
  for (const EndedRun &Ended : EndedRuns)
    if (Ended.Number <= AckedNumber && std::string(Ended.Outcome) == "done")
      History.CompletedTasks.insert(Ended.Task);
  std::erase_if(EndedRuns, [&](const EndedRun &Ended) {
    return Ended.Number <= AckedNumber;
  });
  if (Body.contains("until-ms"))
    extendLease(Body.at("until-ms").get<int64_t>());
  auto MaxWaitMs = Body.value("wait-ms", int64_t{0});
  if (MaxWaitMs == 0 || !EndedRuns.empty())
    return answerPoll(Exchange);
  WaitingPolls.push_back(Exchange);
  Loop.timers().scheduleAt(Loop.timers().now() + milliseconds(MaxWaitMs),
                           [this, Exchange] {
                             if (std::erase(WaitingPolls, Exchange) > 0)
                               answerPoll(Exchange);
                           });
}

void StandInWorker::answerPoll(const ExchangePtr &Exchange) {
  constexpr int64_t FullPercent = 100;
  Json Running = Json::array();
  for (const auto &[Task, Active] : Runs) {
    int64_t ElapsedMs = toMillis(Loop.timers().now() - Active.StartedAt);
    int64_t Percent =
        std::min(FullPercent - 1, ElapsedMs * FullPercent /
                                      std::max<int64_t>(Active.DurationMs, 1));
    Running.push_back({Task, Active.Attempt, "", Percent, 0});
  }
  Json Finished = Json::array();
  for (const EndedRun &Ended : EndedRuns)
    Finished.push_back(
        {Ended.Number, Ended.Task, Ended.Attempt, Ended.Outcome, ""});
  respond(Exchange, Ok, {{"running", Running}, {"finished", Finished}});
}

void StandInWorker::endRunsOfExpiredLease() {
  if (Runs.empty() || clockMs() < LeaseEndMs)
    return;
  while (!Runs.empty())
    endRun(Runs.begin()->first, "lapsed");
}

} // namespace mimosashunt::test
