#include "Fleet/SchedulerDaemon.h"

#include "Agreement/RaftCodec.h"
#include "Links/SystemTime.h"
#include "Storage/StorageError.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace mimosashunt {

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr Duration OfferInterval = milliseconds(100);
constexpr Duration CarriersInterval = milliseconds(200);
constexpr Duration LoadInterval = seconds(1);
/// A control VM that has replied within this time can carry orders.
constexpr Duration RecentReplyAge = milliseconds(300);
/// Two heartbeats between control VMs. Less is usual and not logged.
constexpr Duration LoggedLateness = milliseconds(200);
/// With fewer workers the leader's processor suffices, and its orders take the
/// shortest way.
constexpr size_t MinWorkersForCarriers = 150;
constexpr Duration ForwardTimeout = milliseconds(900);
constexpr Duration StopTimeout = seconds(2);
/// The rest is for snapshots, connections, the log and what has ended.
constexpr int64_t WorkPercentOfMemory = 50;
/// What the process takes without connections and work, with a margin.
constexpr int64_t RestMb = 12;
constexpr int ConnectionPercent = 12;
/// A whole configuration fits even with the least memory that the settings
/// allow.
constexpr int64_t MinConnectionBytes = 6 << 20;
constexpr int InternalPercent = 25;
constexpr int64_t MinInternalBytes = 8 << 20;
/// The rest of the descriptors is for the links to workers and for files.
constexpr ConnectionPart ControlPart = {90, 25};
constexpr ConnectionPart MetricsPart = {10, 3};
constexpr ConnectionPart InternalPart = {100, 25};
/// Largest message of another control VM, a snapshot.
constexpr size_t MaxInternalBytes = 64 << 20;
constexpr Duration InternalIdleTimeout = seconds(30);

/// Returns how many items of \p BytesEach fit into a part of the memory.
size_t itemsIn(int64_t MemoryMb, int64_t PercentOfMemory, int64_t BytesEach) {
  constexpr int64_t Percent = 100;
  return static_cast<size_t>((MemoryMb << 20) * PercentOfMemory / Percent /
                             BytesEach);
}

/// Returns how many ids are kept that were cancelled before they were
/// submitted.
size_t maxCancelledIds(int64_t MemoryMb) {
  constexpr int64_t CancelledIdPercent = 2;
  constexpr int64_t BytesEach = 200;
  return itemsIn(MemoryMb, CancelledIdPercent, BytesEach);
}

/// Returns how many jobs that have ended are kept.
size_t maxEndedJobs(int64_t MemoryMb) {
  constexpr int64_t EndedJobPercent = 25;
  // In the state, and three times in a snapshot while one is written.
  constexpr int64_t BytesEach = 2000;
  return itemsIn(MemoryMb, EndedJobPercent, BytesEach);
}

HttpServerOptions serverOptions(const FleetSettings &Settings,
                                ConnectionPart Part) {
  HttpServerOptions Options;
  Options.Budget =
      limitsOf({connectionBytes(Settings.MemoryMb, RestMb, ConnectionPercent,
                                MinConnectionBytes),
                Settings.MaxDescriptors},
               Part);
  return Options;
}

HttpServerOptions internalOptions(const FleetSettings &Settings) {
  HttpServerOptions Options;
  Options.Limits.MaxBodyBytes = MaxInternalBytes;
  Options.Limits.IdleTimeout = InternalIdleTimeout;
  Options.Budget = limitsOf(
      {connectionBytes(Settings.MemoryMb, 0, InternalPercent, MinInternalBytes),
       Settings.MaxDescriptors},
      InternalPart);
  // Snapshots cross between regions, where small buffers would slow them down.
  Options.Buffers = {};
  return Options;
}
/// Marks a request that another control VM has forwarded, so that it is not
/// forwarded again.
const char *const ForwardedHeader = "x-mimosashunt-passed-on";

uint64_t randomNumber() {
  std::random_device Device;
  constexpr int Half = 32;
  return (static_cast<uint64_t>(Device()) << Half) | Device();
}

DiskId generateDiskId() {
  DiskId Disk = NoDisk;
  while (Disk == NoDisk)
    Disk = randomNumber();
  return Disk;
}

Json describeMembers(const std::vector<Member> &List) {
  Json Result = Json::array();
  for (const Member &Item : List)
    Result.push_back(
        {{"vm", Item.Vm}, {"address", Item.Address}, {"disk", Item.Disk}});
  return Result;
}

HttpResponse cborResponse(std::string Body) {
  return {Ok, {{"content-type", "application/cbor"}}, std::move(Body)};
}

} // namespace

SchedulerDaemon::SchedulerDaemon(FleetSettings InitialSettings,
                                 std::string SettingsFile, EventLoop &Loop,
                                 SchedulerPorts Ports)
    : Settings(std::move(InitialSettings)),
      SettingsFile(std::move(SettingsFile)), Loop(Loop), Ports(Ports),
      Events(Settings.Vm, "control", Settings.LogLevel),
      Transport(
          Loop, Settings.seedInternalAddresses(),
          Settings.InternalListen.text(),
          [this](const RaftMessage &Message) { Group->receive(Message); }),
      ForwardClient(Loop), Carrier(Loop, Ports.Workers, Settings.DataCentre,
                                   [this](const char *Kind, Json Fields) {
                                     Events.log(Kind, std::move(Fields));
                                   }),
      CarriedWorkers(Loop, Ports.Workers, Settings.InternalListen.text(),
                     [this](const char *Kind, Json Fields) {
                       Events.log(Kind, std::move(Fields));
                     }),
      ControlServer(
          Loop,
          [this](const ExchangePtr &Exchange) {
            handleControlRequest(Exchange);
          },
          serverOptions(Settings, ControlPart)),
      InternalServer(
          Loop,
          [this](const ExchangePtr &Exchange) {
            handleInternalRequest(Exchange);
          },
          internalOptions(Settings)),
      MetricsServer(
          Loop,
          [this](const ExchangePtr &Exchange) {
            Exchange->respond(
                {Ok, {{"content-type", "text/plain"}}, metricsText()});
          },
          serverOptions(Settings, MetricsPart)),
      Connections(Registry) {
  Connections.add("control", ControlServer);
  Connections.add("internal", InternalServer);
  Connections.add("metrics", MetricsServer);
}

SchedulerDaemon::~SchedulerDaemon() {
  Loop.timers().cancel(BootstrapTimer);
  Loop.timers().cancel(CarriersTimer);
  Loop.timers().cancel(LoadTimer);
}

std::error_code SchedulerDaemon::open(std::string &Key) {
  Key = "dataFolder";
  if (std::error_code Error =
          Folder.open(Settings.DataFolder, Settings.Vm, generateDiskId()))
    return Error;
  LogStore = std::make_unique<DiskLog>(Folder.path());
  DurableLog Durable;
  if (std::error_code Error = LogStore->load(Durable))
    return Error;
  bool IsEmptyLog = Durable.Entries.empty() && Durable.Base.Index == 0;
  Member Self{Folder.disk(), Settings.Vm, Settings.InternalListen.text()};
  Bootstrap =
      std::make_unique<GroupBootstrap>(Self, Settings.seedInternalAddresses(),
                                       Settings.FirstStart && IsEmptyLog);
  ReplicaOptions Options;
  Group =
      std::make_unique<Replica>(Self, Durable, Options, Loop.timers(),
                                randomNumber(), *LogStore, Transport, *this);
  if (std::error_code Error = Group->storeError())
    return Error;
  Group->setRoleChangeHandler(
      [this](RaftRole Previous) { onRoleChange(Previous); });
  Group->setMembershipChangeHandler(
      [this](const PlannedMembershipChange &Planned) {
        Events.log("membership_planned", {{"change", nameOf(Planned.Change)},
                                          {"disk", diskOf(Planned.Change)},
                                          {"why", nameOf(Planned.Reason)}});
      });
  Group->setCompactionHandler([this](LogIndex Index, size_t Bytes) {
    Events.log("log_compacted", {{"index", Index}, {"bytes", Bytes}});
  });
  refreshConfiguration();
  Events.log("started", {{"disk", Folder.disk()},
                         {"entries", Durable.Entries.size()},
                         {"base", Durable.Base.Index},
                         {"first_start", Settings.FirstStart}});
  Key = "controlListen";
  if (std::error_code Error = ControlServer.listen(*Settings.ControlListen))
    return Error;
  Key = "internalListen";
  if (std::error_code Error = InternalServer.listen(Settings.InternalListen))
    return Error;
  Key = "metricsListen";
  if (Settings.MetricsListen)
    if (std::error_code Error = MetricsServer.listen(*Settings.MetricsListen))
      return Error;
  BootstrapTimer = Loop.timers().scheduleEvery(
      OfferInterval, [this] { sendBootstrapOffer(); });
  CarriersTimer = Loop.timers().scheduleEvery(CarriersInterval,
                                              [this] { updateCarriers(); });
  LoadTimer = Loop.timers().scheduleEvery(LoadInterval, [this] {
    reportLoopLoad();
    logRejectedInput();
    Connections.logNew([this](Json Fields) {
      Events.log("connections_limited", std::move(Fields));
    });
  });
  Watcher = std::make_unique<SettingsWatcher>(
      Loop, SettingsFile,
      [this](const FleetSettings &NewSettings) {
        Events.log("settings_reloaded",
                   {{"seeds", NewSettings.seedInternalAddresses()}});
        Transport.setSeeds(NewSettings.seedInternalAddresses());
      },
      [this](const std::string &Diagnostic) {
        Events.log("settings_refused", {{"diagnostic", Diagnostic}});
      });
  Loop.onTurn([this] { return onTurn(); });
  return {};
}

bool SchedulerDaemon::run() {
  Loop.run();
  Events.log("stopped", {{"disk_error", Group->storeError().message()}});
  Events.flush();
  return !Group->storeError();
}

void SchedulerDaemon::reload() {
  Loop.post([this] { Watcher->reload(); });
}

void SchedulerDaemon::stop() {
  Loop.post([this] { beginStop(); });
}

void SchedulerDaemon::beginStop() {
  if (std::exchange(Stopping, true))
    return;
  Events.log("stopping", {{"leads", isLeader()}});
  StopStartedAt = Loop.timers().now();
  ControlServer.beginShutdown();
  Loop.timers().scheduleEvery(milliseconds(50), [this] {
    bool IsIdle =
        ControlServer.pendingExchanges() == 0 && Group->pendingProposals() == 0;
    if (IsIdle || Loop.timers().now() - StopStartedAt > StopTimeout)
      Loop.stop();
  });
}

// Consensus.

void SchedulerDaemon::sendBootstrapOffer() {
  const Membership &Members = Group->membership();
  if (!Members.Voters.empty()) {
    Loop.timers().cancel(BootstrapTimer);
    return;
  }
  BootstrapOffer OwnOffer = Bootstrap->offer({});
  if (OwnOffer.Sender.Disk == NoDisk) {
    Loop.timers().cancel(BootstrapTimer);
    return;
  }
  Transport.exchangeBootstrapOffers(
      OwnOffer, [this](const BootstrapOffer &PeerOffer) {
        if (auto List = Bootstrap->receive(PeerOffer))
          if (Group->bootstrapGroup(*List))
            Events.log("founded", {{"voters", List->size()}});
      });
}

void SchedulerDaemon::handleBootstrapOffer(const ExchangePtr &Exchange) {
  BootstrapOffer PeerOffer;
  if (decodeBootstrapOffer(Exchange->request().Body, PeerOffer))
    if (auto List = Bootstrap->receive(PeerOffer))
      if (Group->bootstrapGroup(*List))
        Events.log("founded", {{"voters", List->size()}});
  // A sender that learns of an existing group can only join it, so it makes no
  // difference to it if the voters have changed since the first entry.
  const Membership &Members = Group->membership();
  Exchange->respond(
      cborResponse(encodeBootstrapOffer(Bootstrap->offer(Members.Voters))));
}

void SchedulerDaemon::apply(LogIndex, const std::string &Bytes) {
  JobCommand Command;
  if (!decodeJobCommand(Bytes, Command)) {
    Events.log("unknown_command", {{"bytes", Bytes.size()}});
    return;
  }
  bool Changed = State.apply(Command);
  if (std::holds_alternative<PutConfiguration>(Command) && Changed)
    refreshConfiguration();
  if (Scheduler == nullptr)
    return;
  if (const auto *Accepted = std::get_if<AcceptJob>(&Command))
    Scheduler->onJobAccepted(Accepted->Job);
  if (const auto *Cancelled = std::get_if<CancelJob>(&Command))
    Scheduler->onJobCancelled(Cancelled->Job);
  if (std::holds_alternative<SetEvacuation>(Command) && Changed)
    Scheduler->onEvacuationChanged();
}

std::string SchedulerDaemon::snapshot() const { return State.snapshot(); }

bool SchedulerDaemon::canRestore(const std::string &Data) {
  bool IsReadable = JobStore().restore(Data);
  if (!IsReadable)
    Events.log("snapshot_unreadable", {{"bytes", Data.size()}});
  return IsReadable;
}

std::error_code SchedulerDaemon::restore(const std::string &Data) {
  if (!State.restore(Data))
    return StorageError::Damaged;
  HasMissedConfiguration |=
      State.configurationVersion() != Configuration.Version;
  refreshConfiguration();
  return {};
}

void SchedulerDaemon::refreshConfiguration() {
  if (State.configurationVersion() == Configuration.Version)
    return;
  ServiceConfiguration Parsed;
  if (auto Fault =
          Ports.Configurations.read(State.configurationText(), Parsed)) {
    Events.log("configuration_unreadable",
               {{"version", State.configurationVersion()}, {"fault", *Fault}});
    HasMissedConfiguration = true;
    return;
  }
  bool IsNext = !std::exchange(HasMissedConfiguration, false);
  Parsed.setPoolVersions(IsNext ? Configuration : ServiceConfiguration());
  Configuration = std::move(Parsed);
  Events.log("configuration_in_force", {{"version", Configuration.Version}});
  if (Scheduler)
    Scheduler->onConfigurationChanged();
}

bool SchedulerDaemon::onTurn() {
  bool DidWork = false;
  // Each round of commits may allow further runs to start, which may propose
  // further commands.
  constexpr int MaxRounds = 4;
  for (int Round = 0; Round < MaxRounds; ++Round) {
    if (Group->log().role() == RaftRole::Leader && !LeadershipProposed)
      beginLeadership();
    if (Scheduler)
      Scheduler->processDueWork();
    // Proposals that only wait for other members are no work: the loop would
    // turn without a pause until they commit.
    bool HasWork = Group->hasWork();
    Group->pump();
    logMembershipChange();
    DidWork |= Transport.sendPending() || HasWork;
    if (!HasWork)
      break;
  }
  if (Group->storeError())
    Loop.stop();
  Events.flush();
  return DidWork;
}

void SchedulerDaemon::reportLoopLoad() {
  LastLoad = Loop.takeLoad();
  if (LastLoad.LongestLateness < LoggedLateness)
    return;
  Json Fields = {{"late_ms", toMillis(LastLoad.LongestLateness)},
                 {"turn_ms", toMillis(LastLoad.LongestTurn)},
                 {"turns", LastLoad.Iterations},
                 {"proposals", Group->pendingProposals()}};
  if (Scheduler)
    Fields.update(
        {{"oldest_renewal_ms", toMillis(Scheduler->oldestRenewalAge())},
         {"response_delay_ms", toMillis(Scheduler->responseDelay())},
         {"start_window", Scheduler->startWindow()},
         {"overloaded", Scheduler->isOverloaded()}});
  Events.log("loop_late", Fields);
}

void SchedulerDaemon::logRejectedInput() {
  Ports.Rejected.logNew(
      [this](InputSource Source, const RejectedInput::Tally &Tally) {
        Events.log("input_rejected", {{"source", nameOf(Source)},
                                      {"count", Tally.UnloggedCount},
                                      {"detail", Tally.LastDetail}});
      });
}

void SchedulerDaemon::countUnusableWorkers() {
  for (const auto &[Key, Entry] : State.workers()) {
    SocketAddress Address;
    if (SocketAddress::parse(Entry.Address, Address))
      Ports.Rejected.add(InputSource::StoredState,
                         "the address of worker " + Key.Id);
  }
}

void SchedulerDaemon::logMembershipChange() {
  const Membership &Members = Group->membership();
  if (Members == LoggedMembers)
    return;
  LoggedMembers = Members;
  // Join requests go there, also if all seeds are gone.
  Transport.setMemberAddresses(memberAddresses());
  Events.log("membership", {{"voters", describeMembers(Members.Voters)},
                            {"learners", describeMembers(Members.Learners)},
                            {"term", Group->log().term()}});
}

void SchedulerDaemon::onRoleChange(RaftRole Previous) {
  const Raft &Log = Group->log();
  bool IsLeader = Log.role() == RaftRole::Leader;
  Events.log("role", {{"leader", IsLeader},
                      {"name", nameOf(Log.role())},
                      {"was", nameOf(Previous)},
                      {"voters", Log.membership().Voters.size()},
                      {"term", Log.term()}});
  if (Previous == RaftRole::Leader && !Log.silentVoters().empty())
    Events.log("quorum_lost", {{"silent", describeMembers(Log.silentVoters())},
                               {"voters", Log.membership().Voters.size()}});
  LeadershipProposed = false;
  if (!IsLeader)
    endLeadership("role");
}

void SchedulerDaemon::beginLeadership() {
  if (!Group->isLeader() || Stopping)
    return;
  LeadershipProposed = true;
  Term ProposedTerm = Group->log().term();
  propose(BeginLeadership{Settings.Vm}, [this, ProposedTerm](
                                            ProposalOutcome Outcome) {
    bool IsConfirmed = Outcome == ProposalOutcome::Committed &&
                       Group->log().term() == ProposedTerm &&
                       Group->log().role() == RaftRole::Leader;
    if (!IsConfirmed)
      return;
    LeaderHooks Hooks;
    Hooks.Propose = [this](const JobCommand &Command,
                           std::function<void(bool)> Done) {
      propose(Command, [Done = std::move(Done)](ProposalOutcome Result) {
        Done(Result == ProposalOutcome::Committed);
      });
    };
    Hooks.MayIssueOrders = [this] { return Group->isLeader() && !Stopping; };
    Hooks.OnDeposed = [this] {
      Loop.defer([this] { endLeadership("deposed"); });
    };
    Hooks.WallNow = wallNow;
    Hooks.LogEvent = [this](const char *Kind, Json Fields) {
      Events.log(Kind, std::move(Fields));
    };
    DispatcherOptions Options;
    Options.Lease.LeaseDuration =
        std::min(Options.Lease.LeaseDuration, Settings.MaxLeaseDuration);
    Options.Lease.MaxAcceptedLease = Settings.MaxLeaseDuration;
    Options.RecordsPlacements = Settings.RecordPlacements;
    if (Settings.OrganisationShares)
      Options.JobOrderPolicy = SharedValue{};
    Options.WaitsForLocality = Settings.LocalityWait;
    Options.RemoteFactor = Settings.RemoteFactor;
    constexpr int64_t BytesPerMb = 1 << 20;
    constexpr int64_t Percent = 100;
    Options.WorkBytes =
        Settings.MemoryMb * BytesPerMb * WorkPercentOfMemory / Percent;
    MaintenanceOptions WaveOptions;
    WaveOptions.Takeover = {Settings.OrderGracePeriod + milliseconds(100),
                            Settings.PlatformChecksTokens};
    WaveOptions.MaintenanceDuration = Settings.MaintenanceDuration;
    Scheduler = std::make_unique<Dispatcher>(State.leaderships(), State,
                                             Configuration, CarriedWorkers,
                                             Loop.timers(), Options, Hooks);
    JobIntakeOptions IntakeOptions;
    IntakeOptions.RecordsPlacements = Settings.RecordPlacements;
    IntakeOptions.Retention = Settings.StatusRetention;
    IntakeOptions.MaxEndedJobs = maxEndedJobs(Settings.MemoryMb);
    IntakeOptions.MaxCancelledIds = maxCancelledIds(Settings.MemoryMb);
    Intake = std::make_unique<JobIntake>(State, Configuration, *Scheduler,
                                         Loop.timers(), IntakeOptions,
                                         makeIntakeHooks());
    WaveMaintenance = std::make_unique<Maintenance>(
        State, *Scheduler, Ports.Vms, Loop.timers(), WaveOptions, Hooks);
    PoolMoverOptions MoveOptions;
    MoveOptions.Takeover = WaveOptions.Takeover;
    MoveOptions.OrdersPerSecond = Settings.PlatformOrdersPerSecond;
    Mover = std::make_unique<PoolMover>(
        Configuration, *Scheduler, Ports.Vms, Loop.timers(), MoveOptions, Hooks,
        [this](const std::string &Vm) {
          return WaveMaintenance->isUnderMaintenance(Vm);
        });
    countUnusableWorkers();
    // All workers are about to be read, which is most of a new leader's work.
    updateCarriers();
    Events.log("leads", {{"token", State.leaderships()},
                         {"term", ProposedTerm},
                         {"jobs", Scheduler->activeJobCount()}});
  });
}

JobIntakeHooks SchedulerDaemon::makeIntakeHooks() {
  JobIntakeHooks Hooks;
  Hooks.Propose = [this](const JobCommand &Command,
                         Replica::ProposalCallback Done) {
    propose(Command, std::move(Done));
  };
  Hooks.PendingProposals = [this] { return Group->pendingProposals(); };
  Hooks.WallNow = wallNow;
  Hooks.LogEvent = [this](const char *Kind, Json Fields) {
    Events.log(Kind, std::move(Fields));
  };
  return Hooks;
}

void SchedulerDaemon::endLeadership(const char *Reason) {
  if (!Scheduler)
    return;
  Mover.reset();
  WaveMaintenance.reset();
  Intake.reset();
  Scheduler.reset();
  updateCarriers();
  Events.log("leads_no_more", {{"why", Reason}});
}

void SchedulerDaemon::updateCarriers() {
  std::vector<CarrierAddress> Addresses;
  bool UsesCarriers =
      Scheduler && Scheduler->workers().all().size() >= MinWorkersForCarriers;
  const Membership &Members = Group->membership();
  for (const auto *List : {&Members.Voters, &Members.Learners})
    for (const Member &Peer : *List) {
      if (!UsesCarriers || Peer.Address == Settings.InternalListen.text())
        continue;
      std::optional<Instant> LastReply = Group->log().lastReplyTime(Peer.Disk);
      bool IsKnownAlive =
          LastReply && Loop.timers().now() - *LastReply < RecentReplyAge;
      Addresses.push_back({Peer.Address, IsKnownAlive});
    }
  CarriedWorkers.setCarriers(Addresses, Group->log().term());
}

bool SchedulerDaemon::isLeader() const {
  return Scheduler != nullptr && Group->isLeader();
}

void SchedulerDaemon::propose(const JobCommand &Command,
                              Replica::ProposalCallback Done) {
  Group->propose(encodeJobCommand(Command), std::move(Done));
}

std::vector<std::string> SchedulerDaemon::memberAddresses() const {
  std::vector<std::string> Result;
  for (const auto *List :
       {&Group->membership().Voters, &Group->membership().Learners})
    for (const Member &GroupMember : *List)
      Result.push_back(GroupMember.Address);
  return Result;
}

// Requests of operators and workers.

void SchedulerDaemon::handleControlRequest(const ExchangePtr &Exchange) {
  ControlRequest Request = Ports.Control.decode(Exchange->request());
  if (const auto *Invalid = std::get_if<InvalidControlRequest>(&Request)) {
    const std::string Path =
        Exchange->request().Path.substr(0, MaxLoggedTextBytes);
    Events.log("control_call_refused",
               {{"path", Path},
                {"detail", Invalid->Detail.substr(0, MaxLoggedTextBytes)}},
               MaxRefusalLinesPerSecond);
    if (Invalid->Reason == InvalidControlRequest::ReasonCode::Malformed)
      Ports.Rejected.add(InputSource::ControlCall,
                         Path + ": " + Invalid->Detail);
    return Exchange->respond(Ports.Control.refusalResponse(*Invalid));
  }
  if (!isLeader())
    return forwardToLeader(Exchange);
  if (const auto *Report = std::get_if<WorkerReport>(&Request))
    return handleWorkerReport(Exchange, *Report);
  if (const auto *Deregistration =
          std::get_if<WorkerDeregistration>(&Request)) {
    Scheduler->deregisterWorker(Deregistration->Id,
                                Deregistration->Incarnation);
    return Exchange->respond(Ports.Control.acknowledgement());
  }
  if (const auto *Upload = std::get_if<ConfigurationUpload>(&Request))
    return handleConfigurationUpload(Exchange, Upload->Content);
  if (std::holds_alternative<ConfigurationQuery>(Request)) {
    if (State.configurationVersion() == 0)
      return Exchange->respond(Ports.Control.unavailableResponse());
    return Exchange->respond(
        Ports.Control.configurationResponse(State.configurationText()));
  }
  if (const auto *Wave = std::get_if<StartWave>(&Request))
    return handleStartWave(Exchange, *Wave);
  if (const auto *Order = std::get_if<EvacuationOrder>(&Request))
    return handleEvacuation(Exchange, *Order);
  const auto &Query = std::get<WaveQuery>(Request);
  auto Found = State.waves().find(Query.Wave);
  if (Found == State.waves().end())
    return Exchange->respond(Ports.Control.refusalResponse(
        {InvalidControlRequest::ReasonCode::NotFound,
         "no such wave was announced"}));
  Exchange->respond(Ports.Control.waveResponse(Found->second.isCompleted()));
}

void SchedulerDaemon::forwardToLeader(const ExchangePtr &Exchange) {
  std::string Leader =
      Settings.controlAddressOf(Group ? Group->leaderAddress() : "");
  SocketAddress Target;
  bool WasForwarded =
      !headerValue(Exchange->request().Headers, ForwardedHeader).empty();
  bool IsSelf = Leader == Settings.ControlListen->text();
  if (Leader.empty() || WasForwarded || IsSelf ||
      SocketAddress::parse(Leader, Target))
    return Exchange->respond(Ports.Control.unavailableResponse());
  // The call's encoding, and a second one while it waits for a connection.
  constexpr int64_t Copies = 2;
  if (!Exchange->reserve(Copies *
                         static_cast<int64_t>(Exchange->request().Body.size())))
    return Exchange->respond(Ports.Control.unavailableResponse());
  HttpRequest Request = Exchange->request();
  std::erase_if(Request.Headers, [](const HttpHeader &Header) {
    return Header.Name == "host" || Header.Name == "content-length" ||
           Header.Name == "connection" || Header.Name == "transfer-encoding";
  });
  Request.Headers.push_back({ForwardedHeader, "1"});
  ForwardClient.send(
      Target, Request, ForwardTimeout,
      [this, Exchange](const HttpResult &Result) {
        if (const auto *Response = std::get_if<HttpResponse>(&Result)) {
          HttpResponse Copy = *Response;
          std::erase_if(Copy.Headers, [](const HttpHeader &Header) {
            return Header.Name != "content-type" &&
                   Header.Name != "retry-after";
          });
          return Exchange->respond(Copy);
        }
        Exchange->respond(Ports.Control.unavailableResponse());
      });
}

void SchedulerDaemon::handleWorkerReport(const ExchangePtr &Exchange,
                                         const WorkerReport &Report) {
  Scheduler->handleReport(Report, [this, Exchange](bool Agreed) {
    Exchange->respond(
        Agreed ? Ports.Control.reportResponse(Settings.ControlListen->text())
               : Ports.Control.unavailableResponse());
  });
}

void SchedulerDaemon::proposeAndRespond(const ExchangePtr &Exchange,
                                        const JobCommand &Command,
                                        const char *Event) {
  propose(Command, [this, Exchange, Event](ProposalOutcome Outcome) {
    bool Committed = Outcome == ProposalOutcome::Committed;
    Events.log(Event, {{"committed", Committed}});
    Exchange->respond(Committed ? Ports.Control.acknowledgement()
                                : Ports.Control.unavailableResponse());
  });
}

void SchedulerDaemon::handleConfigurationUpload(
    const ExchangePtr &Exchange, const ServiceConfiguration &Content) {
  if (Content.Version <= State.configurationVersion())
    return Exchange->respond(Ports.Control.acknowledgement());
  proposeAndRespond(Exchange, PutConfiguration{Content.Version, Content.Text},
                    "configuration_offered");
}

void SchedulerDaemon::handleStartWave(const ExchangePtr &Exchange,
                                      const StartWave &Wave) {
  if (State.waves().count(Wave.Wave))
    return Exchange->respond(Ports.Control.acknowledgement());
  StartWave StampedWave = Wave;
  StampedWave.StartedAt = wallNow();
  proposeAndRespond(Exchange, StampedWave, "wave_announced");
}

bool SchedulerDaemon::isKnownDataCentre(const std::string &Name) const {
  const std::vector<std::string> &Known = Settings.DataCentres;
  if (!Known.empty())
    return std::find(Known.begin(), Known.end(), Name) != Known.end();
  const auto &Workers = State.workers();
  return std::any_of(Workers.begin(), Workers.end(), [&](const auto &Item) {
    return Item.second.DataCentre == Name;
  });
}

void SchedulerDaemon::handleEvacuation(const ExchangePtr &Exchange,
                                       const EvacuationOrder &Order) {
  using ReasonCode = InvalidControlRequest::ReasonCode;
  auto Refuse = [&](ReasonCode Reason, const std::string &Detail) {
    Events.log("evacuation_refused",
               {{"data_centre", Order.DataCentre}, {"detail", Detail}});
    Exchange->respond(Ports.Control.refusalResponse({Reason, Detail}));
  };
  if (!isKnownDataCentre(Order.DataCentre))
    return Refuse(ReasonCode::NotFound, "no such data centre");
  // The end of an evacuation may be sent again, the end of none is a mistake.
  // While an order is in flight it is not known which of the two this is.
  if (!Order.Active && EvacuationsInFlight == 0 &&
      !State.evacuations().count(Order.DataCentre))
    return Refuse(ReasonCode::Conflict,
                  "the data centre has not been evacuated");
  // Also if it changes nothing: an order in flight may change the state first.
  ++EvacuationsInFlight;
  propose(SetEvacuation{Order.DataCentre, Order.Active, wallNow()},
          [this, Exchange, Order](ProposalOutcome Outcome) {
            --EvacuationsInFlight;
            bool Committed = Outcome == ProposalOutcome::Committed;
            Events.log("evacuation", {{"data_centre", Order.DataCentre},
                                      {"active", Order.Active},
                                      {"committed", Committed}});
            Exchange->respond(Committed ? Ports.Control.acknowledgement()
                                        : Ports.Control.unavailableResponse());
          });
}

// Requests of entry VMs and other control VMs.

void SchedulerDaemon::handleInternalRequest(const ExchangePtr &Exchange) {
  const std::string &Path = Exchange->request().Path;
  const std::string &Body = Exchange->request().Body;
  if (Path == internal_path::Consensus)
    return Exchange->respond(
        cborResponse(Transport.handleRequest(Body, [this] { Group->pump(); })));
  if (Path == internal_path::Offer)
    return handleBootstrapOffer(Exchange);
  if (Path == internal_path::Join)
    return handleJoinRequest(Exchange);
  if (Path == internal_path::Orders)
    return Exchange->respond(Carrier.handleBatch(Body, Group->log().term()));
  if (Path == internal_path::Results)
    return Exchange->respond(
        {CarriedWorkers.handleResults(Body) ? Ok : BadRequest, {}, {}});
  if (Path == internal_path::Sync) {
    SyncRequest Request;
    if (fromCbor(Body, Request))
      return Exchange->respond(cborResponse(toCbor(makeSyncReply())));
  }
  if (Path == internal_path::Configuration)
    return Exchange->respond(cborResponse(toCbor(compressedConfiguration())));
  if (Path == internal_path::Call) {
    JobRequest Request;
    if (fromCbor(Body, Request))
      return handleJobRequest(Request, [Exchange](const JobResponse &Response) {
        Exchange->respond(cborResponse(toCbor(Response)));
      });
  }
  Exchange->respond({NotFound, {}, {}});
}

void SchedulerDaemon::handleJobRequest(
    const JobRequest &Request, const JobIntake::ResponseHandler &Respond) {
  // A call that a gateway checked against a newer configuration must not be
  // handled under an older one.
  if (isLeader() && Request.Version <= State.configurationVersion())
    return Intake->handle(Request, Respond);
  JobResponse Result;
  Result.Outcome = JobRequestOutcome::NotLeader;
  Result.Leader = isLeader() ? std::string() : Group->leaderAddress();
  Respond(Result);
}

void SchedulerDaemon::handleJoinRequest(const ExchangePtr &Exchange) {
  std::vector<Member> New;
  if (decodeMembers(Exchange->request().Body, New) && New.size() == 1)
    Group->handleJoinRequest(New.front());
  const Membership &Members = Group->membership();
  std::vector<Member> Known = Members.Voters;
  Known.insert(Known.end(), Members.Learners.begin(), Members.Learners.end());
  Exchange->respond(cborResponse(encodeMembers(Known)));
}

ConfigurationReply SchedulerDaemon::compressedConfiguration() {
  if (CompressedConfiguration.Version != State.configurationVersion())
    CompressedConfiguration = {State.configurationVersion(),
                               compressText(State.configurationText())};
  return CompressedConfiguration;
}

SyncReply SchedulerDaemon::makeSyncReply() {
  SyncReply Reply;
  Reply.IsLeader = isLeader();
  Reply.Leader = Group->leaderAddress();
  Reply.MemberAddresses = memberAddresses();
  if (!Reply.IsLeader)
    return Reply;
  Reply.Version = State.configurationVersion();
  Reply.PendingJobs = Scheduler->pendingJobsByQueue();
  return Reply;
}

} // namespace mimosashunt
