#include "Control/ControlTask.h"

#include "Daemon/Secrets.h"

#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration StatusCheckInterval = milliseconds(100);
constexpr Duration RpcTimeout = milliseconds(800);

std::vector<ControlVm> controlVms(const std::vector<ControlPeer> &Peers) {
  std::vector<ControlVm> Result;
  Result.reserve(Peers.size());
  for (const ControlPeer &Peer : Peers)
    Result.push_back(Peer.Vm);
  return Result;
}

std::string describeCommand(const FleetCommand &Command,
                            const CommandResult &Result) {
  std::string Kind =
      std::visit([](const auto &Action) { return std::string(Action.Kind); },
                 Command.Action);
  std::string Issuer =
      Command.Operator.empty() ? std::string("the system") : Command.Operator;
  std::string Verdict = Result.Status == CommandStatus::Accepted
                            ? "was accepted at revision "
                            : "was refused at revision ";
  return "Command " + Kind + " of " + Issuer + " " + Verdict +
         std::to_string(Result.AtRevision) + ".";
}

} // namespace

ControlTask::ControlTask(const ControlSettings &Settings,
                         PlatformPort &Platform, const Tracing &Tracer,
                         std::function<void(std::error_code)> OnDiskFailure)
    : Settings(Settings), Platform(Platform), Tracer(Tracer),
      OnDiskFailure(std::move(OnDiskFailure)), Logger("control") {}

ControlTask::~ControlTask() {
  if (Thread.joinable())
    stop();
}

std::error_code ControlTask::open() {
  if (std::error_code Error =
          Folder.open(Settings.DataFolder, Settings.Self.Vm, randomNumber()))
    return Error;
  Disk = std::make_unique<DiskLog>(Settings.DataFolder);
  if (std::error_code Error = Disk->load(LoadedLog))
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
          std::make_unique<ControlClient>(Loop, Peer.Rpc, RpcTimeout);
  ControlOptions Options;
  Options.Waves = Settings.Waves;
  Options.EntriesPerSnapshot = Settings.EntriesPerSnapshot;
  Core = std::make_unique<ControlCore>(
      Folder.disk(), Settings.Self, controlVms(Settings.Peers), LoadedLog,
      Options, Loop.timers(), randomNumber(), *Disk, *this, Platform);
  Core->setAppliedHandler(
      [this](const FleetCommand &Command, const CommandResult &Result) {
        Logger.info(describeCommand(Command, Result));
      });
  Api = std::make_unique<AdminApi>(Settings, *Core, Loop.timers());
  ControlHandlers Handlers;
  Handlers.Raft = [this](const RaftMessage &Message,
                         const std::string &TraceParent) {
    SpanPtr Span = Tracer.start("control.replicate", TraceParent);
    Core->receive(Message);
  };
  Handlers.Join = [this](const Member &Joiner, const std::string &TraceParent) {
    SpanPtr Span = Tracer.start("control.join", TraceParent);
    Span->SetTag("controlVm", Joiner.Vm);
    Core->handleJoinRequest(Joiner);
  };
  Handlers.Sync = [this](const EntryReport &Report) {
    SpanPtr Span = Tracer.start("control.sync", Report.TraceParent);
    Span->SetTag("entryVm", Report.Run.Vm);
    return Core->handleSync(Report);
  };
  Server = std::make_unique<ControlServer>(Loop, std::move(Handlers));
  Server->serve(RpcDescriptor);
  Loop.timers().scheduleEvery(StatusCheckInterval,
                              [this] { reportStatusChanges(); });
  Logger.info("Serving control VMs on " + Settings.RpcListen.text() + ".");
}

void ControlTask::tearDown() {
  Server.reset();
  Api.reset();
  Core.reset();
  Clients.clear();
}

void ControlTask::reportStatusChanges() {
  if (Core->storeError() && !IsFailureReported) {
    IsFailureReported = true;
    OnDiskFailure(Core->storeError());
  }
  std::string Leader = Core->leaderVm();
  if (Leader == LoggedLeader)
    return;
  LoggedLeader = Leader;
  Logger.info(Leader.empty() ? "No leader is known."
                             : Leader + " leads in term " +
                                   std::to_string(Core->raft().term()) + ".");
}

void ControlTask::post(
    std::function<void(ControlCore &, AdminApi &)> Callback) {
  Loop.post([this, Callback = std::move(Callback)] {
    if (Core)
      Callback(*Core, *Api);
  });
}

void ControlTask::handle(const HttpRequest &Request,
                         const std::string &TraceParent,
                         std::function<void(HttpResponse)> Respond) {
  post([this, Request, TraceParent,
        Respond = std::move(Respond)](ControlCore &, AdminApi &Admin) {
    OperatorTraceParent = TraceParent;
    Admin.handle(Request, [this, TraceParent, Respond](HttpResponse Response) {
      if (OperatorTraceParent == TraceParent)
        OperatorTraceParent.clear();
      Respond(std::move(Response));
    });
  });
}

void ControlTask::stop() {
  Loop.stop();
  Thread.join();
}

SpanPtr ControlTask::startOutgoingSpan(const char *Name) const {
  return OperatorTraceParent.empty() ? Tracer.startRoutine(Name)
                                     : Tracer.start(Name, OperatorTraceParent);
}

ControlClient *ControlTask::findClient(const std::string &Address) {
  auto Found = Clients.find(Address);
  return Found == Clients.end() ? nullptr : Found->second.get();
}

void ControlTask::send(const RaftMessage &Message, const std::string &Address) {
  ControlClient *Client = findClient(Address);
  if (Client == nullptr)
    return;
  SpanPtr Span = startOutgoingSpan("control.send");
  Client->sendRaft(Message, Tracer.traceParent(*Span));
}

void ControlTask::sendJoinRequest(const Member &Self,
                                  const std::string &Address) {
  ControlClient *Client = findClient(Address);
  if (Client == nullptr)
    return;
  SpanPtr Span = startOutgoingSpan("control.askToJoin");
  Client->sendJoin(Self, Tracer.traceParent(*Span));
}

} // namespace mimosashunt
