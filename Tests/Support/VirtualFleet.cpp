#include "Support/VirtualFleet.h"

#include "Support/VirtualEntryPort.h"

#include <algorithm>
#include <utility>

namespace mimosashunt::test {

namespace {

constexpr Duration SyncInterval = milliseconds(250);
constexpr Duration PlatformReportInterval = milliseconds(300);
constexpr Duration RebootDuration = milliseconds(500);

} // namespace

std::string queueFor(const std::string &Key) {
  return Key.empty() ? "open" : "book";
}

const char *const VirtualFleet::Team = "lessons";
const char *const VirtualFleet::Key = "key-1";

struct VirtualFleet::Transport : RaftTransport {
  VirtualFleet &Fleet;
  size_t Index;
  Transport(VirtualFleet &Fleet, size_t Index) : Fleet(Fleet), Index(Index) {}

  template <class Function>
  void postToAddress(const std::string &Address, Function Call) {
    for (size_t I = 0; I < Fleet.ControlVms.size(); ++I)
      if (Fleet.ControlVms[I].Address == Address)
        Fleet.Network.post({NodeKind::Control, Index}, {NodeKind::Control, I},
                           [this, I, Call] {
                             if (Fleet.Controls[I].Core)
                               Call(*Fleet.Controls[I].Core);
                           });
  }
  void send(const RaftMessage &Message, const std::string &Address) override {
    postToAddress(Address,
                  [Message](ControlCore &Core) { Core.receive(Message); });
  }
  void sendJoinRequest(const Member &Self,
                       const std::string &Address) override {
    postToAddress(Address,
                  [Self](ControlCore &Core) { Core.handleJoinRequest(Self); });
  }
};

struct VirtualFleet::Platform : PlatformPort {
  VirtualFleet &Fleet;
  explicit Platform(VirtualFleet &Fleet) : Fleet(Fleet) {}

  void drainVm(const std::string &Vm) override {
    VmNode &Node = Fleet.Vms.at(Vm);
    if (Node.Status.State != VmState::Up)
      return;
    Node.Status.State = VmState::Draining;
    for (size_t I = 0; I < Fleet.Backends.size(); ++I)
      if (Fleet.vmOf(I) == Vm)
        Fleet.Backends[I].Leaving = true;
    Fleet.Drains.push_back({Fleet.now(), Vm, Fleet.trulyAvailable()});
  }
  void rebootVm(const std::string &Vm) override {
    VmNode &Node = Fleet.Vms.at(Vm);
    if (Node.Status.State != VmState::Drained)
      return;
    Node.Status.State = VmState::Rebooting;
    Node.RebootEndsAt = Fleet.now() + RebootDuration;
  }
};

VirtualFleet::VirtualFleet(FleetShape InitialShape)
    : Shape(InitialShape), Network(InitialShape.Seed, InitialShape.LossPercent,
                                   InitialShape.DuplicatePercent),
      Controls(InitialShape.Controls), Entries(InitialShape.Entries),
      Backends(InitialShape.Backends) {
  FakePlatform = std::make_unique<Platform>(*this);
  Service.Name = "lessons";
  Service.Pools = {"stables"};
  Service.Instances = static_cast<uint32_t>(Shape.Backends);
  Service.MaxUnavailable = Shape.MaxUnavailable;
  Service.Queues = {{"book", false, Shape.DeadlineMillis, false},
                    {"open", true, Shape.DeadlineMillis, false}};
  auto Name = [](const char *Prefix, size_t I) {
    return Prefix + std::to_string(I);
  };
  for (size_t I = 0; I < Shape.Controls; ++I)
    ControlVms.push_back({Name("control-", I),
                          Name("dc-", I % VirtualNetwork::DataCentres),
                          Name("c", I)});
  for (size_t I = 0; I < Shape.Entries; ++I)
    EntryVms.push_back({Name("entry-", I),
                        Name("dc-", I % VirtualNetwork::DataCentres),
                        Name("e", I)});
  for (size_t I = 0; I < Shape.Backends; ++I) {
    Vms[vmOf(I)];
    Backends[I].EntryIndex = I % Shape.Entries;
  }
  for (size_t I = 0; I < Shape.Controls; ++I) {
    Controls[I].Disk = std::make_unique<MemoryLog>();
    Controls[I].DiskIdentity = ++LastDiskIdentity;
    makeControl(I);
  }
  for (size_t I = 0; I < Shape.Entries; ++I)
    makeEntry(I);
}

VirtualFleet::~VirtualFleet() = default;

size_t VirtualFleet::entryIndexOf(const std::string &Vm) const {
  for (size_t I = 0; I < EntryVms.size(); ++I)
    if (EntryVms[I].Vm == Vm)
      return I;
  return 0;
}

std::string VirtualFleet::vmOf(size_t Backend) const {
  return "vm-" + std::to_string(Backend);
}

void VirtualFleet::makeControl(size_t Index) {
  ControlNode &Node = Controls[Index];
  NodeName Name{NodeKind::Control, Index};
  Node.Core.reset();
  Node.Timers = std::make_unique<TimerService>(Network.clock(Name));
  if (Node.Link)
    Retired.push_back(std::move(Node.Link));
  Node.Link = std::make_unique<Transport>(*this, Index);
  ControlOptions Options;
  Options.Waves = Shape.Waves;
  Options.EntriesPerSnapshot = Shape.EntriesPerSnapshot;
  Node.Core = std::make_unique<ControlCore>(
      Node.DiskIdentity, ControlVms[Index], ControlVms, Node.Disk->held(),
      Options, *Node.Timers, Network.random(), *Node.Disk, *Node.Link,
      *FakePlatform);
}

void VirtualFleet::makeEntry(size_t Index) {
  EntryNode &Node = Entries[Index];
  Node.Core.reset();
  Node.Timers =
      std::make_unique<TimerService>(Network.clock({NodeKind::Entry, Index}));
  if (Node.Link)
    Retired.push_back(std::move(Node.Link));
  Node.Link = std::make_unique<Port>(*this, Index);
  Node.Core =
      std::make_unique<EntryCore>(EntryVms[Index], EntryVms, Node.Incarnation,
                                  EntryOptions{}, *Node.Timers, *Node.Link);
  Node.SyncPending = false;
  ++Node.SyncNumber;
}

void VirtualFleet::crashControl(size_t Index, bool LoseDisk) {
  ControlNode &Node = Controls[Index];
  Network.restartNode({NodeKind::Control, Index});
  Node.Core.reset();
  if (!LoseDisk)
    return;
  Node.Disk = std::make_unique<MemoryLog>();
  Node.DiskIdentity = ++LastDiskIdentity;
}

void VirtualFleet::restartControl(size_t Index) {
  if (Controls[Index].Core)
    return;
  makeControl(Index);
}

void VirtualFleet::stopEntry(size_t Index) {
  Network.removeNode({NodeKind::Entry, Index});
}

void VirtualFleet::restartEntry(size_t Index) {
  Network.restartNode({NodeKind::Entry, Index});
  ++Entries[Index].Incarnation;
  makeEntry(Index);
}

void VirtualFleet::crashBackend(size_t Index) {
  Network.restartNode({NodeKind::Backend, Index});
  Backends[Index].Alive = false;
  Backends[Index].Running.clear();
}

void VirtualFleet::restartBackend(size_t Index) {
  BackendNode &Node = Backends[Index];
  if (Node.Alive)
    return;
  uint64_t Epoch = Node.Epoch + 1;
  size_t EntryIndex = Node.EntryIndex;
  Node = BackendNode{};
  Node.Epoch = Epoch;
  Node.EntryIndex = EntryIndex;
}

void VirtualFleet::leaveBackend(size_t Index, bool NoticeLost) {
  Backends[Index].Leaving = true;
  Backends[Index].NextHeartbeat = Network.now();
  if (NoticeLost)
    for (size_t I = 0; I < Entries.size(); ++I)
      Network.silence({NodeKind::Backend, Index}, {NodeKind::Entry, I},
                      seconds(60));
}

void VirtualFleet::updateNodeTime(NodeName Node) {
  Instant Now = Network.clock(Node);
  if (Node.Kind == NodeKind::Control && Controls[Node.Index].Core)
    Controls[Node.Index].Timers->updateTime(Now);
  if (Node.Kind == NodeKind::Entry)
    Entries[Node.Index].Timers->updateTime(Now);
}

void VirtualFleet::step() {
  Network.advance();
  Network.deliver([this](NodeName To) { updateNodeTime(To); });
  for (size_t I = 0; I < Controls.size(); ++I) {
    NodeName Name{NodeKind::Control, I};
    if (Controls[I].Core && !Network.frozen(Name))
      Controls[I].Timers->advance(Network.clock(Name));
  }
  for (size_t I = 0; I < Entries.size(); ++I)
    if (!Network.frozen({NodeKind::Entry, I}))
      stepEntry(I);
  for (size_t I = 0; I < Backends.size(); ++I)
    if (Backends[I].Alive && !Network.frozen({NodeKind::Backend, I}))
      stepBackend(I);
  stepPlatform();
  MostRunning = std::max(MostRunning, runningNow());
}

void VirtualFleet::run(Duration Span) {
  Duration Until = Network.now() + Span;
  while (Network.now() < Until)
    step();
}

bool VirtualFleet::runUntil(const std::function<bool()> &Condition,
                            Duration Timeout) {
  Duration Until = Network.now() + Timeout;
  while (!Condition()) {
    if (Network.now() >= Until)
      return false;
    step();
  }
  return true;
}

void VirtualFleet::stepEntry(size_t Index) {
  EntryNode &Node = Entries[Index];
  Node.Timers->advance(Network.clock({NodeKind::Entry, Index}));
  if (Network.now() >= Node.NextSync && !Node.SyncPending)
    sendSync(Index);
}

void VirtualFleet::sendSync(size_t Index) {
  EntryNode &Node = Entries[Index];
  NodeName Self{NodeKind::Entry, Index};
  NodeName To{NodeKind::Control, Node.ControlIndex};
  Node.SyncPending = true;
  Node.NextSync = Network.now() + SyncInterval;
  uint64_t Number = ++Node.SyncNumber;
  Instant SentAt = Node.Timers->now();
  EntryReport Report = Node.Core->makeReport();
  auto Done = [this, Index, Number,
               SentAt](const std::optional<EntryReply> &Reply) {
    EntryNode &Current = Entries[Index];
    if (Number != Current.SyncNumber)
      return;
    ++Current.SyncNumber;
    Current.SyncPending = false;
    if (Reply)
      Current.Core->handleSyncReply(SentAt, *Reply);
    if (!Reply || Reply->Status == SyncStatus::NotLeader)
      Current.ControlIndex = (Current.ControlIndex + 1) % Controls.size();
  };
  Node.Timers->scheduleAt(SentAt + CallTimeout, [Done] { Done(std::nullopt); });
  Network.post(Self, To, [this, Report, Self, To, Done] {
    if (!Controls[To.Index].Core)
      return;
    EntryReply Reply = Controls[To.Index].Core->handleSync(Report);
    Network.post(To, Self, [Reply, Done] { Done(Reply); });
  });
}

void VirtualFleet::stepPlatform() {
  for (size_t I = 0; I < Backends.size(); ++I) {
    VmNode &Node = Vms.at(vmOf(I));
    bool Idle = !Backends[I].Alive ||
                (Backends[I].Released && Backends[I].Running.empty());
    if (Node.Status.State == VmState::Draining && Idle)
      Node.Status.State = VmState::Drained;
    if (Node.Status.State != VmState::Rebooting ||
        Network.now() < Node.RebootEndsAt)
      continue;
    Node.Status = {VmState::Up, Node.Status.Boots + 1};
    Backends[I].Leaving = false;
    Backends[I].Released = false;
    ++Backends[I].Epoch;
  }
  if (Network.now() < NextPlatformReport)
    return;
  NextPlatformReport = Network.now() + PlatformReportInterval;
  std::map<std::string, VmStatus> Report;
  for (const auto &[Name, Node] : Vms)
    Report[Name] = Node.Status;
  for (size_t I = 0; I < Controls.size(); ++I)
    if (Controls[I].Core && !Network.frozen({NodeKind::Control, I}))
      Controls[I].Core->handlePlatformReport(Report);
}

std::optional<size_t> VirtualFleet::leader() const {
  for (size_t I = 0; I < Controls.size(); ++I)
    if (Controls[I].Core && Controls[I].Core->isLeader())
      return I;
  return std::nullopt;
}

void VirtualFleet::submit(const std::string &OperationId,
                          const FleetAction &Action, size_t Control) {
  ControlNode &Node = Controls[Control];
  if (!Node.Core || Network.frozen({NodeKind::Control, Control}))
    return;
  Node.Timers->updateTime(Network.clock({NodeKind::Control, Control}));
  Node.Core->submit(
      {OperationId, "operator", Action},
      [this, OperationId](const SubmitResult &Result) {
        Answers[OperationId] = Result;
        const auto *Completed = std::get_if<CommandResult>(&Result);
        if (Completed && Completed->Status == CommandStatus::Accepted)
          Accepted.push_back({OperationId, *Completed, Network.now()});
      });
}

const CommandResult *
VirtualFleet::answerOf(const std::string &OperationId) const {
  auto Found = Answers.find(OperationId);
  return Found == Answers.end() ? nullptr
                                : std::get_if<CommandResult>(&Found->second);
}

std::optional<CommandResult>
VirtualFleet::change(const std::string &OperationId, const FleetAction &Action,
                     Duration Timeout) {
  Duration Until = Network.now() + Timeout;
  constexpr Duration AnswerTimeout = milliseconds(500);
  while (Network.now() < Until) {
    Answers.erase(OperationId);
    if (auto Leader = leader())
      submit(OperationId, Action, *Leader);
    runUntil([&] { return Answers.contains(OperationId); }, AnswerTimeout);
    auto Found = Answers.find(OperationId);
    if (Found == Answers.end())
      continue;
    if (const auto *Completed = std::get_if<CommandResult>(&Found->second))
      return *Completed;
  }
  return std::nullopt;
}

void VirtualFleet::request(const std::string &Id, const std::string &RunKey,
                           bool Idempotent, size_t Entry) {
  CallerRequest &Request = Requests[Id];
  Request.Id = Id;
  Request.Key = RunKey;
  Request.Idempotent = Idempotent;
  ++Request.Sendings;
  if (Network.frozen({NodeKind::Entry, Entry}))
    return;
  LocalRequestId LocalId = ++LastLocalRequestId;
  CallerRequestIds[LocalId] = Id;
  Entries[Entry].Link->FinishHandlers[LocalId] = [this,
                                                  Id](const Outcome &Result) {
    Requests.at(Id).Outcomes.push_back(Result);
  };
  Entries[Entry].Timers->updateTime(Network.clock({NodeKind::Entry, Entry}));
  Entries[Entry].Core->submitRequest(LocalId, {queueFor(RunKey),
                                               RunKey,
                                               {},
                                               Id,
                                               Idempotent,
                                               Request.Sendings == 1,
                                               Duration::zero(),
                                               Hop::Caller});
}

bool VirtualFleet::inForceEverywhere() {
  auto Leader = leader();
  if (!Leader)
    return false;
  Revision Latest = Controls[*Leader].Core->state().configurationRevision();
  return std::all_of(Entries.begin(), Entries.end(), [&](EntryNode &Node) {
    return Node.Core->lease().activeRevision() == Latest &&
           Node.Core->lease().isValid();
  });
}

bool VirtualFleet::disksAreMembers(size_t Control) const {
  const Membership &Members = Controls[Control].Core->raft().membership();
  return std::all_of(Controls.begin(), Controls.end(),
                     [&](const ControlNode &Node) {
                       return Members.isVoter(Node.DiskIdentity);
                     });
}

bool VirtualFleet::logsAgree() const {
  // Control VMs that have committed up to the same index must have the same
  // state.
  const ControlCore *First = nullptr;
  for (const ControlNode &Node : Controls) {
    if (!Node.Core)
      continue;
    if (First &&
        Node.Core->raft().commitIndex() == First->raft().commitIndex() &&
        !(Node.Core->state() == First->state()))
      return false;
    First = Node.Core.get();
  }
  return true;
}

bool VirtualFleet::start() {
  run(milliseconds(50));
  if (!Controls[0].Core->bootstrap({"ada", "operator-digest"}))
    return false;
  TeamDocument Document{Team, 4, Shape.Limit, {Service}};
  bool Applied =
      change("start-1", ApplyDocument{Document, 0}, seconds(10)).has_value() &&
      change("start-2", GrantKey{Team, Key}, seconds(10)).has_value() &&
      change("start-3", CreatePool{"stables", false}, seconds(10))
          .has_value() &&
      change("start-4", CreatePool{"office", true}, seconds(10)).has_value();
  for (size_t I = 0; I < Backends.size(); ++I)
    Applied =
        Applied &&
        change("start-vm-" + std::to_string(I),
               AddVm{vmOf(I), "stables",
                     "dc-" + std::to_string(I % VirtualNetwork::DataCentres),
                     "rack-" + std::to_string(I / 2)},
               seconds(10));
  auto Ready = [&] {
    auto Leader = leader();
    if (!Leader || !inForceEverywhere())
      return false;
    const ControlCore &Core = *Controls[*Leader].Core;
    uint32_t Live = 0;
    LiveInstances Present = Core.fleetStatus().liveInstances();
    for (const auto &[Vm, Count] : Present.byVm(Service.Name))
      Live += Count;
    // Every entry VM must have settled the last promotion of a keeper: until
    // then the group tolerates the loss of fewer members.
    const KeeperSet &Keepers = Core.state().keepers();
    bool KeepersSettled =
        Keepers.Current.size() == Entries.size() &&
        std::all_of(Entries.begin(), Entries.end(), [&](const EntryNode &Node) {
          return Node.Core->makeReport().SettledEpoch == Keepers.Epoch;
        });
    bool GroupComplete = std::all_of(
        Controls.begin(), Controls.end(), [&](const ControlNode &Node) {
          return Node.Core->raft().membership().Voters.size() ==
                     Controls.size() &&
                 Node.Core->raft().commitIndex() == Core.raft().commitIndex();
        });
    return KeepersSettled && GroupComplete && Live == Backends.size() &&
           Core.state().sliceTotal(Team) == Shape.Limit;
  };
  bool Started = Applied && runUntil(Ready, seconds(20));
  Network.beginFaults();
  return Started;
}

} // namespace mimosashunt::test
