#include "StandIns/LoadGenerator.h"

#include "Daemon/Secrets.h"
#include "Entry/RequestHeaders.h"
#include "Links/SystemTime.h"

#include <chrono>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration CallTimeout = seconds(15);
constexpr unsigned MaxSendings = 4;
constexpr size_t PrefixBytes = 6;
constexpr double MicrosPerSecond = 1e6;

} // namespace

LoadGenerator::LoadGenerator(LoadOptions Given)
    : Options(std::move(Given)),
      Client(Loop, {.ConnectionsPerAddress = Options.Concurrency}),
      Latency(Measured.summary("load_request_seconds", "Time to an answer.")),
      Tracer("load", Options.TraceFile, Options.TraceEvery), Began(bootNow()),
      LastAccepted(Began), Prefix(randomHex(PrefixBytes)) {}

bool LoadGenerator::over() const {
  bool Late =
      Options.Span > Duration::zero() && bootNow() - Began >= Options.Span;
  return Late || Sent >= Options.Count;
}

Json LoadGenerator::run() {
  for (uint32_t I = 0; I < Options.Concurrency; ++I)
    sendNext();
  while (InFlight > 0 || !over())
    Loop.runOnce();
  double Took =
      static_cast<double>((bootNow() - Began).count()) / MicrosPerSecond;
  Json Account = {{"sent", Sent},
                  {"outcomes", Outcomes},
                  {"wrongAnswers", WrongAnswers},
                  {"cutOff", CutOff},
                  {"seconds", Took},
                  {"requestsPerSecond", static_cast<double>(Sent) / Took},
                  {"lastAcceptedMillis", toMillis(LastAccepted - Began)}};
  auto Collected = Latency.Collect();
  Json Quantiles = Json::object();
  for (const auto &Item : Collected.summary.quantile)
    Quantiles["p" + std::to_string(Item.quantile * 100).substr(0, 4)] =
        Item.value * 1000;
  Account["latencyMillis"] = std::move(Quantiles);
  return Account;
}

void LoadGenerator::sendNext() {
  if (over())
    return;
  std::string Number = std::to_string(++Sent);
  std::string Id = Options.WithIds ? Prefix + "-" + Number : std::string();
  std::string Body = Prefix + "-" + Number + ":";
  Body.resize(std::max(Body.size(), Options.BodyBytes), 'x');
  ++InFlight;
  send(Body, Id, 1);
}

void LoadGenerator::send(const std::string &Body, const std::string &Id,
                         unsigned Try) {
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
  if (!Id.empty() && Try == 1)
    Request.Headers.push_back({headers::FirstSend, "true"});
  auto Span =
      std::shared_ptr<opentracing::Span>(Tracer.start("load.request", {}));
  Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  // A resend goes to another entry VM, as the balancer would send it.
  size_t First = std::hash<std::string>()(Body);
  size_t To = (First + Try - 1) % Options.Entries.size();
  Instant Started = bootNow();
  Client.send(Options.Entries[To], Request, CallTimeout,
              [this, Body, Id, Try, Started, Span](const HttpResult &Result) {
                Span->Finish();
                done(Body, Id, Try, Started, Result);
              });
}

void LoadGenerator::done(const std::string &Body, const std::string &Id,
                         unsigned Try, Instant Started,
                         const HttpResult &Result) {
  bool MayResend = !Id.empty() && Try < MaxSendings;
  if (const auto *Response = std::get_if<HttpResponse>(&Result)) {
    Duration Took = bootNow() - Started;
    Latency.Observe(std::chrono::duration<double>(Took).count());
    classify(Body, *Response);
  } else if (std::holds_alternative<HttpNotSent>(Result)) {
    // The balancer tries another entry VM when one refuses connections.
    if (Try < MaxSendings)
      return send(Body, Id, Try + 1);
    ++Outcomes["no-connection"];
  } else if (MayResend) {
    ++Outcomes["resent"];
    return send(Body, Id, Try + 1);
  } else {
    ++CutOff;
    ++Outcomes["cut-off"];
  }
  senderFree();
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

void LoadGenerator::senderFree() {
  --InFlight;
  if (Options.Pause == Duration::zero())
    return sendNext();
  Loop.timers().scheduleAt(bootNow() + Options.Pause, [this] { sendNext(); });
}

} // namespace mimosashunt
