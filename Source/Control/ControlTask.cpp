#include "Control/ControlTask.h"

#include "Daemon/Secrets.h"

#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration WatchPeriod = milliseconds(100);
constexpr Duration CallTimeout = milliseconds(800);

std::vector<ControlVm> vmsOf(const std::vector<ControlPeer> &Peers) {
  std::vector<ControlVm> Result;
  Result.reserve(Peers.size());
  for (const ControlPeer &Peer : Peers)
    Result.push_back(Peer.Vm);
  return Result;
}

std::string describe(const FleetCommand &Command, const CommandResult &Result) {
  std::string Kind =
      std::visit([](const auto &Action) { return std::string(Action.Kind); },
                 Command.Action);
  std::string Who =
      Command.Operator.empty() ? std::string("the system") : Command.Operator;
  std::string What = Result.Status == CommandStatus::Accepted
                         ? "was accepted at revision "
                         : "was refused at revision ";
  return "Command " + Kind + " of " + Who + " " + What +
         std::to_string(Result.AtRevision) + ".";
}

} // namespace

ControlTask::ControlTask(const ControlSettings &Settings,
                         PlatformPort &Platform, const Tracing &Tracer,
                         std::function<void(std::error_code)> Failed)
    : Settings(Settings), Platform(Platform), Tracer(Tracer),
      Failed(std::move(Failed)), Logger("control") {}

ControlTask::~ControlTask() {
  if (Thread.joinable())
    stop();
}

std::error_code ControlTask::open() {
  if (std::error_code Error =
          Folder.open(Settings.DataFolder, Settings.Self.Vm, randomNumber()))
    return Error;
  Disk = std::make_unique<DiskLog>(Settings.DataFolder);
  if (std::error_code Error = Disk->load(Durable))
    return Error;
  return Settings.RpcListen.listen(RpcDescriptor);
}

void ControlTask::start() {
  Thread = std::thread(
      [this] { Loop.run([this] { setUp(); }, [this] { tearDown(); }); });
}

void ControlTask::setUp() {
  for (const ControlPeer &Peer : Settings.Peers)
    if (Peer.Vm.Vm != Settings.Self.Vm)
      Clients[Peer.Rpc.text()] =
          std::make_unique<ControlClient>(Loop, Peer.Rpc, CallTimeout);
  ControlOptions Options;
  Options.Waves = Settings.Waves;
  Options.EntriesPerSnapshot = Settings.EntriesPerSnapshot;
  Core = std::make_unique<ControlCore>(
      Folder.disk(), Settings.Self, vmsOf(Settings.Peers), Durable, Options,
      Loop.timers(), randomNumber(), *Disk, *this, Platform);
  Core->setAppliedHandler(
      [this](const FleetCommand &Command, const CommandResult &Result) {
        Logger.info(describe(Command, Result));
      });
  Api = std::make_unique<AdminApi>(Settings, *Core, Loop.timers());
  ControlHandlers Handlers;
  Handlers.Raft = [this](const RaftMessage &Message,
                         const std::string &TraceParent) {
    SpanPtr Span = Tracer.start("control.replicate", TraceParent);
    Core->receive(Message);
  };
  Handlers.Join = [this](const Member &New, const std::string &TraceParent) {
    SpanPtr Span = Tracer.start("control.join", TraceParent);
    Span->SetTag("controlVm", New.Vm);
    Core->handleJoinRequest(New);
  };
  Handlers.Sync = [this](const EntryReport &Report) {
    SpanPtr Span = Tracer.start("control.sync", Report.TraceParent);
    Span->SetTag("entryVm", Report.Run.Vm);
    return Core->handleSync(Report);
  };
  Server = std::make_unique<ControlServer>(Loop, std::move(Handlers));
  Server->serve(RpcDescriptor);
  Loop.timers().scheduleEvery(WatchPeriod, [this] { watch(); });
  Logger.info("Serving control VMs on " + Settings.RpcListen.text() + ".");
}

void ControlTask::tearDown() {
  Server.reset();
  Api.reset();
  Core.reset();
  Clients.clear();
}

void ControlTask::watch() {
  if (Core->storeError() && !FailureTold) {
    FailureTold = true;
    Failed(Core->storeError());
  }
  std::string Leader = Core->leaderVm();
  if (Leader == LoggedLeader)
    return;
  LoggedLeader = Leader;
  Logger.info(Leader.empty() ? "No leader is known."
                             : Leader + " leads in term " +
                                   std::to_string(Core->raft().term()) + ".");
}

void ControlTask::post(std::function<void(ControlCore &, AdminApi &)> Run) {
  Loop.post([this, Run = std::move(Run)] {
    if (Core)
      Run(*Core, *Api);
  });
}

void ControlTask::handle(const HttpRequest &Request,
                         const std::string &TraceParent,
                         std::function<void(HttpResponse)> Done) {
  post([this, Request, TraceParent,
        Done = std::move(Done)](ControlCore &, AdminApi &Operators) {
    ChangeTrace = TraceParent;
    Operators.handle(Request, [this, TraceParent, Done](HttpResponse Response) {
      if (ChangeTrace == TraceParent)
        ChangeTrace.clear();
      Done(std::move(Response));
    });
  });
}

void ControlTask::stop() {
  Loop.stop();
  Thread.join();
}

SpanPtr ControlTask::outgoing(const char *Name) const {
  return ChangeTrace.empty() ? Tracer.startRoutine(Name)
                             : Tracer.start(Name, ChangeTrace);
}

ControlClient *ControlTask::client(const std::string &Address) {
  auto Found = Clients.find(Address);
  return Found == Clients.end() ? nullptr : Found->second.get();
}

void ControlTask::send(const RaftMessage &Message, const std::string &Address) {
  ControlClient *To = client(Address);
  if (To == nullptr)
    return;
  SpanPtr Span = outgoing("control.send");
  To->sendRaft(Message, Tracer.traceParent(*Span));
}

void ControlTask::sendJoinRequest(const Member &Self,
                                  const std::string &Address) {
  ControlClient *To = client(Address);
  if (To == nullptr)
    return;
  SpanPtr Span = outgoing("control.askToJoin");
  To->sendJoin(Self, Tracer.traceParent(*Span));
}

} // namespace mimosashunt
