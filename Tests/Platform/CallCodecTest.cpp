// Tests the codecs of the platform's wire format, with the examples of its
// specification and with malformed input.

#include "Jobs/Limits.h"
#include "Support/TestLoop.h"
#include "platform/CallCodecs.h"
#include "platform/Fields.h"
#include "platform/WorkerClient.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::platform;

namespace {

const char *const Manifest = R"({"version":7,"routes":[
 {"name":"r-1","host":"h.example","path-prefix":"/q/","type":"unsafe","timeout-ms":3000,
  "target-latency-ms":600,"priority":1,"service":"s1","max-attempts":2,"stretch":1.6,"public":false},
 {"name":"r-2","host":"h.example","path-prefix":"/q/deep/","type":"unsafe","timeout-ms":3000,
  "service":"s1","public":true,"advice":{"decide-ms":5,"each-ms":1,"valid-ms":3000}}],
 "services":[{"name":"s1","health-path":"/health","max-connections":64,"protocol":"h1","tls":false,
  "rejects-overload":true,"standby":false}],
 "limits":{"max-body-bytes":262144},
 "tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":1,"weight":66,
  "maximum":{"cpu":1000,"mem-mb":2000,"gpu":0}}]})";

ServiceConfiguration configuration() {
  ServiceConfiguration Result;
  EXPECT_EQ(ConfigurationCodec().read(Manifest, Result), std::nullopt);
  return Result;
}

std::string manifestWith(const std::string &From, const std::string &To) {
  std::string Text = Manifest;
  size_t At = Text.find(From);
  EXPECT_NE(At, std::string::npos) << From;
  return Text.replace(At, From.size(), To);
}

HttpRequest makeRequest(const std::string &Method, const std::string &Path,
                        const std::string &Body = {},
                        const std::string &Key = {}) {
  HttpRequest Request;
  Request.Method = Method;
  Request.Path = Path;
  Request.Body = Body;
  Request.Host = "h.example:8340";
  if (!Key.empty())
    Request.Headers.push_back({"authorization", "Bearer " + Key});
  return Request;
}

const std::string Job = R"({"spec":"text","steps":[
 {"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,"affinity":"r1-3"},
 {"count":20,"cpu":2000,"mem-mb":1024,"estimate-ms":7000,"after":[0],"checkpointing":true}]})";
const std::string Id = "5c0e7a21d94b36f8";

TEST(ConfigurationCodec, ReadsCompleteConfiguration) {
  ServiceConfiguration Read = configuration();
  EXPECT_EQ(Read.Version, 7U);
  EXPECT_EQ(Read.Text, Manifest);
  ASSERT_EQ(Read.Queues.size(), 2U);
  EXPECT_EQ(Read.Queues[0].MaxAttempts, 2U);
  EXPECT_FALSE(Read.Queues[0].IsPublic);
  EXPECT_TRUE(Read.Queues[1].Advice.has_value());
  EXPECT_TRUE(Read.Pools[0].RejectsOverload);
  EXPECT_EQ(Read.findOrganisationByKey("k2")->Name, "t1");
  EXPECT_EQ(Read.findOrganisationByKey(""), nullptr);
  EXPECT_EQ(Read.Organisations[0].Maximum, (Resources{1000, 2000, 0}));
}

// Guards against limits that are stated and not used, and against a stored
// configuration that a new version cannot read.
TEST(ConfigurationCodec, ReadsTheLimitsOfCallers) {
  auto LimitsOf = [](const std::string &Limits) {
    ServiceConfiguration Read;
    EXPECT_EQ(ConfigurationCodec().read(
                  manifestWith("{\"max-body-bytes\":262144}", Limits), Read),
              std::nullopt);
    return Read.Limits;
  };
  EXPECT_EQ(LimitsOf(R"({"max-header-bytes":16384,"max-body-bytes":262144,
                         "header-timeout-ms":3000,"idle-timeout-ms":15000})"),
            (CallerLimits{16384, 262144, 3000, 15000}));
  EXPECT_EQ(LimitsOf("{}"), CallerLimits());
  EXPECT_EQ(LimitsOf(R"({"max-header-bytes":"many","header-timeout-ms":-1,
                         "idle-timeout-ms":0.5})"),
            CallerLimits());
  CallerLimits Large = LimitsOf(R"({"max-header-bytes":18446744073709551615,
                   "idle-timeout-ms":18446744073709551615})");
  EXPECT_EQ(Large.MaxHeaderBytes, MaxExactInteger);
  EXPECT_EQ(Large.IdleTimeoutMs, MaxSpanMs);
}

TEST(ConfigurationCodec, SelectsQueueByLongestPrefix) {
  ServiceConfiguration Read = configuration();
  EXPECT_EQ(Read.matchQueue("h.example", "/q/deep/1")->Name, "r-2");
  EXPECT_EQ(Read.matchQueue("h.example", "/q/other")->Name, "r-1");
  EXPECT_EQ(Read.matchQueue("other.example", "/q/1"), nullptr);
}

TEST(ConfigurationCodec, RejectsInvalidConfigurationWithReason) {
  struct Case {
    std::string Text;
    std::string ExpectedText;
  };
  std::vector<Case> Cases = {
      {std::string(Manifest).substr(0, 300), "whole"},
      {manifestWith(R"("service":"s1","max-attempts")",
                    R"("service":"s9","max-attempts")"),
       "s9"},
      {manifestWith("/q/deep/", "/q/"), "host and prefix"},
      {manifestWith(R"("timeout-ms":3000)", R"("timeout-ms":0)"), "time"},
      {manifestWith(R"("timeout-ms":3000)", R"("timeout-ms":"3000")"),
       "timeout-ms"},
      {manifestWith(R"(["k1","k2"])", R"(["k1","k1"])"), "key"},
      {manifestWith(R"("version":7)", R"("version":null)"), "version"},
      {manifestWith(R"("routes":[)", R"("paths":[)"), "routes"}};
  for (const Case &Item : Cases) {
    ServiceConfiguration Ignored;
    auto Error = ConfigurationCodec().read(Item.Text, Ignored);
    ASSERT_TRUE(Error.has_value()) << Item.ExpectedText;
    EXPECT_NE(Error->find(Item.ExpectedText), std::string::npos) << *Error;
  }
}

TEST(CallerCalls, ReadsASubmission) {
  CallerRequest Read = CallerCalls().decode(
      makeRequest("POST", "/q/" + Id, Job, "k1"), configuration());
  const auto *Call = std::get_if<JobRequest>(&Read);
  ASSERT_NE(Call, nullptr);
  EXPECT_EQ(Call->Kind, JobRequestKind::Submit);
  EXPECT_EQ(Call->Queue, "r-1");
  EXPECT_EQ(Call->Job, Id);
  EXPECT_EQ(Call->Organisation, "t1");
  ASSERT_EQ(Call->Spec.Steps.size(), 2U);
  EXPECT_EQ(Call->Spec.Steps[0].DataRack, "r1-3");
  EXPECT_EQ(Call->Spec.Steps[1].DependsOn, std::vector<uint32_t>{0});
  EXPECT_TRUE(Call->Spec.Steps[1].Checkpointing);
}

TEST(CallerCalls, RefusesUnknownQueueInvalidKeyAndMalformedBody) {
  ServiceConfiguration In = configuration();
  auto ReasonOf = [&](const HttpRequest &Request) {
    CallerRequest Read = CallerCalls().decode(Request, In);
    const auto *Refusal = std::get_if<CallRefusal>(&Read);
    return Refusal == nullptr ? -1 : static_cast<int>(Refusal->Reason);
  };
  auto Is = [](CallRefusal::ReasonCode Why) { return static_cast<int>(Why); };
  EXPECT_EQ(ReasonOf(makeRequest("GET", "/none/" + Id, {}, "k1")),
            Is(CallRefusal::ReasonCode::UnknownQueue));
  EXPECT_EQ(ReasonOf(makeRequest("GET", "/q/" + Id)),
            Is(CallRefusal::ReasonCode::InvalidKey));
  EXPECT_EQ(ReasonOf(makeRequest("GET", "/q/" + Id, {}, "k9")),
            Is(CallRefusal::ReasonCode::InvalidKey));
  EXPECT_EQ(ReasonOf(makeRequest("GET", "/q/xyz", {}, "k1")),
            Is(CallRefusal::ReasonCode::UnknownQueue));
  EXPECT_EQ(ReasonOf(makeRequest("PUT", "/q/" + Id, {}, "k1")),
            Is(CallRefusal::ReasonCode::WrongMethod));
  EXPECT_EQ(ReasonOf(makeRequest("GET", "/q/deep/" + Id)), -1);
  for (const std::string &Body :
       {std::string("{"), std::string("[]"), std::string(R"({"steps":[]})"),
        std::string(R"({"steps":[{"count":0}]})"),
        std::string(R"({"steps":[{"count":1,"cpu":"much"}]})"),
        std::string(R"({"steps":[{"count":1,"after":[0]}]})"),
        std::string(R"({"steps":[{"count":1,"cpu":-5}]})")})
    EXPECT_EQ(ReasonOf(makeRequest("POST", "/q/" + Id, Body, "k1")),
              Is(CallRefusal::ReasonCode::MalformedRequest))
        << Body;
}

TEST(CallerCalls, StatusCodesReflectOutcome) {
  CallerCalls Codec;
  EXPECT_EQ(
      Codec.answer(JobRequestKind::Submit, {JobRequestOutcome::Done, {}, 0, {}})
          .Status,
      200);
  EXPECT_EQ(Codec
                .answer(JobRequestKind::Submit,
                        {JobRequestOutcome::Uncertain, {}, 0, {}})
                .Status,
            504);
  EXPECT_EQ(Codec
                .answer(JobRequestKind::Cancel,
                        {JobRequestOutcome::NoSuchJob, {}, 0, {}})
                .Status,
            410);
  HttpResponse Later =
      Codec.answer(JobRequestKind::Submit,
                   {JobRequestOutcome::NotRun, JobState::Queued, 1200, {}});
  EXPECT_EQ(Later.Status, 503);
  EXPECT_EQ(headerValue(Later.Headers, "retry-after"), "2");
  HttpResponse Never = Codec.answer(
      JobRequestKind::Submit,
      {JobRequestOutcome::TooLarge, JobState::Queued, 0, {}, "at most 5"});
  EXPECT_EQ(Never.Status, 400);
  EXPECT_EQ(headerValue(Never.Headers, "retry-after"), "");
  EXPECT_NE(Never.Body.find("at most 5"), std::string::npos);
  HttpResponse State =
      Codec.answer(JobRequestKind::Status,
                   {JobRequestOutcome::Done, JobState::Completed, 0, {}});
  EXPECT_EQ(State.Body, R"({"state":"completed"})");
}

// Guards against an upgrade in which gateways and leaders of two versions
// cannot read each other's responses.
TEST(CallerCalls, ResponsesToJobRequestsKeepTheirEarlierForm) {
  JobResponse Done{JobRequestOutcome::Done, JobState::Running, 0, "a:1"};
  EXPECT_FALSE(readCbor(toCbor(Done)).contains("detail"));
  JobResponse Refused{
      JobRequestOutcome::TooLarge, JobState::Queued, 0, {}, "at most 5"};
  for (const JobResponse &Sent : {Done, Refused}) {
    JobResponse Read;
    ASSERT_TRUE(fromCbor(toCbor(Sent), Read));
    EXPECT_EQ(Read, Sent);
  }
}

TEST(ControlCalls, ReadsWorkerReport) {
  ConfigurationCodec Reader;
  ControlRequest Read = ControlCalls(Reader).decode(makeRequest(
      "POST", "/mimosashunt/instances/i-7f/heartbeat",
      R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","state":"draining",
           "capacity-free":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],
           "clock-ms":482113,"sequence":4,"born":1700000000000,"machine":"m-1"})"));
  const auto *Report = std::get_if<WorkerReport>(&Read);
  ASSERT_NE(Report, nullptr);
  EXPECT_EQ(Report->Entry.Key, (WorkerKey{"i-7f", 1700000000000}));
  EXPECT_EQ(Report->Entry.Vm, "m-1");
  EXPECT_EQ(Report->Entry.rack(), "r1-3");
  EXPECT_TRUE(Report->Entry.Leaving);
  EXPECT_EQ(Report->Sequence, 4U);
}

TEST(ControlCalls, ReadsWhichProcessOfAWorkerSaysFarewell) {
  ConfigurationCodec Reader;
  ControlCalls Codec(Reader);
  const std::string Path = "/mimosashunt/instances/i-7f/deregister";
  auto Read = [&](const std::string &Body) {
    return Codec.decode(makeRequest("POST", Path, Body));
  };
  ControlRequest Named = Read(R"({"born":1700000000000})");
  ASSERT_TRUE(std::holds_alternative<WorkerDeregistration>(Named));
  EXPECT_EQ(std::get<WorkerDeregistration>(Named).Incarnation, 1700000000000);
  for (const char *Body : {"", "{}"}) {
    ControlRequest Unnamed = Read(Body);
    ASSERT_TRUE(std::holds_alternative<WorkerDeregistration>(Unnamed)) << Body;
    EXPECT_EQ(std::get<WorkerDeregistration>(Unnamed).Incarnation,
              std::nullopt);
  }
  for (const char *Body : {R"({"born":"now"})", R"({"born":1e400})", "\xff"})
    EXPECT_TRUE(std::holds_alternative<InvalidControlRequest>(Read(Body)))
        << Body;
}

TEST(ControlCalls, RejectsMalformedReports) {
  ConfigurationCodec Reader;
  ControlCalls Codec(Reader);
  for (const std::string &Body :
       {std::string("\xff\xfe"), std::string("{}"),
        std::string(R"({"service":1,"address":"a","state":"ready"})"),
        std::string(R"({"service":"s1","address":"a","state":"dancing"})"),
        std::string(
            R"({"service":"s1","address":"a","state":"ready","labels":3})")})
    EXPECT_TRUE(std::holds_alternative<InvalidControlRequest>(Codec.decode(
        makeRequest("POST", "/mimosashunt/instances/i-7f/heartbeat", Body))))
        << Body;
}

TEST(ControlCalls, RejectsReportsWithoutAUsableAddress) {
  // Guards against a leader that ends when it polls such a worker.
  ConfigurationCodec Reader;
  ControlCalls Codec(Reader);
  for (const char *Address :
       {"", "10.0.0.9", "10.0.0.9:99999", "10.0.0.9:0", "worker.example:80",
        "10.0.0.9:80x", "10.0.0.9\\u0000x:80"}) {
    std::string Body = R"({"service":"s1","state":"ready","address":")" +
                       std::string(Address) + "\"}";
    EXPECT_TRUE(std::holds_alternative<InvalidControlRequest>(Codec.decode(
        makeRequest("POST", "/mimosashunt/instances/i-7f/heartbeat", Body))))
        << Body;
  }
}

TEST(ControlCalls, RejectsReportsWithAmountsOutOfRange) {
  // Guards against sums over workers that overflow, and against clocks and
  // sequences that no later report can exceed.
  ConfigurationCodec Reader;
  ControlCalls Codec(Reader);
  for (const char *Field :
       {R"("capacity-free":{"cpu":-1})", R"("capacity-free":{"gpu":1e400})",
        R"("capacity-free":{"cpu":9223372036854775807})",
        R"("capacity-free":{"mem-mb":18446744073709551615})",
        R"("capacity-free":{"mem-mb":1e300})", R"("sequence":-1)",
        R"("sequence":18446744073709551615)", R"("clock-ms":-1)",
        R"("clock-ms":9007199254740993)", R"("born":-1)",
        R"("born":9223372036854775808)"}) {
    std::string Body =
        R"({"service":"s1","state":"ready","address":"10.0.0.9:80",)" +
        std::string(Field) + "}";
    EXPECT_TRUE(std::holds_alternative<InvalidControlRequest>(Codec.decode(
        makeRequest("POST", "/mimosashunt/instances/i-7f/heartbeat", Body))))
        << Body;
  }
}

TEST(CallerCalls, RefusesJobsBeyondTheLimits) {
  // Guards against a job that takes the memory of each scheduler, 10^10 tasks.
  for (const char *Body :
       {R"({"steps":[{"count":1,"cpu":9223372036854775807}]})",
        R"({"steps":[{"count":1,"target-ms":-1}]})",
        R"({"steps":[{"count":1,"estimate-ms":18446744073709551615}]})",
        R"({"steps":[{"count":1}],"repeat-count":2,"start-at-ms":-1})",
        R"({"steps":[{"count":1}],"interval-ms":1e300})",
        R"({"steps":[{"count":100000}],"repeat-count":100000})"})
    EXPECT_THROW(parseJobSpec(Body), FieldError) << Body;
}

TEST(ConfigurationCodec,
     AmountsOutOfRangeAreRefusedButStoredTextStaysReadable) {
  ConfigurationCodec Reader;
  for (const auto &[From, To] :
       std::vector<std::pair<std::string, std::string>>{
           {R"("stretch":1.6)", R"("stretch":1e300)"},
           {R"("weight":66)", R"("weight":-1)"},
           {R"("cpu":1000)", R"("cpu":18446744073709551615)"},
           {R"("valid-ms":3000)", R"("valid-ms":9223372036854775807)"}}) {
    std::string Text = manifestWith(From, To);
    EXPECT_TRUE(std::holds_alternative<InvalidControlRequest>(
        ControlCalls(Reader).decode(
            makeRequest("POST", "/mimosashunt/config/replace", Text))))
        << To;
    ServiceConfiguration Stored;
    EXPECT_EQ(Reader.read(Text, Stored), std::nullopt) << To;
    EXPECT_LE(Stored.Organisations[0].Maximum.Cpu, MaxAmount);
  }
}

TEST(WorkerClient, NothingIsSentToAStoredWorkerWithoutAnAddress) {
  // The replicated state may hold such entries; each new leader polls them.
  test::TestLoop Lasting;
  EventLoop &Loop = Lasting.Loop;
  RejectedInput Rejected;
  WorkerClient Client(Loop, std::nullopt, Rejected);
  WorkerEntry Worker;
  Worker.Address = "10.0.0.9:99999";
  std::optional<OrderOutcome> Polled;
  std::optional<OrderOutcome> Stopped;
  Client.pollWorker(Worker, {}, [&](const PollResponse &Response) {
    Polled = Response.Outcome;
  });
  Client.stopRun(Worker, {}, [&](const OrderResponse &Response) {
    Stopped = Response.Outcome;
  });
  while (!Polled || !Stopped)
    Loop.runOnce();
  EXPECT_EQ(Polled, OrderOutcome::NotSent);
  EXPECT_EQ(Stopped, OrderOutcome::NotSent);
}

TEST(ControlCalls, ReadsWaveStartAndWaveQuery) {
  ConfigurationCodec Reader;
  ControlCalls Codec(Reader);
  ControlRequest Read = Codec.decode(makeRequest(
      "POST", "/mimosashunt/wave-start",
      R"({"wave":3,"machines":["m-1","m-2"],"duration-s":20.5,"maximum":2})"));
  const auto *Wave = std::get_if<StartWave>(&Read);
  ASSERT_NE(Wave, nullptr);
  EXPECT_EQ(Wave->Wave, 3U);
  EXPECT_EQ(Wave->DurationMs, 20500);
  EXPECT_EQ(Wave->MaxDown, 2U);
  ControlRequest Query =
      Codec.decode(makeRequest("GET", "/mimosashunt/wave-get/3"));
  ASSERT_NE(std::get_if<WaveQuery>(&Query), nullptr);
  EXPECT_EQ(std::get<WaveQuery>(Query).Wave, 3U);
  EXPECT_TRUE(std::holds_alternative<InvalidControlRequest>(
      Codec.decode(makeRequest("GET", "/mimosashunt/nothing"))));
}

TEST(ControlCalls, ReadsEvacuationOrders) {
  ConfigurationCodec Reader;
  ControlCalls Codec(Reader);
  ControlRequest Read =
      Codec.decode(makeRequest("POST", "/mimosashunt/evacuate/arusha-a/start"));
  const auto *Order = std::get_if<EvacuationOrder>(&Read);
  ASSERT_NE(Order, nullptr);
  EXPECT_EQ(Order->DataCentre, "arusha-a");
  EXPECT_TRUE(Order->Active);
  Read = Codec.decode(
      makeRequest("POST", "/mimosashunt/evacuate/arusha-a/finish"));
  ASSERT_NE(std::get_if<EvacuationOrder>(&Read), nullptr);
  EXPECT_FALSE(std::get<EvacuationOrder>(Read).Active);
}

TEST(ControlCalls, RefusesMalformedEvacuationOrders) {
  ConfigurationCodec Reader;
  ControlCalls Codec(Reader);
  auto StatusOf = [&](const HttpRequest &Request) {
    ControlRequest Read = Codec.decode(Request);
    const auto *Invalid = std::get_if<InvalidControlRequest>(&Read);
    return Invalid == nullptr ? 0 : Codec.refusalResponse(*Invalid).Status;
  };
  const std::string Prefix = "/mimosashunt/evacuate/";
  EXPECT_EQ(StatusOf(makeRequest("POST", Prefix + "a/start", "{}")), 400);
  for (const char *Suffix : {"a", "a/", "/start", "a/begin", "a/start/now", ""})
    EXPECT_EQ(StatusOf(makeRequest("POST", Prefix + Suffix)), 404) << Suffix;
  EXPECT_EQ(StatusOf(makeRequest("GET", Prefix + "a/start")), 404);
}

TEST(Fields, TaskIdRoundTrips) {
  TaskId Task{Id, 2, 1, 17};
  EXPECT_EQ(formatTaskId(Task), Id + ".2.1.17");
  EXPECT_EQ(parseTaskId(formatTaskId(Task)), Task);
  for (const char *Bad : {"", "x", "x.1", "x.1.2", "x.1.2.y", "x.1.2.3.4"})
    EXPECT_THROW(parseTaskId(Bad), FieldError) << Bad;
}

} // namespace
