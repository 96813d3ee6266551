#include "Control/ControlDaemon.h"

#include "Control/FleetView.h"
#include "Control/ScreenPage.h"

#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration ObservePeriod = milliseconds(500);
constexpr Duration StopCheckPeriod = milliseconds(50);
constexpr Duration StopPatience = seconds(6);
constexpr int Unauthorized = 401;

HttpResponse plain(const std::string &Type, const std::string &Text) {
  return {200, {{"content-type", Type}}, Text};
}

} // namespace

ControlDaemon::ControlDaemon(ControlSettings Given)
    : Settings(std::move(Given)), Logger("control"),
      Tracer("control " + Settings.Self.Vm, Settings.TraceFile, 1),
      Admin(Loop, [this](auto Exchange) { onRequest(Exchange); }),
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
               DiskFailed = true;
               Loop.stop();
             });
           }),
      Leads(Measured.gauge("mimosashunt_control_leads",
                           "1 while this control VM leads.")),
      Term(Measured.gauge("mimosashunt_control_term", "Present term.")),
      Committed(Measured.gauge("mimosashunt_control_committed_index",
                               "Last committed log index.")),
      RevisionNow(Measured.gauge("mimosashunt_control_revision",
                                 "Latest accepted revision.")),
      Voters(Measured.gauge("mimosashunt_control_voters",
                            "Voters of the group.")) {
  Loop.timers().scheduleEvery(ObservePeriod, [this] { onObserve(); });
}

std::error_code ControlDaemon::open(std::string &Key) {
  Key = "adminListen";
  if (std::error_code Error = Admin.listen(Settings.AdminListen))
    return Error;
  Key = "dataFolder' or 'rpcListen";
  return Task.open();
}

bool ControlDaemon::run() {
  Task.start();
  Logger.info("Serving operators on " + Settings.AdminListen.text() + ".");
  Loop.run();
  Task.stop();
  Logger.info("Stopped.");
  return !DiskFailed;
}

void ControlDaemon::stop() {
  Loop.post([this] { beginStop(); });
}

void ControlDaemon::beginStop() {
  if (Stopping)
    return;
  Stopping = true;
  StopBegan = Loop.timers().now();
  Logger.info("Stopping; pending answers are given first.");
  for (const auto &Screen : Screens)
    Screen->endStream();
  Screens.clear();
  Admin.beginShutdown();
  Loop.timers().scheduleEvery(StopCheckPeriod, [this] { checkStopped(); });
}

void ControlDaemon::checkStopped() {
  bool Late = Loop.timers().now() - StopBegan > StopPatience;
  if (Late || (Admin.pendingExchanges() == 0 && Admin.openConnections() == 0))
    Loop.stop();
}

void ControlDaemon::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string &Path = Exchange->request().Path;
  if (Path == "/healthz")
    return Exchange->respond(plain("text/plain", "ok\n"));
  if (Path == "/metrics")
    return Exchange->respond(plain("text/plain", Measured.text()));
  if (Path == "/" || Path == "/screen")
    return Exchange->respond(plain("text/html; charset=utf-8", screenPage()));
  if (Path == "/v1/screen/events")
    return onScreenStream(Exchange);
  SpanPtr Span =
      Tracer.start("control.admin",
                   headerValue(Exchange->request().Headers, TraceParentHeader));
  Span->SetTag("method", Exchange->request().Method);
  Span->SetTag("path", Path);
  auto Kept = std::shared_ptr<opentracing::Span>(std::move(Span));
  auto Answer = [this, Exchange, Kept](HttpResponse Response) {
    Loop.post([Exchange, Kept, Response = std::move(Response)] {
      Kept->SetTag("status", Response.Status);
      Kept->Finish();
      Exchange->respond(Response);
    });
  };
  Task.handle(Exchange->request(), Tracer.traceParent(*Kept), Answer);
}

void ControlDaemon::onScreenStream(
    const std::shared_ptr<HttpExchange> &Exchange) {
  HttpRequest Request = Exchange->request();
  Task.post([this, Exchange, Request](ControlCore &, AdminApi &Api) {
    bool Allowed = Api.mayWatch(Request);
    Loop.post([this, Exchange, Allowed] {
      if (!Allowed) {
        Exchange->respond(jsonResponse(
            Unauthorized, R"({"detail":"an operator's key is needed"})"));
        return;
      }
      HttpResponse Head = plain("text/event-stream", {});
      Head.Headers.push_back({"cache-control", "no-store"});
      Exchange->startStream(Head);
      Screens.push_back(Exchange);
      onObserve();
    });
  });
}

void ControlDaemon::onObserve() {
  std::erase_if(Screens, [](const auto &Screen) { return Screen->gone(); });
  bool Watched = !Screens.empty();
  Task.post([this, Watched](ControlCore &Core, AdminApi &) {
    Numbers Seen;
    Seen.Leads = Core.isLeader();
    Seen.Term = Core.raft().term();
    Seen.Committed = Core.raft().commitIndex();
    Seen.Revision = Core.state().revision();
    Seen.Voters = Core.raft().membership().Voters.size();
    if (Watched)
      Seen.View = fleetView(Core, Task.timers().now()).dump();
    for (const ControlPeer &Peer : Settings.Peers)
      if (!Seen.Leads && Peer.Vm.Vm == Core.leaderVm() &&
          Peer.Vm.Vm != Settings.Self.Vm)
        Seen.MovedTo = "http://" + Peer.Admin.text() + "/screen";
    Loop.post([this, Seen = std::move(Seen)] { observed(Seen); });
  });
}

void ControlDaemon::observed(const Numbers &Seen) {
  Leads.Set(Seen.Leads ? 1 : 0);
  Term.Set(static_cast<double>(Seen.Term));
  Committed.Set(static_cast<double>(Seen.Committed));
  RevisionNow.Set(static_cast<double>(Seen.Revision));
  Voters.Set(static_cast<double>(Seen.Voters));
  if (Seen.View.empty())
    return;
  // Only the leader's view is whole; a screen elsewhere is sent there.
  std::string Event = Seen.MovedTo.empty()
                          ? "data: " + Seen.View + "\n\n"
                          : "event: moved\ndata: " + Seen.MovedTo + "\n\n";
  for (const auto &Screen : Screens)
    Screen->write(Event);
}

} // namespace mimosashunt
