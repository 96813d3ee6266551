#include "Platform/StandInCallers.h"

#include <array>
#include <cstdio>
#include <utility>

namespace mimosashunt::test {

namespace {

constexpr int Ok = 200;
constexpr int TooMany = 429;
constexpr int Unavailable = 503;
constexpr int Gone = 410;
constexpr int MaxTries = 12;
constexpr Duration CallTimeout = seconds(3);
constexpr Duration RetryPause = milliseconds(500);
constexpr Duration PollPeriod = milliseconds(250);
constexpr double MicrosPerSecond = 1e6;

Json routeTo(const std::string &Pool, const std::string &Host) {
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

std::string jobId(uint64_t Number) {
  std::array<char, 17> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(Number));
  return Text.data();
}

} // namespace

StandInCallers::StandInCallers(EventLoop &Loop, HttpClient &Client,
                               TaskBook &Book, Settings Given)
    : Loop(Loop), Client(Client), Book(Book), Own(std::move(Given)),
      Random(Own.Seed) {}

HttpRequest StandInCallers::request(const char *Method,
                                    const std::string &Path) const {
  HttpRequest Result;
  Result.Method = Method;
  Result.Path = Path;
  Result.Headers = {
      {"content-type", "application/json"},
      {"mimosashunt-deadline-ms", std::to_string(toMillis(CallTimeout))}};
  return Result;
}

void StandInCallers::configure(std::function<void()> Ready) {
  Json Routes = Json::array();
  Json Services = Json::array();
  for (const std::string &Pool : Own.Pools) {
    // The client names the address that it sends to as the host.
    for (const SocketAddress &Entry : Own.Entries)
      Routes.push_back(routeTo(Pool, Entry.ip()));
    Services.push_back({{"name", Pool}, {"rejects-overload", true}});
  }
  HttpRequest Request = request("POST", "/mimosashunt/config/replace");
  Request.Body = Json{{"version", 1},
                      {"routes", Routes},
                      {"services", Services},
                      {"limits", Json::object()},
                      {"tenants", Json::array()}}
                     .dump();
  const SocketAddress &To = Own.Control[NextControl++ % Own.Control.size()];
  Client.send(To, Request, CallTimeout,
              [this, Ready = std::move(Ready)](const HttpResult &Result) {
                const auto *Response = std::get_if<HttpResponse>(&Result);
                if (Response != nullptr && Response->Status == Ok)
                  return Ready();
                Loop.timers().scheduleAt(Loop.timers().now() + RetryPause,
                                         [this, Ready] { configure(Ready); });
              });
}

void StandInCallers::beginSubmitting() {
  Submitting = true;
  submit();
}

void StandInCallers::submit() {
  if (!Submitting)
    return;
  std::string Id = jobId(Random());
  const std::string &Pool = Own.Pools[Random() % Own.Pools.size()];
  Json Steps = Json::array();
  for (uint32_t I = 0; I < Own.Steps; ++I) {
    Json Step = {{"count", Own.Width},
                 {"cpu", Own.Cpu},
                 {"mem-mb", 256},
                 {"estimate-ms", Own.TaskMs}};
    if (I > 0)
      Step["after"] = {I - 1};
    Steps.push_back(std::move(Step));
  }
  Json Body = {{"spec", std::to_string(Own.TaskMs)}, {"steps", Steps}};
  Asking[Id] = {"/" + Pool + "/" + Id, Body.dump(), Loop.timers().now(), 0,
                false};
  Book.Submitted.insert(Id);
  ++Counts.Submitted;
  send(Id);
  std::exponential_distribution<double> Gap(Own.JobsPerSecond);
  auto Pause = Duration(static_cast<int64_t>(Gap(Random) * MicrosPerSecond));
  Loop.timers().scheduleAt(Loop.timers().now() + Pause, [this] { submit(); });
}

const SocketAddress &StandInCallers::anyEntry() {
  return Own.Entries[Random() % Own.Entries.size()];
}

void StandInCallers::send(const std::string &Id) {
  Job &Asked = Asking.at(Id);
  ++Asked.Tries;
  HttpRequest Request = request("POST", Asked.Path);
  Request.Body = Asked.Body;
  Client.send(anyEntry(), Request, CallTimeout,
              [this, Id](const HttpResult &Result) { answered(Id, Result); });
}

void StandInCallers::answered(const std::string &Id, const HttpResult &Result) {
  auto Found = Asking.find(Id);
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response != nullptr && Response->Status == Ok) {
    ++Counts.Accepted;
    Open[Id] = std::move(Found->second);
    Asking.erase(Found);
    return poll(Id);
  }
  bool NotRun = Response != nullptr && (Response->Status == Unavailable ||
                                        Response->Status == TooMany);
  bool NotSent = std::holds_alternative<HttpNotSent>(Result);
  Found->second.MaybeTaken |= !NotRun && !NotSent;
  if (Found->second.Tries < MaxTries)
    return tryAgain(Id);
  bool Maybe = Found->second.MaybeTaken;
  if (!Maybe)
    Book.Refused.insert(Id);
  ++(Maybe ? Counts.Unclear : Counts.Refused);
  Asking.erase(Found);
}

void StandInCallers::tryAgain(const std::string &Id) {
  Loop.timers().scheduleAt(Loop.timers().now() + RetryPause,
                           [this, Id] { send(Id); });
}

void StandInCallers::poll(const std::string &Id) {
  auto Found = Open.find(Id);
  Client.send(anyEntry(), request("GET", Found->second.Path), CallTimeout,
              [this, Id](const HttpResult &Result) {
                auto Found = Open.find(Id);
                const auto *Response = std::get_if<HttpResponse>(&Result);
                bool Known = Response != nullptr && Response->Status == Ok;
                if (Response != nullptr && Response->Status == Gone)
                  Book.Broken.push_back("an accepted job is not known: " + Id);
                bool Completed = Known && Response->Body.find("completed") !=
                                              std::string::npos;
                bool Failed =
                    Known && Response->Body.find("failed") != std::string::npos;
                if (Failed)
                  Book.Broken.push_back("failed without cause: " + Id);
                if (Completed) {
                  ++Counts.Completed;
                  Counts.TookMs.push_back(
                      toMillis(Loop.timers().now() - Found->second.Began));
                }
                if (Completed || Failed) {
                  Open.erase(Found);
                  return;
                }
                Loop.timers().scheduleAt(Loop.timers().now() + PollPeriod,
                                         [this, Id] { poll(Id); });
              });
}

} // namespace mimosashunt::test
