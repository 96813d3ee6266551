#include "Fleet/GatewayDaemon.h"

#include "Jobs/Limits.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr int Ok = 200;
constexpr int Unavailable = 503;
/// Upper bound of a call's timeout, and its default if the caller names none.
constexpr Duration MaxCallTimeout = milliseconds(2500);
/// Part of the caller's timeout that is reserved for returning the response.
constexpr Duration ResponseMargin = milliseconds(150);
/// The balancer stops sending requests after two failed probes, one second
/// apart.
constexpr Duration BalancerDetectionTime = milliseconds(2300);
/// Part of the grace period that is reserved for exiting the process.
constexpr Duration StopMargin = milliseconds(700);
constexpr Duration ReportInterval = seconds(1);
/// What the process takes without connections, with a margin.
constexpr int64_t RestMb = 12;
/// The other half is for what the allocator keeps and the kernel holds.
constexpr int ConnectionPercent = 50;
/// A large request fits even with the least memory that the settings allow.
constexpr int64_t MinConnectionBytes = 2 << 20;
/// The rest of the descriptors is for the links to control VMs and for files.
constexpr ConnectionPart CallerPart = {90, 60};
constexpr ConnectionPart ProbePart = {5, 3};

ConnectionResources connectionResources(const FleetSettings &Settings) {
  return {connectionBytes(Settings.MemoryMb, RestMb, ConnectionPercent,
                          MinConnectionBytes),
          Settings.MaxDescriptors};
}

/// Returns what a decoded request takes at most until the leader has answered.
int64_t estimateBytes(const JobRequest &Request) {
  // The request, its encoding, and the encoding as the link sends it.
  constexpr size_t TextCopies = 3;
  constexpr size_t EncodedStepBytes = 200;
  constexpr size_t EncodedStepCopies = 2;
  size_t Bytes = TextCopies * Request.Spec.Payload.size();
  for (const StepSpec &Step : Request.Spec.Steps)
    Bytes += sizeof(StepSpec) + EncodedStepCopies * EncodedStepBytes +
             TextCopies *
                 (Step.RequiredLabel.size() + Step.DataRack.size() +
                  Step.Image.size() + Step.DependsOn.size() * sizeof(uint32_t));
  return static_cast<int64_t>(Bytes);
}

HttpServerOptions serverOptions(const FleetSettings &Settings,
                                ConnectionPart Part,
                                const ClientLimits &Limits) {
  HttpServerOptions Options;
  Options.Limits = Limits;
  Options.Budget = limitsOf(connectionResources(Settings), Part);
  return Options;
}

} // namespace

GatewayDaemon::GatewayDaemon(FleetSettings InitialSettings,
                             std::string SettingsFile, EventLoop &Loop,
                             const ConfigurationReader &Reader,
                             const CallerCodec &Codec)
    : Settings(std::move(InitialSettings)),
      SettingsFile(std::move(SettingsFile)), Loop(Loop), Codec(Codec),
      Events(Settings.Vm, "entry", Settings.LogLevel),
      Link(Loop, Settings.Vm, Settings.seedInternalAddresses(), Reader, Events),
      CallerServer(
          Loop,
          [this](const ExchangePtr &Exchange) {
            handleCallerRequest(Exchange);
          },
          serverOptions(Settings, CallerPart, Settings.CallerLimits)),
      ReadinessServer(
          Loop,
          [this](const ExchangePtr &Exchange) {
            handleReadinessProbe(Exchange);
          },
          serverOptions(Settings, ProbePart, {})),
      MetricsServer(
          Loop,
          [this](const ExchangePtr &Exchange) {
            Exchange->respond(
                {Ok, {{"content-type", "text/plain"}}, metricsText()});
          },
          serverOptions(Settings, ProbePart, {})),
      Connections(Registry),
      CallDurationSummary(Registry.summary("mimosashunt_call_seconds",
                                           "Time of a call to the leader")) {
  Connections.add("callers", CallerServer);
  Connections.add("readiness", ReadinessServer);
  Connections.add("metrics", MetricsServer);
  ReportTimer = Loop.timers().scheduleEvery(ReportInterval, [this] {
    Connections.logNew([this](Json Fields) {
      Events.log("connections_limited", std::move(Fields));
    });
  });
}

GatewayDaemon::~GatewayDaemon() { Loop.timers().cancel(ReportTimer); }

std::error_code GatewayDaemon::open(std::string &Key) {
  Key = "callersListen";
  if (std::error_code Error = CallerServer.listen(*Settings.CallersListen))
    return Error;
  Key = "readyListen";
  if (std::error_code Error = ReadinessServer.listen(*Settings.ReadyListen))
    return Error;
  Key = "metricsListen";
  if (Settings.MetricsListen)
    if (std::error_code Error = MetricsServer.listen(*Settings.MetricsListen))
      return Error;
  Watcher = std::make_unique<SettingsWatcher>(
      Loop, SettingsFile,
      [this](const FleetSettings &NewSettings) {
        Events.log("settings_reloaded",
                   {{"seeds", NewSettings.seedInternalAddresses()}});
        Link.setSeeds(NewSettings.seedInternalAddresses());
      },
      [this](const std::string &Diagnostic) {
        Events.log("settings_refused", {{"diagnostic", Diagnostic}});
      });
  Loop.onTurn([this] {
    applyCallerLimits();
    Events.flush();
    return false;
  });
  Events.log("started");
  return {};
}

void GatewayDaemon::run() {
  Loop.run();
  Events.log("stopped");
  Events.flush();
}

void GatewayDaemon::reload() {
  Loop.post([this] { Watcher->reload(); });
}

void GatewayDaemon::stop() {
  Loop.post([this] { beginStop(); });
}

void GatewayDaemon::beginStop() {
  if (std::exchange(Stopping, true))
    return;
  Events.log("stopping", {{"open", CallerServer.openConnections()}});
  StopStartedAt = Loop.timers().now();
  Loop.timers().scheduleEvery(milliseconds(50), [this] { continueStop(); });
}

void GatewayDaemon::continueStop() {
  Duration Elapsed = Loop.timers().now() - StopStartedAt;
  if (Elapsed >= BalancerDetectionTime && !std::exchange(ShutdownBegun, true))
    CallerServer.beginShutdown();
  bool IsIdle = ShutdownBegun && CallerServer.pendingExchanges() == 0;
  if (IsIdle || Elapsed >= Settings.StopGracePeriod - StopMargin)
    Loop.stop();
}

void GatewayDaemon::applyCallerLimits() {
  const ServiceConfiguration &Configuration = Link.configuration();
  if (Configuration.Version == LimitsVersion)
    return;
  LimitsVersion = Configuration.Version;
  const CallerLimits &Named = Configuration.Limits;
  ClientLimits Limits = Settings.CallerLimits;
  if (Named.MaxHeaderBytes > 0)
    Limits.MaxHeadBytes = static_cast<size_t>(Named.MaxHeaderBytes);
  if (Named.MaxBodyBytes > 0)
    Limits.MaxBodyBytes = static_cast<size_t>(Named.MaxBodyBytes);
  if (Named.HeaderTimeoutMs > 0)
    Limits.HeadTimeout = milliseconds(Named.HeaderTimeoutMs);
  if (Named.IdleTimeoutMs > 0)
    Limits.IdleTimeout = milliseconds(Named.IdleTimeoutMs);
  CallerServer.setLimits(Limits);
}

std::string GatewayDaemon::metricsText() {
  Connections.update();
  return Registry.text();
}

void GatewayDaemon::handleReadinessProbe(const ExchangePtr &Exchange) {
  bool IsReady = Link.isUpToDate() && !Stopping;
  bool IsProbe = Codec.isReadinessProbe(Exchange->request());
  Exchange->respond({IsProbe && IsReady ? Ok : Unavailable, {}, {}});
}

void GatewayDaemon::handleCallerRequest(const ExchangePtr &Exchange) {
  if (!Link.isUpToDate())
    return Exchange->respond(Codec.answer(
        CallRefusal{CallRefusal::ReasonCode::NotReady, "no leader"}));
  CallerRequest Request =
      Codec.decode(Exchange->request(), Link.configuration());
  if (const auto *Job = std::get_if<JobRequest>(&Request))
    if (!limitError(Job->Spec).empty())
      Request = CallRefusal{CallRefusal::ReasonCode::MalformedRequest,
                            "the job has too many tasks or too large amounts"};
  if (const auto *Refusal = std::get_if<CallRefusal>(&Request))
    return refuse(Exchange, *Refusal);
  if (const auto *Query = std::get_if<QueueQuery>(&Request))
    return Exchange->respond(
        Codec.pendingResponse(Link.pendingJobs(Query->Queue)));
  const auto &Job = std::get<JobRequest>(Request);
  if (!Exchange->reserve(estimateBytes(Job)))
    return refuse(Exchange,
                  {CallRefusal::ReasonCode::NoMemory, "no memory for the job"});
  forwardToLeader(Exchange, Job);
}

void GatewayDaemon::refuse(const ExchangePtr &Exchange,
                           const CallRefusal &Refusal) {
  Registry
      .counter("mimosashunt_calls_refused_total",
               "Calls refused by this VM, by reason",
               {{"reason", nameOf(Refusal.Reason)}})
      .Increment();
  Events.log("call_refused",
             {{"path", Exchange->request().Path.substr(0, MaxLoggedTextBytes)},
              {"why", nameOf(Refusal.Reason)},
              {"detail", Refusal.Detail.substr(0, MaxLoggedTextBytes)},
              {"version", Link.configuration().Version}},
             MaxRefusalLinesPerSecond);
  Exchange->respond(Codec.answer(Refusal));
}

void GatewayDaemon::forwardToLeader(const ExchangePtr &Exchange,
                                    const JobRequest &Request) {
  Duration Timeout = MaxCallTimeout;
  if (auto TimeoutMs = Codec.callerTimeoutMs(Exchange->request()))
    Timeout = std::min<Duration>(Timeout, milliseconds(*TimeoutMs));
  Timeout = std::max<Duration>(Timeout - ResponseMargin, ResponseMargin);
  Instant StartedAt = Loop.timers().now();
  Link.forwardRequest(
      Request, Timeout,
      [this, Exchange, StartedAt, Kind = Request.Kind,
       Job = Request.Job](const JobResponse &Response) {
        constexpr double MicrosPerSecond = 1e6;
        Duration Elapsed = Loop.timers().now() - StartedAt;
        CallDurationSummary.Observe(static_cast<double>(Elapsed.count()) /
                                    MicrosPerSecond);
        Registry
            .counter("mimosashunt_calls_total",
                     "Calls carried to the leader, by outcome",
                     {{"outcome", nameOf(Response.Outcome)}})
            .Increment();
        if (Response.Outcome != JobRequestOutcome::Done)
          Events.log("call_not_done", {{"job", Job},
                                       {"call", nameOf(Kind)},
                                       {"outcome", nameOf(Response.Outcome)}});
        Exchange->respond(Codec.answer(Kind, Response));
      });
}

} // namespace mimosashunt
