#include "Platform/StandInWorkers.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mimosashunt::test {

namespace {

constexpr int Ok = 200;
constexpr int Conflict = 409;
constexpr int NotFound = 404;
constexpr Duration ReportPeriod = milliseconds(1500);
constexpr Duration ReportTimeout = seconds(1);
constexpr Duration LeaseCheckPeriod = milliseconds(50);
constexpr int64_t LongestLeaseMs = 6000;

int64_t wallMillis() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
}

/// The payload of the stand-in's jobs is the length of each task.
int64_t lengthOf(const Json &Body) {
  return std::stoll(Body.at("spec").get<std::string>());
}

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

} // namespace

StandInWorker::StandInWorker(EventLoop &Loop, HttpClient &Client,
                             TaskBook &Book, Settings Given)
    : Loop(Loop), Client(Client), Book(Book), Own(std::move(Given)),
      Began(Loop.timers().now()), Born(wallMillis()),
      Server(Loop, [this](const ExchangePtr &Exchange) { onRequest(Exchange); },
             {.ReadTimeout = seconds(60)}) {}

void StandInWorker::begin() {
  Loop.timers().scheduleEvery(ReportPeriod, [this] { report(); });
  Loop.timers().scheduleEvery(LeaseCheckPeriod, [this] { checkLease(); });
  report();
}

int64_t StandInWorker::clockMs() const {
  return toMillis(Loop.timers().now() - Began);
}

void StandInWorker::report() {
  Json Body = {{"service", Own.Pool},
               {"address", Own.Address.text()},
               {"zone", "dc-1"},
               {"version", "v1"},
               {"capacity", 8},
               {"state", "ready"},
               {"machine", "m-" + Own.Id},
               {"capacity-free",
                {{"cpu", Own.Cores * 1000}, {"mem-mb", 65536}, {"gpu", 0}}},
               {"labels", {"a", Own.Rack}},
               {"clock-ms", clockMs()},
               {"sequence", ++Sequence},
               {"born", Born}};
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/mimosashunt/instances/" + Own.Id + "/heartbeat";
  Request.Headers = {{"content-type", "application/json"}};
  Request.Body = Body.dump();
  const SocketAddress &To = Own.Control[NextControl % Own.Control.size()];
  Client.send(To, Request, ReportTimeout, [this](const HttpResult &Result) {
    const auto *Response = std::get_if<HttpResponse>(&Result);
    if (Response == nullptr || Response->Status != Ok)
      ++NextControl;
  });
}

void StandInWorker::answer(const ExchangePtr &Exchange, int Status, Json Body) {
  Body["clock-ms"] = clockMs();
  Body["born"] = Born;
  Exchange->respond(jsonResponse(Status, Body.dump()));
}

void StandInWorker::refuse(const ExchangePtr &Exchange, const char *Reason) {
  answer(Exchange, Conflict, {{"reason", Reason}});
}

void StandInWorker::onRequest(const ExchangePtr &Exchange) {
  const std::string &Path = Exchange->request().Path;
  Json Body = Json::parse(Exchange->request().Body, nullptr, false);
  if (!Body.is_object())
    return Exchange->respond({NotFound, {}, {}});
  uint64_t Given = Body.value("fencing-token", uint64_t{0});
  if (Given < Token)
    return refuse(Exchange, "fence");
  Token = Given;
  if (Path == "/mimosashunt/run-start")
    return onStart(Exchange, Body);
  if (Path == "/mimosashunt/run-stop")
    return onStop(Exchange, Body);
  if (Path == "/mimosashunt/hold")
    return onLook(Exchange, Body);
  answer(Exchange, Ok, Json::object());
}

void StandInWorker::renew(int64_t UntilMs) {
  int64_t Most = clockMs() + LongestLeaseMs;
  LeaseUntilMs = std::max(LeaseUntilMs, std::min(UntilMs, Most));
}

void StandInWorker::onStart(const ExchangePtr &Exchange, const Json &Body) {
  auto Task = Body.at("task").get<std::string>();
  auto Attempt = Body.at("attempt").get<uint32_t>();
  renew(Body.at("until-ms").get<int64_t>());
  if (Body.at("until-ms").get<int64_t>() <= clockMs())
    return refuse(Exchange, "late");
  auto There = Runs.find(Task);
  if (There != Runs.end() && There->second.Attempt == Attempt)
    return answer(Exchange, Ok, Json::object());
  auto Ended = HighestEnded.find(Task);
  if (Ended != HighestEnded.end() && Attempt <= Ended->second)
    return refuse(Exchange, "old");
  ++Book.Starts;
  auto Note = [&](const char *What) {
    Book.Broken.push_back(std::string(What) + ": " + Task + " attempt " +
                          std::to_string(Attempt) + " on " + Own.Id);
  };
  if (Book.RunningOn.count(Task))
    Note("runs twice");
  if (Book.DoneOnce.count(Task))
    Note("started after it was done");
  if (!Book.Submitted.count(jobOf(Task)))
    Note("nobody submitted it");
  if (Book.Refused.count(jobOf(Task)))
    Note("runs though it was refused");
  Book.RunningOn[Task] = Own.Id;
  Run Begun{Attempt, Loop.timers().now(), lengthOf(Body), 0};
  Begun.Timer =
      Loop.timers().scheduleAt(Begun.Began + milliseconds(Begun.LengthMs),
                               [this, Task] { finish(Task, "done"); });
  Runs[Task] = Begun;
  answer(Exchange, Ok, Json::object());
}

void StandInWorker::finish(const std::string &Task, const char *How) {
  auto Found = Runs.find(Task);
  if (Found == Runs.end())
    return;
  Loop.timers().cancel(Found->second.Timer);
  uint32_t Attempt = Found->second.Attempt;
  Runs.erase(Found);
  if (Book.RunningOn[Task] == Own.Id)
    Book.RunningOn.erase(Task);
  HighestEnded[Task] = std::max(HighestEnded[Task], Attempt);
  Ends.push_back({++LastNumber, Task, Attempt, How});
  for (const ExchangePtr &Exchange : std::exchange(Waiting, {}))
    answerLook(Exchange);
}

void StandInWorker::onStop(const ExchangePtr &Exchange, const Json &Body) {
  auto Task = Body.at("task").get<std::string>();
  auto Attempt = Body.at("attempt").get<uint32_t>();
  HighestEnded[Task] = std::max(HighestEnded[Task], Attempt);
  auto Found = Runs.find(Task);
  if (Found != Runs.end() && Found->second.Attempt <= Attempt)
    finish(Task, "stopped");
  answer(Exchange, Ok, Json::object());
}

void StandInWorker::onLook(const ExchangePtr &Exchange, const Json &Body) {
  ++Book.Looks;
  uint64_t Noted = Body.value("ack-cursor", uint64_t{0});
  for (const End &Known : Ends)
    if (Known.Number <= Noted && std::string(Known.How) == "done")
      Book.DoneOnce.insert(Known.Task);
  std::erase_if(Ends, [&](const End &Known) { return Known.Number <= Noted; });
  if (Body.contains("until-ms"))
    renew(Body.at("until-ms").get<int64_t>());
  auto Wait = Body.value("wait-ms", int64_t{0});
  if (Wait == 0 || !Ends.empty())
    return answerLook(Exchange);
  Waiting.push_back(Exchange);
  Loop.timers().scheduleAt(Loop.timers().now() + milliseconds(Wait),
                           [this, Exchange] {
                             if (std::erase(Waiting, Exchange) > 0)
                               answerLook(Exchange);
                           });
}

void StandInWorker::answerLook(const ExchangePtr &Exchange) {
  constexpr int64_t Whole = 100;
  Json Running = Json::array();
  for (const auto &[Task, Known] : Runs) {
    int64_t Ran = toMillis(Loop.timers().now() - Known.Began);
    int64_t Percent =
        std::min(Whole - 1, Ran * Whole / std::max<int64_t>(Known.LengthMs, 1));
    Running.push_back({Task, Known.Attempt, "", Percent, 0});
  }
  Json Finished = Json::array();
  for (const End &Known : Ends)
    Finished.push_back(
        {Known.Number, Known.Task, Known.Attempt, Known.How, ""});
  answer(Exchange, Ok, {{"running", Running}, {"finished", Finished}});
}

void StandInWorker::checkLease() {
  if (Runs.empty() || clockMs() < LeaseUntilMs)
    return;
  while (!Runs.empty())
    finish(Runs.begin()->first, "lapsed");
}

} // namespace mimosashunt::test
