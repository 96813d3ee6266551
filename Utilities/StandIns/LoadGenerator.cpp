#include "StandIns/LoadGenerator.h"

#include "Daemon/Secrets.h"
#include "Entry/RequestHeaders.h"
#include "Links/SystemTime.h"

#include <chrono>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration RequestTimeout = seconds(15);
constexpr unsigned MaxAttempts = 4;
constexpr size_t PrefixBytes = 6;
constexpr double MicrosPerSecond = 1e6;

} // namespace

LoadGenerator::LoadGenerator(LoadOptions InitialOptions)
    : Options(std::move(InitialOptions)),
      Client(Loop, {.ConnectionsPerAddress = Options.Concurrency}),
      Latency(
          LoadMetrics.summary("load_request_seconds", "Time to an answer.")),
      Tracer("load", Options.TraceFile, Options.TraceEvery),
      StartedAt(bootNow()), LastAccepted(StartedAt),
      IdPrefix(randomHex(PrefixBytes)) {}

bool LoadGenerator::isFinished() const {
  bool TimeIsOver = Options.TimeLimit > Duration::zero() &&
                    bootNow() - StartedAt >= Options.TimeLimit;
  return TimeIsOver || Sent >= Options.Count;
}

Json LoadGenerator::run() {
  for (uint32_t I = 0; I < Options.Concurrency; ++I)
    sendNext();
  while (InFlight > 0 || !isFinished())
    Loop.runOnce();
  double Elapsed =
      static_cast<double>((bootNow() - StartedAt).count()) / MicrosPerSecond;
  Json Report = {{"sent", Sent},
                 {"outcomes", Outcomes},
                 {"wrongAnswers", WrongAnswers},
                 {"cutOff", CutOff},
                 {"seconds", Elapsed},
                 {"requestsPerSecond", static_cast<double>(Sent) / Elapsed},
                 {"lastAcceptedMillis", toMillis(LastAccepted - StartedAt)}};
  auto Collected = Latency.Collect();
  Json Quantiles = Json::object();
  for (const auto &Quantile : Collected.summary.quantile)
    Quantiles["p" + std::to_string(Quantile.quantile * 100).substr(0, 4)] =
        Quantile.value * 1000;
  Report["latencyMillis"] = std::move(Quantiles);
  return Report;
}

void LoadGenerator::sendNext() {
  if (isFinished())
    return;
  std::string Number = std::to_string(++Sent);
  std::string Id = Options.WithIds ? IdPrefix + "-" + Number : std::string();
  std::string Body = IdPrefix + "-" + Number + ":";
  Body.resize(std::max(Body.size(), Options.BodyBytes), 'x');
  ++InFlight;
  send(Body, Id, 1);
}

void LoadGenerator::send(const std::string &Body, const std::string &Id,
                         unsigned Attempt) {
  HttpRequest Request;
  Request.Method = Options.Post ? "POST" : "PUT";
  Request.Path =
      Options.Direct ? "/work" : "/v1/queues/" + Options.Queue + "/work";
  Request.Body = Body;
  if (!Options.Key.empty())
    Request.Headers.push_back(
        {headers::Authorization, "Bearer " + Options.Key});
  if (!Id.empty())
    Request.Headers.push_back({headers::RequestId, Id});
  if (!Id.empty() && Attempt == 1)
    Request.Headers.push_back({headers::FirstSend, "true"});
  auto Span =
      std::shared_ptr<opentracing::Span>(Tracer.start("load.request", {}));
  Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  // A retry goes to another entry VM, as it would behind a load balancer.
  size_t First = std::hash<std::string>()(Body);
  size_t To = (First + Attempt - 1) % Options.Entries.size();
  Instant Started = bootNow();
  Client.send(
      Options.Entries[To], Request, RequestTimeout,
      [this, Body, Id, Attempt, Started, Span](const HttpResult &Result) {
        Span->Finish();
        handleResult(Body, Id, Attempt, Started, Result);
      });
}

void LoadGenerator::handleResult(const std::string &Body, const std::string &Id,
                                 unsigned Attempt, Instant Started,
                                 const HttpResult &Result) {
  bool MayRetry = !Id.empty() && Attempt < MaxAttempts;
  if (const auto *Response = std::get_if<HttpResponse>(&Result)) {
    Duration Took = bootNow() - Started;
    Latency.Observe(std::chrono::duration<double>(Took).count());
    classify(Body, *Response);
  } else if (std::holds_alternative<HttpNotSent>(Result)) {
    // A load balancer tries another entry VM if one refuses connections.
    if (Attempt < MaxAttempts)
      return send(Body, Id, Attempt + 1);
    ++Outcomes["no-connection"];
  } else if (MayRetry) {
    ++Outcomes["resent"];
    return send(Body, Id, Attempt + 1);
  } else {
    ++CutOff;
    ++Outcomes["cut-off"];
  }
  finishRequest();
}

void LoadGenerator::classify(const std::string &Body,
                             const HttpResponse &Response) {
  std::string Name = headerValue(Response.Headers, headers::Outcome);
  if (Options.Direct)
    Name = Response.Status == 200 ? "answered" : "refused";
  if (Name == "answered") {
    LastAccepted = bootNow();
    if (Response.Status == 200 && Response.Body != Body)
      ++WrongAnswers;
  } else {
    Json Problem = Json::parse(Response.Body, nullptr, false);
    if (Problem.is_object())
      Name += "." + Problem.value("title", std::string());
  }
  ++Outcomes[Name.empty() ? "status-" + std::to_string(Response.Status) : Name];
}

void LoadGenerator::finishRequest() {
  --InFlight;
  if (Options.Pause == Duration::zero())
    return sendNext();
  Loop.timers().scheduleAt(bootNow() + Options.Pause, [this] { sendNext(); });
}

} // namespace mimosashunt
