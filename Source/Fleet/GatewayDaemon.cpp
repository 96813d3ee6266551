#include "Fleet/GatewayDaemon.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr int Ok = 200;
constexpr int Unavailable = 503;
/// Longest that a caller is kept when it names no time of its own.
constexpr Duration LongestCall = milliseconds(2500);
/// Left of the caller's time for the answer's way back.
constexpr Duration AnswerMargin = milliseconds(150);
/// The balancer takes two missed probes, a second apart, to turn elsewhere.
constexpr Duration BalancerNotices = milliseconds(2300);
constexpr Duration StopMargin = milliseconds(700);

} // namespace

GatewayDaemon::GatewayDaemon(FleetSettings Given, std::string File,
                             EventLoop &Loop, const ConfigurationReader &Reader,
                             const CallerCodec &Codec)
    : Settings(std::move(Given)), File(std::move(File)), Loop(Loop),
      Codec(Codec), Events(Settings.Vm, "entry", Settings.LogLevel),
      Link(Loop, Settings.Vm, Settings.seedsInternal(), Reader, Events),
      Callers(Loop, [this](const ExchangePtr &Exchange) { onCaller(Exchange); },
              {.MaxBodyBytes = 1 << 20, .ReadTimeout = seconds(30)}),
      Ready(Loop,
            [this](const ExchangePtr &Exchange) { onReadiness(Exchange); }),
      MetricsServer(Loop,
                    [this](const ExchangePtr &Exchange) {
                      Exchange->respond({Ok,
                                         {{"content-type", "text/plain"}},
                                         Measured.text()});
                    }),
      CallSeconds(Measured.summary("mimosashunt_call_seconds",
                                   "Time of a call to the leader")) {}

std::error_code GatewayDaemon::open(std::string &Key) {
  Key = "callersListen";
  if (std::error_code Error = Callers.listen(*Settings.CallersListen))
    return Error;
  Key = "readyListen";
  if (std::error_code Error = Ready.listen(*Settings.ReadyListen))
    return Error;
  Key = "metricsListen";
  if (Settings.MetricsListen)
    if (std::error_code Error = MetricsServer.listen(*Settings.MetricsListen))
      return Error;
  Watch = std::make_unique<SettingsWatch>(
      Loop, File,
      [this](const FleetSettings &Now) {
        Events.note("settings_reloaded", {{"seeds", Now.seedsInternal()}});
        Link.seeds(Now.seedsInternal());
      },
      [this](const std::string &Diagnostic) {
        Events.note("settings_refused", {{"diagnostic", Diagnostic}});
      });
  Loop.onTurn([this] {
    Events.flush();
    return false;
  });
  Events.note("started");
  return {};
}

void GatewayDaemon::run() {
  Loop.run();
  Events.note("stopped");
  Events.flush();
}

void GatewayDaemon::reload() {
  Loop.post([this] { Watch->reload(); });
}

void GatewayDaemon::stop() {
  Loop.post([this] { beginStop(); });
}

void GatewayDaemon::beginStop() {
  if (std::exchange(Stopping, true))
    return;
  Events.note("stopping", {{"open", Callers.openConnections()}});
  StopBegan = Loop.timers().now();
  Loop.timers().scheduleEvery(milliseconds(50), [this] { checkStopped(); });
}

void GatewayDaemon::checkStopped() {
  Duration Since = Loop.timers().now() - StopBegan;
  if (Since >= BalancerNotices && !std::exchange(Closing, true))
    Callers.beginShutdown();
  bool Idle = Closing && Callers.pendingExchanges() == 0;
  if (Idle || Since >= Settings.Grace - StopMargin)
    Loop.stop();
}

void GatewayDaemon::onReadiness(const ExchangePtr &Exchange) {
  bool Fit = Link.inTouch() && !Stopping;
  bool Probe = Codec.isReadinessProbe(Exchange->request());
  Exchange->respond({Probe && Fit ? Ok : Unavailable, {}, {}});
}

void GatewayDaemon::onCaller(const ExchangePtr &Exchange) {
  if (!Link.inTouch())
    return Exchange->respond(
        Codec.answer(CallRefusal{CallRefusal::Why::NotReady, "no leader"}));
  CallerRequest Request =
      Codec.decode(Exchange->request(), Link.configuration());
  if (const auto *Refusal = std::get_if<CallRefusal>(&Request)) {
    Measured
        .counter("mimosashunt_calls_refused_total",
                 "Calls refused by this VM, by reason",
                 {{"reason", nameOf(Refusal->Reason)}})
        .Increment();
    Events.note("call_refused", {{"path", Exchange->request().Path},
                                 {"why", nameOf(Refusal->Reason)},
                                 {"detail", Refusal->Detail},
                                 {"version", Link.configuration().Version}});
    return Exchange->respond(Codec.answer(*Refusal));
  }
  if (const auto *Query = std::get_if<QueueQuery>(&Request))
    return Exchange->respond(
        Codec.pendingResponse(Link.pendingOf(Query->Queue)));
  carry(Exchange, std::get<JobRequest>(Request));
}

void GatewayDaemon::carry(const ExchangePtr &Exchange, const JobRequest &Call) {
  Duration Timeout = LongestCall;
  if (auto Waits = Codec.callerTimeoutMs(Exchange->request()))
    Timeout = std::min<Duration>(Timeout, milliseconds(*Waits));
  Timeout = std::max<Duration>(Timeout - AnswerMargin, AnswerMargin);
  Instant Began = Loop.timers().now();
  Link.call(Call, Timeout,
            [this, Exchange, Began, Kind = Call.Kind,
             Job = Call.Job](const JobResponse &Answer) {
              constexpr double MicrosPerSecond = 1e6;
              Duration Took = Loop.timers().now() - Began;
              CallSeconds.Observe(static_cast<double>(Took.count()) /
                                  MicrosPerSecond);
              Measured
                  .counter("mimosashunt_calls_total",
                           "Calls carried to the leader, by outcome",
                           {{"outcome", nameOf(Answer.Outcome)}})
                  .Increment();
              if (Answer.Outcome != CallOutcome::Done)
                Events.note("call_not_done",
                            {{"job", Job},
                             {"call", nameOf(Kind)},
                             {"outcome", nameOf(Answer.Outcome)}});
              Exchange->respond(Codec.answer(Kind, Answer));
            });
}

} // namespace mimosashunt
