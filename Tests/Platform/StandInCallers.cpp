// Submits jobs to entry VMs and polls their states.

#include "Platform/StandInCallers.h"

#include <array>
#include <cstdio>
#include <utility>

namespace mimosashunt::test {

namespace {

constexpr int Ok = 200;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;
constexpr int Gone = 410;
constexpr int MaxAttempts = 12;
constexpr Duration CallTimeout = seconds(3);
constexpr Duration RetryBackoff = milliseconds(500);
constexpr Duration PollInterval = milliseconds(250);
constexpr double MicrosPerSecond = 1e6;

Json makeRoute(const std::string &Pool, const std::string &Host) {
  return {{"name", Pool + "-" + Host},
          {"host", Host},
          {"path-prefix", "/" + Pool + "/"},
          {"timeout-ms", 3000},
          {"target-latency-ms", 600},
          {"service", Pool},
          {"max-attempts", 3},
          {"stretch", 1.6},
          {"public", true}};
}

std::string formatJobId(uint64_t Number) {
  std::array<char, 17> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(Number));
  return Text.data();
}

} // namespace

StandInCallers::StandInCallers(EventLoop &Loop, HttpClient &Client,
                               TaskHistory &History, Settings InitialConfig)
    : Loop(Loop), Client(Client), History(History),
      Config(std::move(InitialConfig)), Random(Config.Seed) {}

HttpRequest StandInCallers::makeRequest(const char *Method,
                                        const std::string &Path) const {
  HttpRequest Result;
  Result.Method = Method;
  Result.Path = Path;
  Result.Headers = {
      {"content-type", "application/json"},
      {"mimosashunt-deadline-ms", std::to_string(toMillis(CallTimeout))}};
  return Result;
}

void StandInCallers::uploadConfiguration(std::function<void()> Done) {
  Json Routes = Json::array();
  Json Services = Json::array();
  for (const std::string &Pool : Config.Pools) {
    // HttpClient sends the destination's address as the Host header.
    for (const SocketAddress &Entry : Config.EntryAddresses)
      Routes.push_back(makeRoute(Pool, Entry.ip()));
    Services.push_back({{"name", Pool}, {"rejects-overload", true}});
  }
  HttpRequest Request = makeRequest("POST", "/mimosashunt/config/replace");
  Request.Body = Json{{"version", 1},
                      {"routes", Routes},
                      {"services", Services},
                      {"limits", Json::object()},
                      {"tenants", Json::array()}}
                     .dump();
  const SocketAddress &To =
      Config.ControlAddresses[NextControl++ % Config.ControlAddresses.size()];
  Client.send(To, Request, CallTimeout,
              [this, Done = std::move(Done)](const HttpResult &Result) {
                const auto *Response = std::get_if<HttpResponse>(&Result);
                if (Response != nullptr && Response->Status == Ok)
                  return Done();
                Loop.timers().scheduleAt(
                    Loop.timers().now() + RetryBackoff,
                    [this, Done] { uploadConfiguration(Done); });
              });
}

void StandInCallers::beginSubmitting() {
  IsSubmitting = true;
  submitNextJob();
}

void StandInCallers::submitNextJob() {
  if (!IsSubmitting)
    return;
  std::string Id = formatJobId(Random());
  const std::string &Pool = Config.Pools[Random() % Config.Pools.size()];
  Json Steps = Json::array();
  for (uint32_t I = 0; I < Config.Steps; ++I) {
    Json Step = {{"count", Config.TasksPerStep},
                 {"cpu", Config.Cpu},
                 {"mem-mb", 256},
                 {"estimate-ms", Config.TaskDurationMs}};
    if (I > 0)
      Step["after"] = {I - 1};
    Steps.push_back(std::move(Step));
  }
  Json Body = {{"spec", std::to_string(Config.TaskDurationMs)},
               {"steps", Steps}};
  PendingJobs[Id] = {"/" + Pool + "/" + Id, Body.dump(), Loop.timers().now(), 0,
                     false};
  History.SubmittedJobs.insert(Id);
  ++Counts.Submitted;
  sendSubmission(Id);
  std::exponential_distribution<double> GapDistribution(Config.JobsPerSecond);
  auto Gap =
      Duration(static_cast<int64_t>(GapDistribution(Random) * MicrosPerSecond));
  Loop.timers().scheduleAt(Loop.timers().now() + Gap,
                           [this] { submitNextJob(); });
}

const SocketAddress &StandInCallers::randomEntry() {
  return Config.EntryAddresses[Random() % Config.EntryAddresses.size()];
}

void StandInCallers::sendSubmission(const std::string &Id) {
  Job &Pending = PendingJobs.at(Id);
  ++Pending.Attempts;
  HttpRequest Request = makeRequest("POST", Pending.Path);
  Request.Body = Pending.Body;
  Client.send(randomEntry(), Request, CallTimeout,
              [this, Id](const HttpResult &Result) {
                handleSubmitResponse(Id, Result);
              });
}

void StandInCallers::handleSubmitResponse(const std::string &Id,
                                          const HttpResult &Result) {
  auto JobEntry = PendingJobs.find(Id);
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response != nullptr && Response->Status == Ok) {
    ++Counts.Accepted;
    AcceptedJobs[Id] = std::move(JobEntry->second);
    PendingJobs.erase(JobEntry);
    return pollJob(Id);
  }
  bool NotRun = Response != nullptr && (Response->Status == Unavailable ||
                                        Response->Status == TooManyRequests);
  bool NotSent = std::holds_alternative<HttpNotSent>(Result);
  JobEntry->second.MaybeAccepted |= !NotRun && !NotSent;
  if (JobEntry->second.Attempts < MaxAttempts)
    return scheduleRetry(Id);
  bool MaybeAccepted = JobEntry->second.MaybeAccepted;
  if (!MaybeAccepted)
    History.RefusedJobs.insert(Id);
  ++(MaybeAccepted ? Counts.Uncertain : Counts.Refused);
  PendingJobs.erase(JobEntry);
}

void StandInCallers::scheduleRetry(const std::string &Id) {
  Loop.timers().scheduleAt(Loop.timers().now() + RetryBackoff,
                           [this, Id] { sendSubmission(Id); });
}

void StandInCallers::pollJob(const std::string &Id) {
  auto JobEntry = AcceptedJobs.find(Id);
  Client.send(
      randomEntry(), makeRequest("GET", JobEntry->second.Path), CallTimeout,
      [this, Id](const HttpResult &Result) {
        auto JobEntry = AcceptedJobs.find(Id);
        const auto *Response = std::get_if<HttpResponse>(&Result);
        bool HasState = Response != nullptr && Response->Status == Ok;
        if (Response != nullptr && Response->Status == Gone)
          History.Violations.push_back("accepted job is unknown: " + Id);
        bool Completed =
            HasState && Response->Body.find("completed") != std::string::npos;
        bool Failed =
            HasState && Response->Body.find("failed") != std::string::npos;
        if (Failed)
          History.Violations.push_back("job failed without cause: " + Id);
        if (Completed) {
          ++Counts.Completed;
          Counts.LatenciesMs.push_back(
              toMillis(Loop.timers().now() - JobEntry->second.SubmittedAt));
        }
        if (Completed || Failed) {
          AcceptedJobs.erase(JobEntry);
          return;
        }
        Loop.timers().scheduleAt(Loop.timers().now() + PollInterval,
                                 [this, Id] { pollJob(Id); });
      });
}

} // namespace mimosashunt::test
