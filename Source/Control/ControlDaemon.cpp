#include "Control/ControlDaemon.h"

#include "Control/FleetView.h"
#include "Control/ScreenPage.h"
#include "Daemon/ServerOptions.h"

#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration StatusInterval = milliseconds(500);
constexpr Duration ShutdownPollInterval = milliseconds(50);
constexpr Duration ShutdownTimeout = seconds(6);
constexpr int Unauthorized = 401;

/// The rest of the descriptors is for the group and for files.
constexpr ConnectionPart AdminPart = {100, 50};

HttpResponse makeResponse(const std::string &Type, const std::string &Text) {
  return {200, {{"content-type", Type}}, Text};
}

} // namespace

ControlDaemon::ControlDaemon(ControlSettings InitialSettings)
    : Settings(std::move(InitialSettings)), Logger("control"),
      Tracer("control " + Settings.Self.Vm, Settings.TraceFile, 1),
      Admin(
          Loop, [this](auto Exchange) { handleRequest(Exchange); },
          serverOptions(Settings.MemoryMb, AdminPart)),
      Connections(ProcessMetrics),
      Platform(Loop, Settings.Platform, Tracer,
               [this](std::map<std::string, VmStatus> Vms) {
                 Task.post(
                     [Vms = std::move(Vms)](ControlCore &Core, AdminApi &) {
                       Core.handlePlatformReport(Vms);
                     });
               }),
      Task(Settings, Platform, Tracer,
           [this](std::error_code Error) {
             Loop.post([this, Error] {
               Logger.error("The disk failed: " + Error.message() + ".");
               HasDiskFailed = true;
               Loop.stop();
             });
           }),
      LeadsGauge(ProcessMetrics.gauge("mimosashunt_control_leads",
                                      "1 while this control VM leads.")),
      TermGauge(
          ProcessMetrics.gauge("mimosashunt_control_term", "Present term.")),
      CommitIndexGauge(ProcessMetrics.gauge(
          "mimosashunt_control_committed_index", "Last committed log index.")),
      RevisionGauge(ProcessMetrics.gauge("mimosashunt_control_revision",
                                         "Latest accepted revision.")),
      VotersGauge(ProcessMetrics.gauge("mimosashunt_control_voters",
                                       "Voters of the group.")) {
  Connections.add("operators", Admin);
  Loop.timers().scheduleEvery(StatusInterval, [this] { sampleStatus(); });
}

std::error_code ControlDaemon::open(std::string &FaultyKey) {
  FaultyKey = "adminListen";
  if (std::error_code Error = Admin.listen(Settings.AdminListen))
    return Error;
  FaultyKey = "dataFolder' or 'rpcListen";
  return Task.open();
}

bool ControlDaemon::run() {
  Task.start();
  Logger.info("Serving operators on " + Settings.AdminListen.text() + ".");
  Loop.run();
  Task.stop();
  Logger.info("Stopped.");
  return !HasDiskFailed;
}

void ControlDaemon::stop() {
  Loop.post([this] { beginShutdownOnLoop(); });
}

void ControlDaemon::beginShutdownOnLoop() {
  if (IsStopping)
    return;
  IsStopping = true;
  ShutdownStartedAt = Loop.timers().now();
  Logger.info("Stopping; pending answers are given first.");
  for (const auto &Screen : ScreenStreams)
    Screen->endStream();
  ScreenStreams.clear();
  Admin.beginShutdown();
  Loop.timers().scheduleEvery(ShutdownPollInterval,
                              [this] { stopLoopWhenDrained(); });
}

void ControlDaemon::stopLoopWhenDrained() {
  bool HasTimedOut = Loop.timers().now() - ShutdownStartedAt > ShutdownTimeout;
  if (HasTimedOut ||
      (Admin.pendingExchanges() == 0 && Admin.openConnections() == 0))
    Loop.stop();
}

void ControlDaemon::handleRequest(
    const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string &Path = Exchange->request().Path;
  if (Path == "/healthz")
    return Exchange->respond(makeResponse("text/plain", "ok\n"));
  if (Path == "/metrics")
    Connections.update();
  if (Path == "/metrics")
    return Exchange->respond(makeResponse("text/plain", ProcessMetrics.text()));
  if (Path == "/" || Path == "/screen")
    return Exchange->respond(
        makeResponse("text/html; charset=utf-8", screenPage()));
  if (Path == "/v1/screen/events")
    return openScreenStream(Exchange);
  SpanPtr Span =
      Tracer.start("control.admin",
                   headerValue(Exchange->request().Headers, TraceParentHeader));
  Span->SetTag("method", Exchange->request().Method);
  Span->SetTag("path", Path);
  auto SharedSpan = std::shared_ptr<opentracing::Span>(std::move(Span));
  auto Respond = [this, Exchange, SharedSpan](HttpResponse Response) {
    Loop.post([Exchange, SharedSpan, Response = std::move(Response)] {
      SharedSpan->SetTag("status", Response.Status);
      SharedSpan->Finish();
      Exchange->respond(Response);
    });
  };
  Task.handle(Exchange->request(), Tracer.traceParent(*SharedSpan), Respond);
}

void ControlDaemon::openScreenStream(
    const std::shared_ptr<HttpExchange> &Exchange) {
  HttpRequest Request = Exchange->request();
  Task.post([this, Exchange, Request](ControlCore &, AdminApi &Api) {
    bool Allowed = Api.mayWatchScreen(Request);
    Loop.post([this, Exchange, Allowed] {
      if (!Allowed) {
        Exchange->respond(jsonResponse(
            Unauthorized, R"({"detail":"an operator's key is needed"})"));
        return;
      }
      HttpResponse Head = makeResponse("text/event-stream", {});
      Head.Headers.push_back({"cache-control", "no-store"});
      Exchange->startStream(Head);
      ScreenStreams.push_back(Exchange);
      sampleStatus();
    });
  });
}

void ControlDaemon::sampleStatus() {
  std::erase_if(ScreenStreams,
                [](const auto &Screen) { return Screen->gone(); });
  bool HasScreens = !ScreenStreams.empty();
  Task.post([this, HasScreens](ControlCore &Core, AdminApi &) {
    StatusSample Sample;
    Sample.IsLeader = Core.isLeader();
    Sample.Term = Core.raft().term();
    Sample.CommitIndex = Core.raft().commitIndex();
    Sample.Revision = Core.state().revision();
    Sample.VoterCount = Core.raft().membership().Voters.size();
    if (HasScreens)
      Sample.FleetJson = toText(fleetView(Core, Task.timers().now()));
    for (const ControlPeer &Peer : Settings.Peers)
      if (!Sample.IsLeader && Peer.Vm.Vm == Core.leaderVm() &&
          Peer.Vm.Vm != Settings.Self.Vm)
        Sample.LeaderScreenUrl = "http://" + Peer.Admin.text() + "/screen";
    Loop.post([this, Sample = std::move(Sample)] { publishStatus(Sample); });
  });
}

void ControlDaemon::publishStatus(const StatusSample &Sample) {
  LeadsGauge.Set(Sample.IsLeader ? 1 : 0);
  TermGauge.Set(static_cast<double>(Sample.Term));
  CommitIndexGauge.Set(static_cast<double>(Sample.CommitIndex));
  RevisionGauge.Set(static_cast<double>(Sample.Revision));
  VotersGauge.Set(static_cast<double>(Sample.VoterCount));
  if (Sample.FleetJson.empty())
    return;
  // Only the leader has the complete view, so screens that are connected to
  // another control VM are redirected to the leader.
  std::string Event =
      Sample.LeaderScreenUrl.empty()
          ? "data: " + Sample.FleetJson + "\n\n"
          : "event: moved\ndata: " + Sample.LeaderScreenUrl + "\n\n";
  for (const auto &Screen : ScreenStreams)
    Screen->write(Event);
}

} // namespace mimosashunt
