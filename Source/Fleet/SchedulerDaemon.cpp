#include "Fleet/SchedulerDaemon.h"

#include "Agreement/RaftCodec.h"

#include <chrono>
#include <random>
#include <utility>

namespace mimosashunt {

namespace {

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr Duration OfferPeriod = milliseconds(100);
constexpr Duration PassOnTimeout = milliseconds(900);
constexpr Duration StopLimit = seconds(2);
/// Proposals that wait for the group; more are refused as not run.
constexpr size_t MaxPendingProposals = 4000;
const char *const PassedOnHeader = "x-mimosashunt-passed-on";

uint64_t randomNumber() {
  std::random_device Device;
  constexpr int Half = 32;
  return (static_cast<uint64_t>(Device()) << Half) | Device();
}

DiskId freshDisk() {
  DiskId Disk = NoDisk;
  while (Disk == NoDisk)
    Disk = randomNumber();
  return Disk;
}

UnixMillis wallNow() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(Since).count();
}

HttpResponse bytes(std::string Body) {
  return {Ok, {{"content-type", "application/cbor"}}, std::move(Body)};
}

} // namespace

SchedulerDaemon::SchedulerDaemon(FleetSettings Given, std::string File,
                                 EventLoop &Loop, SchedulerPorts Ports)
    : Settings(std::move(Given)), File(std::move(File)), Loop(Loop),
      Ports(Ports), Events(Settings.Vm, "control", Settings.LogLevel),
      Links(Loop, Settings.seedsInternal(), Settings.Internal.text(),
            [this](const RaftMessage &Message) { Group->receive(Message); }),
      Forwarding(Loop),
      Control(Loop,
              [this](const ExchangePtr &Exchange) { onControl(Exchange); }),
      Internal(Loop,
               [this](const ExchangePtr &Exchange) { onInternal(Exchange); },
               {.MaxBodyBytes = 64 << 20, .ReadTimeout = seconds(30)}),
      MetricsServer(Loop, [this](const ExchangePtr &Exchange) {
        Exchange->respond(
            {Ok, {{"content-type", "text/plain"}}, metricsText()});
      }) {}

SchedulerDaemon::~SchedulerDaemon() { Loop.timers().cancel(FoundingTimer); }

std::error_code SchedulerDaemon::open(std::string &Key) {
  Key = "dataFolder";
  if (std::error_code Error =
          Folder.open(Settings.DataFolder, Settings.Vm, freshDisk()))
    return Error;
  Store = std::make_unique<DiskLog>(Folder.path());
  DurableLog Durable;
  if (std::error_code Error = Store->load(Durable))
    return Error;
  bool Empty = Durable.Entries.empty() && Durable.Base.Index == 0;
  Member Self{Folder.disk(), Settings.Vm, Settings.Internal.text()};
  Founders = std::make_unique<GroupBootstrap>(Self, Settings.seedsInternal(),
                                              Settings.FirstStart && Empty);
  ReplicaOptions Options;
  Group = std::make_unique<Replica>(Self, Durable, Options, Loop.timers(),
                                    randomNumber(), *Store, Links, *this);
  Group->setRoleChangeHandler([this] { onRoleChange(); });
  refreshConfiguration();
  Events.note("started", {{"disk", Folder.disk()},
                          {"entries", Durable.Entries.size()},
                          {"base", Durable.Base.Index},
                          {"first_start", Settings.FirstStart}});
  Key = "controlListen";
  if (std::error_code Error = Control.listen(*Settings.ControlListen))
    return Error;
  Key = "internalListen";
  if (std::error_code Error = Internal.listen(Settings.Internal))
    return Error;
  Key = "metricsListen";
  if (Settings.MetricsListen)
    if (std::error_code Error = MetricsServer.listen(*Settings.MetricsListen))
      return Error;
  FoundingTimer =
      Loop.timers().scheduleEvery(OfferPeriod, [this] { onFounding(); });
  Watch = std::make_unique<SettingsWatch>(
      Loop, File,
      [this](const FleetSettings &Now) {
        Events.note("settings_reloaded", {{"seeds", Now.seedsInternal()}});
        Links.seeds(Now.seedsInternal());
      },
      [this](const std::string &Diagnostic) {
        Events.note("settings_refused", {{"diagnostic", Diagnostic}});
      });
  Loop.onTurn([this] { return turn(); });
  return {};
}

bool SchedulerDaemon::run() {
  Loop.run();
  Events.note("stopped", {{"disk_error", Group->storeError().message()}});
  Events.flush();
  return !Group->storeError();
}

void SchedulerDaemon::reload() {
  Loop.post([this] { Watch->reload(); });
}

void SchedulerDaemon::stop() {
  Loop.post([this] { beginStop(); });
}

void SchedulerDaemon::beginStop() {
  if (std::exchange(Stopping, true))
    return;
  Events.note("stopping", {{"leads", leads()}});
  StopBegan = Loop.timers().now();
  Control.beginShutdown();
  Loop.timers().scheduleEvery(milliseconds(50), [this] {
    bool Idle =
        Control.pendingExchanges() == 0 && Group->pendingProposals() == 0;
    if (Idle || Loop.timers().now() - StopBegan > StopLimit)
      Loop.stop();
  });
}

// Agreement.

void SchedulerDaemon::onFounding() {
  const Membership &Members = Group->membership();
  if (!Members.Voters.empty()) {
    Loop.timers().cancel(FoundingTimer);
    return;
  }
  BootstrapOffer Own = Founders->offer({});
  if (Own.Sender.Disk == NoDisk) {
    Loop.timers().cancel(FoundingTimer);
    return;
  }
  Links.offer(Own, [this](const BootstrapOffer &Theirs) {
    if (auto List = Founders->receive(Theirs))
      if (Group->bootstrapGroup(*List))
        Events.note("founded", {{"voters", List->size()}});
  });
}

void SchedulerDaemon::onOffer(const ExchangePtr &Exchange) {
  BootstrapOffer Theirs;
  if (decodeOffer(Exchange->request().Body, Theirs))
    if (auto List = Founders->receive(Theirs))
      if (Group->bootstrapGroup(*List))
        Events.note("founded", {{"voters", List->size()}});
  // The founders are the voters of the first entry; later members are none of
  // the asker's business, since it can only join then.
  const Membership &Members = Group->membership();
  Exchange->respond(bytes(encodeOffer(Founders->offer(Members.Voters))));
}

void SchedulerDaemon::apply(LogIndex, const std::string &Bytes) {
  JobCommand Command;
  if (!decodeJobCommand(Bytes, Command)) {
    Events.note("unknown_command", {{"bytes", Bytes.size()}});
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
}

std::string SchedulerDaemon::snapshot() const { return State.snapshot(); }

void SchedulerDaemon::restore(const std::string &Data) {
  State.restore(Data);
  refreshConfiguration();
}

void SchedulerDaemon::refreshConfiguration() {
  if (State.configurationVersion() == Configuration.Version)
    return;
  ServiceConfiguration Next;
  if (auto Fault = Ports.Configurations.read(State.configurationText(), Next)) {
    Events.note("configuration_unreadable",
                {{"version", State.configurationVersion()}, {"fault", *Fault}});
    return;
  }
  Configuration = std::move(Next);
  Events.note("configuration_in_force", {{"version", Configuration.Version}});
  if (Scheduler)
    Scheduler->onConfigurationChanged();
}

bool SchedulerDaemon::turn() {
  bool Busy = false;
  // Each round of commits may let more start, which may propose in turn.
  constexpr int MaxRounds = 4;
  for (int Round = 0; Round < MaxRounds; ++Round) {
    if (Group->log().role() == RaftRole::Leader && !LeadershipAsked)
      beginLeadership();
    if (Scheduler)
      Scheduler->processDueWork();
    bool More = Group->pendingProposals() > 0 || Group->log().hasOutput();
    Group->pump();
    Busy |= Links.flush() || More;
    if (!More)
      break;
  }
  if (Group->storeError())
    Loop.stop();
  Events.flush();
  return Busy;
}

void SchedulerDaemon::onRoleChange() {
  Links.knownMembers(memberAddresses());
  bool Leads = Group->log().role() == RaftRole::Leader;
  Events.note("role", {{"leader", Leads}, {"term", Group->log().term()}});
  LeadershipAsked = false;
  if (!Leads)
    endLeadership("role");
}

void SchedulerDaemon::beginLeadership() {
  if (!Group->isLeader() || Stopping)
    return;
  LeadershipAsked = true;
  Term Asked = Group->log().term();
  propose(BeginLeadership{Settings.Vm}, [this, Asked](ProposalOutcome Outcome) {
    bool Stands = Outcome == ProposalOutcome::Committed &&
                  Group->log().term() == Asked &&
                  Group->log().role() == RaftRole::Leader;
    if (!Stands)
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
      Events.note(Kind, std::move(Fields));
    };
    DispatcherOptions Options;
    Options.Lease.LeaseDuration =
        std::min(Options.Lease.LeaseDuration, Settings.LongestLease);
    MaintenanceOptions WaveOptions;
    WaveOptions.OrderGracePeriod = Settings.OrderPause + milliseconds(100);
    WaveOptions.MaintenanceDuration = Settings.MaintenanceTime;
    Scheduler = std::make_unique<Dispatcher>(State.leaderships(), State,
                                             Configuration, Ports.Workers,
                                             Loop.timers(), Options, Hooks);
    Waves = std::make_unique<Maintenance>(State, *Scheduler, Ports.Vms,
                                          Loop.timers(), WaveOptions, Hooks);
    PoolMoverOptions MoveOptions;
    MoveOptions.OrderGracePeriod = WaveOptions.OrderGracePeriod;
    MoveOptions.OrdersPerSecond = Settings.PlatformOrdersPerSecond;
    Mover = std::make_unique<PoolMover>(Configuration, *Scheduler, Ports.Vms,
                                        Loop.timers(), MoveOptions, Hooks,
                                        [this](const std::string &Vm) {
                                          return Waves->isUnderMaintenance(Vm);
                                        });
    Events.note("leads", {{"token", State.leaderships()},
                          {"term", Asked},
                          {"jobs", Scheduler->activeJobCount()}});
  });
}

void SchedulerDaemon::endLeadership(const char *Why) {
  if (!Scheduler)
    return;
  Mover.reset();
  Waves.reset();
  Scheduler.reset();
  Events.note("leads_no_more", {{"why", Why}});
}

bool SchedulerDaemon::leads() const {
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
    for (const Member &Item : *List)
      Result.push_back(Item.Address);
  return Result;
}

// Operators and workers.

void SchedulerDaemon::onControl(const ExchangePtr &Exchange) {
  ControlRequest Request = Ports.Control.decode(Exchange->request());
  if (const auto *Bad = std::get_if<InvalidControlRequest>(&Request)) {
    Events.note("control_call_refused",
                {{"path", Exchange->request().Path}, {"detail", Bad->Detail}});
    return Exchange->respond(Ports.Control.refusalResponse(*Bad));
  }
  if (!leads())
    return passOn(Exchange);
  if (const auto *Report = std::get_if<WorkerReport>(&Request))
    return onReport(Exchange, *Report);
  if (const auto *Ends = std::get_if<WorkerDeregistration>(&Request)) {
    Scheduler->deregisterWorker(Ends->Id);
    return Exchange->respond(Ports.Control.acknowledgement());
  }
  if (const auto *Offered = std::get_if<ConfigurationUpload>(&Request))
    return onConfiguration(Exchange, Offered->Content);
  if (std::holds_alternative<ConfigurationQuery>(Request)) {
    if (State.configurationVersion() == 0)
      return Exchange->respond(Ports.Control.unavailableResponse());
    return Exchange->respond(
        Ports.Control.configurationResponse(State.configurationText()));
  }
  if (const auto *Wave = std::get_if<StartWave>(&Request))
    return onWave(Exchange, *Wave);
  const auto &Query = std::get<WaveQuery>(Request);
  auto Found = State.waves().find(Query.Wave);
  if (Found == State.waves().end())
    return Exchange->respond(
        Ports.Control.refusalResponse({true, "no such wave was announced"}));
  Exchange->respond(Ports.Control.waveResponse(Found->second.isCompleted()));
}

void SchedulerDaemon::passOn(const ExchangePtr &Exchange) {
  std::string Leader =
      Settings.controlAddressOf(Group ? Group->leaderAddress() : "");
  SocketAddress Target;
  bool Passed =
      !headerValue(Exchange->request().Headers, PassedOnHeader).empty();
  bool Self = Leader == Settings.ControlListen->text();
  if (Leader.empty() || Passed || Self || SocketAddress::parse(Leader, Target))
    return Exchange->respond(Ports.Control.unavailableResponse());
  HttpRequest Request = Exchange->request();
  std::erase_if(Request.Headers, [](const HttpHeader &Header) {
    return Header.Name == "host" || Header.Name == "content-length" ||
           Header.Name == "connection" || Header.Name == "transfer-encoding";
  });
  Request.Headers.push_back({PassedOnHeader, "1"});
  Forwarding.send(Target, Request, PassOnTimeout,
                  [this, Exchange](const HttpResult &Result) {
                    if (const auto *Response =
                            std::get_if<HttpResponse>(&Result)) {
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

void SchedulerDaemon::onReport(const ExchangePtr &Exchange,
                               const WorkerReport &Report) {
  Scheduler->handleReport(Report, [this, Exchange](bool Agreed) {
    Exchange->respond(
        Agreed ? Ports.Control.reportResponse(Settings.ControlListen->text())
               : Ports.Control.unavailableResponse());
  });
}

void SchedulerDaemon::proposeFor(const ExchangePtr &Exchange,
                                 const JobCommand &Command, const char *Event) {
  propose(Command, [this, Exchange, Event](ProposalOutcome Outcome) {
    bool Committed = Outcome == ProposalOutcome::Committed;
    Events.note(Event, {{"committed", Committed}});
    Exchange->respond(Committed ? Ports.Control.acknowledgement()
                                : Ports.Control.unavailableResponse());
  });
}

void SchedulerDaemon::onConfiguration(const ExchangePtr &Exchange,
                                      const ServiceConfiguration &Content) {
  if (Content.Version <= State.configurationVersion())
    return Exchange->respond(Ports.Control.acknowledgement());
  proposeFor(Exchange, PutConfiguration{Content.Version, Content.Text},
             "configuration_offered");
}

void SchedulerDaemon::onWave(const ExchangePtr &Exchange,
                             const StartWave &Wave) {
  if (State.waves().count(Wave.Wave))
    return Exchange->respond(Ports.Control.acknowledgement());
  StartWave Dated = Wave;
  Dated.StartedAt = wallNow();
  proposeFor(Exchange, Dated, "wave_announced");
}

// Entry VMs and other control VMs.

void SchedulerDaemon::onInternal(const ExchangePtr &Exchange) {
  const std::string &Path = Exchange->request().Path;
  const std::string &Body = Exchange->request().Body;
  if (Path == internal_path::Consensus)
    return Exchange->respond(
        bytes(Links.answer(Body, [this] { Group->pump(); })));
  if (Path == internal_path::Offer)
    return onOffer(Exchange);
  if (Path == internal_path::Join) {
    std::vector<Member> New;
    if (decodeMembers(Body, New) && New.size() == 1)
      Group->handleJoinRequest(New.front());
    return Exchange->respond(bytes({}));
  }
  if (Path == internal_path::Sync) {
    SyncRequest Request;
    if (fromCbor(Body, Request))
      return Exchange->respond(bytes(toCbor(sync())));
  }
  if (Path == internal_path::Configuration)
    return Exchange->respond(bytes(toCbor(packedConfiguration())));
  if (Path == internal_path::Call) {
    JobRequest Call;
    if (fromCbor(Body, Call))
      return onCall(Call, [Exchange](const JobResponse &Answer) {
        Exchange->respond(bytes(toCbor(Answer)));
      });
  }
  Exchange->respond({NotFound, {}, {}});
}

ConfigurationReply SchedulerDaemon::packedConfiguration() {
  if (Packed.Version != State.configurationVersion())
    Packed = {State.configurationVersion(), pack(State.configurationText())};
  return Packed;
}

SyncReply SchedulerDaemon::sync() {
  SyncReply Reply;
  Reply.Leads = leads();
  Reply.Leader = Group->leaderAddress();
  Reply.Members = memberAddresses();
  if (!Reply.Leads)
    return Reply;
  Reply.Version = State.configurationVersion();
  Reply.Pending = Scheduler->pendingJobsByQueue();
  return Reply;
}

void SchedulerDaemon::onCall(const JobRequest &Call, const AnswerCall &Answer) {
  JobResponse Result;
  // A caller that was checked by a newer configuration must not be judged by
  // an older one.
  if (!leads() || Call.Version > State.configurationVersion()) {
    Result.Outcome = CallOutcome::NotLeader;
    Result.Leader = leads() ? std::string() : Group->leaderAddress();
    return Answer(Result);
  }
  if (Call.Kind == CallKind::Submit)
    return submit(Call, Answer);
  if (Call.Kind == CallKind::Cancel)
    return cancel(Call, Answer);
  const JobRecord *Record = State.findJob(Call.Job);
  Result.Outcome =
      Record == nullptr ? CallOutcome::NoSuchJob : CallOutcome::Done;
  if (Record != nullptr)
    Result.State = Scheduler->jobState(*Record);
  Answer(Result);
}

void SchedulerDaemon::submit(const JobRequest &Call, const AnswerCall &Answer) {
  if (State.findJob(Call.Job) != nullptr)
    return Answer({CallOutcome::Done, JobState::Queued, 0, {}});
  const QueueConfiguration *Queue = Configuration.findQueue(Call.Queue);
  bool Refused =
      Queue == nullptr || Group->pendingProposals() > MaxPendingProposals;
  if (Refused) {
    Events.note("job_refused", {{"job", Call.Job}, {"queue", Call.Queue}});
    return Answer({CallOutcome::NotRun, JobState::Queued, RetrySoonMs, {}});
  }
  AcceptJob Command;
  Command.Job = Call.Job;
  Command.Queue = Call.Queue;
  Command.Organisation = Call.Organisation;
  Command.MaxAttempts = Queue->MaxAttempts;
  Command.AcceptedAt = wallNow();
  Command.Spec = Call.Spec;
  propose(Command, [this, Answer, Job = Call.Job,
                    Queue = Call.Queue](ProposalOutcome Outcome) {
    JobResponse Result;
    if (Outcome == ProposalOutcome::Committed)
      Result.Outcome = CallOutcome::Done;
    if (Outcome == ProposalOutcome::NotLeader) {
      Result.Outcome = CallOutcome::NotRun;
      Result.RetryAfterMs = RetrySoonMs;
    }
    Events.note("job_submitted",
                {{"job", Job}, {"queue", Queue}, {"outcome", nameOf(Outcome)}});
    Answer(Result);
  });
}

void SchedulerDaemon::cancel(const JobRequest &Call, const AnswerCall &Answer) {
  const JobRecord *Record = State.findJob(Call.Job);
  if (Record == nullptr)
    return Answer({CallOutcome::NoSuchJob, JobState::Queued, 0, {}});
  if (Record->hasEnded())
    return Answer({CallOutcome::Done, Record->State, 0, {}});
  propose(CancelJob{Call.Job}, [this, Answer,
                                Job = Call.Job](ProposalOutcome Outcome) {
    JobResponse Result;
    Result.State = JobState::Cancelled;
    if (Outcome == ProposalOutcome::Committed)
      Result.Outcome = CallOutcome::Done;
    Events.note("job_cancelled", {{"job", Job}, {"outcome", nameOf(Outcome)}});
    Answer(Result);
  });
}

std::string SchedulerDaemon::metricsText() {
  Measured.gauge("mimosashunt_leads", "1 while this VM leads").Set(leads());
  Measured.gauge("mimosashunt_term", "Term of the log")
      .Set(static_cast<double>(Group->log().term()));
  Measured.gauge("mimosashunt_applied_index", "Log index that is applied")
      .Set(static_cast<double>(Group->appliedIndex()));
  Measured.gauge("mimosashunt_voters", "Voters of the group")
      .Set(static_cast<double>(Group->membership().Voters.size()));
  Measured
      .gauge("mimosashunt_configuration_version", "Version that is in force")
      .Set(static_cast<double>(State.configurationVersion()));
  Measured
      .gauge("mimosashunt_log_lines_left_out", "Log lines that were left out")
      .Set(static_cast<double>(Events.dropped()));
  if (Scheduler)
    measureScheduler();
  return Measured.text();
}

void SchedulerDaemon::measureScheduler() {
  const DispatcherCounters &Seen = Scheduler->counters();
  auto Show = [this](const char *Name, const char *Help, uint64_t Value) {
    Measured.gauge(Name, Help).Set(static_cast<double>(Value));
  };
  // Counted since this leadership began; a scraper adds them up by token.
  Show("mimosashunt_fencing_token", "Token of this leadership",
       Scheduler->token());
  Show("mimosashunt_starts", "Starts that were ordered", Seen.StartOrders);
  Show("mimosashunt_starts_refused", "Starts that were not taken",
       Seen.RejectedStarts);
  Show("mimosashunt_starts_lost", "Starts without an answer",
       Seen.UnansweredStarts);
  Show("mimosashunt_looks", "Looks at workers", Seen.Polls);
  Show("mimosashunt_stops", "Stops that were ordered", Seen.StopOrders);
  Show("mimosashunt_ends_done", "Runs that ended done", Seen.CompletedRuns);
  Show("mimosashunt_ends_failed", "Runs that ended failed", Seen.FailedRuns);
  Show("mimosashunt_ends_other", "Runs that ended otherwise",
       Seen.OtherEndedRuns);
  Show("mimosashunt_standstills", "Runs without progress", Seen.StalledRuns);
  Show("mimosashunt_runs_lapsed", "Runs given up with their worker's lease",
       Seen.ExpiredRuns);
  Show("mimosashunt_jobs_live", "Jobs that have not ended",
       Scheduler->activeJobCount());
  Show("mimosashunt_vms_down", "VMs under maintenance", Waves->downVmCount());
  Show("mimosashunt_vms_moving", "VMs on their way to another pool",
       Mover->movesInFlight());
  std::map<std::string, size_t> Workers = {
      {"in_touch", 0}, {"silent", 0}, {"leaving", 0}};
  for (const auto &[Key, Worker] : Scheduler->workers().all())
    ++Workers[Worker.Entry.Leaving ? "leaving"
              : Worker.IsReachable ? "in_touch"
                                   : "silent"];
  for (const auto &[Condition, Count] : Workers)
    Measured
        .gauge("mimosashunt_workers", "Workers by condition",
               {{"condition", Condition}})
        .Set(static_cast<double>(Count));
  for (const QueueConfiguration &Queue : Configuration.Queues)
    Measured
        .gauge("mimosashunt_jobs_waiting", "Jobs that have not begun",
               {{"queue", Queue.Name}})
        .Set(static_cast<double>(Scheduler->pendingJobCount(Queue.Name)));
}

} // namespace mimosashunt
