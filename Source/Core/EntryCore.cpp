#include "Core/EntryCore.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration ComeBackSoon = seconds(1);
constexpr Duration ShortestRetry = milliseconds(100);
constexpr double RunTimeSmoothing = 0.1;
constexpr uint64_t IncarnationStep = 1000;
constexpr int ServerErrors = 500;

std::map<std::string, std::string>
addressesOf(const std::vector<EntryVm> &All) {
  std::map<std::string, std::string> Result;
  for (const EntryVm &Item : All)
    Result[Item.Vm] = Item.PeerAddress;
  return Result;
}

const char *const AnswerLost = "the answer was lost";
const char *const OpenFlowPrefix = "open:";

} // namespace

EntryCore::EntryCore(EntryVm Self, const std::vector<EntryVm> &All,
                     uint64_t Incarnation, EntryOptions Options,
                     TimerService &Timers, EntryPort &Port)
    : Self(std::move(Self)), Addresses(addressesOf(All)),
      Incarnation(Incarnation), Options(Options), Timers(Timers), Port(Port),
      Lease(Timers), Sessions(Timers, Options.Sessions),
      Keeping({this->Self.Vm, Incarnation}, Addresses, Timers, Options.Records,
              Port),
      Peers(this->Self.DataCentre, Timers, Options.PeerFreshness) {
  TickTimer = Timers.scheduleEvery(Options.Tick, [this] { onTick(); });
}

EntryCore::~EntryCore() {
  Timers.cancel(TickTimer);
  for (auto &[Id, Entry] : Items)
    cancelTimers(Entry);
}

void EntryCore::cancelTimers(const Item &Entry) {
  Timers.cancel(Entry.DeadlineTimer);
  Timers.cancel(Entry.HomeTimer);
}

EntryCore::ServiceState &EntryCore::service(const std::string &Name) {
  return Services.try_emplace(Name, Options).first->second;
}

void EntryCore::submitRequest(LocalRequestId Id, const EntryRequest &Request) {
  Item &New = Items[Id];
  New.Request = Request;
  auto Match = Lease.findQueue(Request.Queue);
  if (!Match) {
    bool Unconfigured = Lease.activeRevision() == 0;
    if (Unconfigured)
      return refuse(Id, Refusal::LeaseLapsed, ComeBackSoon);
    return refuse(Id, Refusal::UnknownQueue, std::nullopt);
  }
  if (auto Why = Lease.authorise(Request, Match->Spec.IsOpen, New.Team)) {
    bool Passing = *Why == Refusal::LeaseLapsed;
    return refuse(Id, *Why,
                  Passing ? std::optional<Duration>(ComeBackSoon)
                          : std::nullopt);
  }
  New.Service = Match->Service;
  New.Urgent = Match->Spec.IsUrgent;
  New.Flow = New.Team.empty() ? OpenFlowPrefix + Request.Queue : New.Team;
  Duration Most = std::min<Duration>(milliseconds(Match->Spec.DeadlineMillis),
                                     Options.Sessions.MaxRun);
  bool Shorter = Request.Timeout > Duration::zero() && Request.Timeout < Most;
  New.Deadline = Timers.now() + (Shorter ? Request.Timeout : Most);
  New.DeadlineTimer =
      Timers.scheduleAt(New.Deadline, [this, Id] { deadlinePassed(Id); });
  service(New.Service).Retries.earn();
  service(New.Service).Reroutes.earn();
  if (!Request.needsRecord())
    return route(Id);
  seekHome(Id);
}

void EntryCore::seekHome(LocalRequestId Id) {
  Item &Entry = Items.at(Id);
  Entry.HomeTimer = 0;
  std::string Home = Keeping.keeperOf(Entry.Request.RequestId);
  if (!Home.empty() && Home != Self.Vm && Entry.Request.Via != Hop::Keeper)
    return forwardTo(Id, Home, Hop::Keeper);
  // Without the lease another entry VM may keep the id by now.
  if (!Lease.isValid())
    return refuse(Id, Refusal::LeaseLapsed, ComeBackSoon);
  Duty Present = recordCoverage(Entry.Request.RequestId);
  if (Present != Duty::None)
    return enterRecord(Id, Present);
  // The sender asks again; it may know of a change before this VM does.
  if (Entry.Request.Via == Hop::Keeper)
    return refuse(Id, Refusal::KeeperUnreachable, ComeBackSoon);
  waitForHome(Id);
}

void EntryCore::waitForHome(LocalRequestId Id) {
  Item &Entry = Items.at(Id);
  Instant Now = Timers.now();
  Instant Since = Entry.HomeSoughtSince.value_or(Now);
  Entry.HomeSoughtSince = Since;
  if (Now - Since >= Options.HomePatience)
    return refuse(Id, Refusal::KeeperUnreachable, ComeBackSoon);
  Entry.HomeTimer =
      Timers.scheduleAt(Now + Options.HomePause, [this, Id] { seekHome(Id); });
}

void EntryCore::enterRecord(LocalRequestId Id, Duty Present) {
  Item &Entry = Items.at(Id);
  RequestRecords &Records = Keeping.records();
  const EntryRequest &Request = Entry.Request;
  if (Records.full())
    return refuse(Id, Refusal::QueueFull, ComeBackSoon);
  std::string Scope = Request.Queue + " " + Request.Digest;
  RecordAnswer Known = Records.beginRequest(Request.RequestId, Scope, Id);
  if (std::holds_alternative<RecordAttached>(Known))
    return;
  if (const auto *Done = std::get_if<RecordEnded>(&Known))
    return finishOne(Id, Done->Result);
  if (std::holds_alternative<RecordForeign>(Known)) {
    // Another caller's record: nothing of it is shown.
    return finishOne(Id, NotRun{Refusal::TeamMismatch, std::nullopt, false});
  }
  Entry.Recorded = true;
  if (Present == Duty::Incomplete && !Request.FirstSend) {
    // The record may have been lost with its keeper; it is not taken again.
    return finish(Id, OutcomeUnknown{"an earlier sending may have run; this "
                                     "one did not"});
  }
  Entry.RecordChecked = true;
  route(Id);
}

void EntryCore::forwardTo(LocalRequestId Id, const std::string &Vm, Hop Via) {
  Item &Entry = Items.at(Id);
  auto Address = Addresses.find(Vm);
  if (Address == Addresses.end())
    return refuse(Id, Refusal::KeeperUnreachable, ComeBackSoon);
  ++Entry.Tries;
  Entry.ForwardedTo = Vm;
  if (Via == Hop::Owner)
    Peers.sent(Vm);
  ++Statistics.Forwards;
  Port.forwardRequest(
      {Id, Vm, Address->second, Via, Entry.Deadline - Timers.now()});
}

void EntryCore::route(LocalRequestId Id) {
  Item &Entry = Items.at(Id);
  const std::set<std::string> &Draining = Lease.configuration().DrainingVms;
  ServiceLoad Local = Sessions.load(Entry.Service, Draining);
  FairQueue &Queue = service(Entry.Service).Queue;
  bool LocalOnly = Entry.Request.Via == Hop::Owner;
  bool LocalRoom = Local.Running + Queue.size() < Local.Slots;
  if (!LocalOnly && !LocalRoom && Entry.Tries < Options.MaxTries) {
    PeerTable::Question Asked{Entry.Service, Entry.Avoid, /*WithRoom=*/true,
                              /*TakeOld=*/!Lease.isValid()};
    std::optional<std::string> Peer = Peers.best(Asked);
    Asked.WithRoom = false;
    if (!Peer && Local.Slots == 0)
      Peer = Peers.best(Asked);
    if (Peer)
      return forwardTo(Id, *Peer, Hop::Owner);
  }
  if (Local.Slots == 0)
    return refuse(Id, Refusal::NoBackendServer, ComeBackSoon);
  enqueue(Id);
}

Duration EntryCore::expectedWait(const std::string &Name,
                                 const std::string &Flow,
                                 const std::string &Team) const {
  auto Found = Services.find(Name);
  ServiceLoad Load = Sessions.load(Name, Lease.configuration().DrainingVms);
  if (Found == Services.end() || Load.Slots == 0)
    return ComeBackSoon;
  const ServiceState &State = Found->second;
  double Waves =
      State.Queue.requestsAhead(Flow, Lease.shareOf(Team)) / Load.Slots;
  return Duration(static_cast<Duration::rep>(Waves * State.MeanRunMicros));
}

void EntryCore::enqueue(LocalRequestId Id) {
  Item &Entry = Items.at(Id);
  ServiceState &State = service(Entry.Service);
  Duration Wait = expectedWait(Entry.Service, Entry.Flow, Entry.Team);
  if (State.Queue.size() >= Options.MaxQueued)
    return refuse(Id, Refusal::QueueFull, std::max(Wait, ComeBackSoon));
  Duration Left = Entry.Deadline - Timers.now();
  if (Wait > Left && !Entry.Urgent)
    return refuse(Id, Refusal::DeadlineUnreachable,
                  std::max<Duration>(Wait - Left, ShortestRetry));
  Entry.Queued = true;
  QueuedRequest Waiting{Id, Entry.Flow, Lease.shareOf(Entry.Team), Entry.Urgent,
                        1.0};
  State.Queue.push(Waiting);
  pump(Entry.Service);
}

void EntryCore::pump(const std::string &Name) {
  auto Found = Services.find(Name);
  if (Found == Services.end())
    return;
  while (dispatchNext(Name, Found->second)) {
  }
}

void EntryCore::pumpAll() {
  std::vector<std::string> Names;
  for (const auto &[Name, State] : Services)
    if (!State.Queue.empty())
      Names.push_back(Name);
  for (const std::string &Name : Names)
    pump(Name);
}

bool EntryCore::dispatchNext(const std::string &Name, ServiceState &State) {
  if (State.Queue.empty())
    return false;
  const std::set<std::string> &Draining = Lease.configuration().DrainingVms;
  if (!Sessions.chooseBackend(Name, Draining, {}))
    return false;
  auto May = [&](const std::string &Flow) {
    return Flow.starts_with(OpenFlowPrefix) || Ledger.mayStart(Flow);
  };
  uint32_t Slots = Sessions.load(Name, Draining).Slots;
  bool UrgentFirst = State.UrgentRunning * 100 < Slots * Options.UrgentPercent;
  std::optional<QueuedRequest> Next = State.Queue.pop(May, UrgentFirst);
  if (!Next)
    return false;
  Item &Entry = Items.at(Next->Id);
  Entry.Queued = false;
  // The key may have been withdrawn while the request waited.
  std::string Team;
  bool Open = Entry.Team.empty();
  if (auto Why = Lease.authorise(Entry.Request, Open, Team)) {
    bool Passing = *Why == Refusal::LeaseLapsed;
    refuse(Next->Id, *Why,
           Passing ? std::optional<Duration>(ComeBackSoon) : std::nullopt);
    return true;
  }
  auto Choice = Sessions.chooseBackend(Name, Draining, Entry.Avoid);
  if (!Choice)
    Choice = Sessions.chooseBackend(Name, Draining, {});
  dispatch(Next->Id, *Choice);
  return true;
}

void EntryCore::dispatch(LocalRequestId Id, const BackendChoice &Choice) {
  Item &Entry = Items.at(Id);
  AttemptId Attempt = Self.Vm + "." + std::to_string(Incarnation) + "." +
                      std::to_string(++Attempts);
  Sessions.startAttempt(Choice.Backend, Attempt, Id, Entry.Team);
  if (!Entry.Team.empty())
    Ledger.startRequest(Entry.Team);
  if (Entry.Urgent)
    ++service(Entry.Service).UrgentRunning;
  Entry.Running = Attempt;
  Entry.StartedAt = Timers.now();
  ++Entry.Tries;
  Port.dispatchAttempt({Id, Attempt, Choice.Backend, Choice.Address,
                        Choice.Epoch, Entry.Deadline - Timers.now()});
}

void EntryCore::stopRunning(Item &Entry) {
  if (Entry.Urgent && !Entry.Running.empty())
    --service(Entry.Service).UrgentRunning;
  Entry.Running.clear();
}

bool EntryCore::maySendAttempt(LocalRequestId Id) const {
  auto Found = Items.find(Id);
  if (Found == Items.end())
    return false;
  std::string Team;
  const Item &Entry = Found->second;
  return Timers.now() < Entry.Deadline &&
         !Lease.authorise(Entry.Request, Entry.Team.empty(), Team);
}

void EntryCore::charge(const EndedAttempt &Done) {
  if (!Done.Team.empty())
    Ledger.endRequest(Done.Team);
}

void EntryCore::onAttemptDone(const AttemptId &Attempt,
                              const AttemptResult &Result) {
  std::string Backend = Sessions.backendOf(Attempt);
  if (Backend.empty())
    return; // Given up before; its answer came too late.
  bool Lost = std::holds_alternative<AttemptLost>(Result);
  std::optional<LocalRequestId> Id;
  if (Lost) {
    Id = Sessions.markLost(Attempt);
  } else if (auto Done = Sessions.endAttempt(Attempt)) {
    charge(*Done);
    if (Done->WasInFlight)
      Id = Done->Id;
  }
  if (!Id || !Items.contains(*Id))
    return pumpAll();
  Item &Entry = Items.at(*Id);
  std::string Service = Entry.Service;
  ServiceState &State = service(Service);
  stopRunning(Entry);
  if (const auto *Whole = std::get_if<Answered>(&Result)) {
    double Micros =
        static_cast<double>((Timers.now() - Entry.StartedAt).count());
    State.MeanRunMicros += RunTimeSmoothing * (Micros - State.MeanRunMicros);
    if (Whole->Response.Status >= ServerErrors)
      Sessions.recordFailure(Backend);
    else
      Sessions.recordSuccess(Backend);
    finish(*Id, *Whole);
  } else if (std::holds_alternative<AttemptStopped>(Result)) {
    finish(*Id, RanAndFailed{"stopped at its run timeout"});
  } else {
    Sessions.recordFailure(Backend);
    attemptFailed(*Id, Backend, Lost, AnswerLost);
  }
  pump(Service);
}

void EntryCore::attemptFailed(LocalRequestId Id, const std::string &At,
                              bool MayHaveRun, const char *Detail) {
  Item &Entry = Items.at(Id);
  Entry.Avoid.insert(At);
  Entry.MayHaveRun = Entry.MayHaveRun || MayHaveRun;
  Outcome Otherwise = NotRun{Refusal::NoBackendServer, ComeBackSoon, false};
  if (MayHaveRun)
    Otherwise = OutcomeUnknown{Detail};
  // Once a byte may have left, only an idempotent request is sent again.
  if (MayHaveRun && !Entry.Request.Idempotent)
    return finish(Id, Otherwise);
  retryOr(Id, Otherwise, MayHaveRun);
}

void EntryCore::retryOr(LocalRequestId Id, const Outcome &Otherwise,
                        bool MayHaveRun) {
  Item &Entry = Items.at(Id);
  bool InTime = Timers.now() < Entry.Deadline;
  ServiceState &State = service(Entry.Service);
  RetryBudget &Budget = MayHaveRun ? State.Retries : State.Reroutes;
  if (!InTime || Entry.Tries >= Options.MaxTries || !Budget.spend())
    return finish(Id, Otherwise);
  ++Statistics.Retries;
  route(Id);
}

void EntryCore::onForwardDone(LocalRequestId Id, const ForwardResult &Result) {
  auto Found = Items.find(Id);
  if (Found == Items.end())
    return;
  Item &Entry = Found->second;
  std::string Vm = std::exchange(Entry.ForwardedTo, {});
  bool ToHome = Entry.Request.needsRecord() && !Entry.RecordChecked;
  if (!ToHome)
    Peers.ended(Vm);
  if (const auto *Final = std::get_if<Outcome>(&Result)) {
    const auto *Refused = std::get_if<NotRun>(Final);
    bool Elsewhere = Refused != nullptr && !ToHome &&
                     Refused->Reason == Refusal::NoBackendServer;
    if (Elsewhere) {
      Entry.Avoid.insert(Vm);
      return retryOr(Id, *Final, /*MayHaveRun=*/false);
    }
    bool HomeMoves = Refused != nullptr && ToHome &&
                     Refused->Reason == Refusal::KeeperUnreachable;
    if (HomeMoves) {
      // The home took nothing; only what may be taken counts as a try.
      --Entry.Tries;
      return waitForHome(Id);
    }
    // The home has checked the record, so its word on the id stands.
    if (ToHome)
      return finishOne(Id, *Final);
    return finish(Id, *Final);
  }
  bool Lost = std::holds_alternative<ForwardLost>(Result);
  if (ToHome)
    return homeFailed(Id, Lost);
  attemptFailed(Id, Vm, Lost, "the answer was lost between entry VMs");
}

void EntryCore::homeFailed(LocalRequestId Id, bool Lost) {
  Item &Entry = Items.at(Id);
  // The home runs an id at most once, so it may be asked again.
  Entry.Request.FirstSend = Entry.Request.FirstSend && !Lost;
  if (Timers.now() < Entry.Deadline && Entry.Tries < Options.MaxTries &&
      service(Entry.Service).Retries.spend()) {
    ++Statistics.Retries;
    return seekHome(Id);
  }
  if (Lost)
    return finish(Id, OutcomeUnknown{"the home of the request id is silent"});
  refuse(Id, Refusal::KeeperUnreachable, ComeBackSoon);
}

void EntryCore::deadlinePassed(LocalRequestId Id) {
  auto Found = Items.find(Id);
  if (Found == Items.end())
    return;
  Item &Entry = Found->second;
  if (Entry.Queued) {
    service(Entry.Service).Queue.remove(Id);
    Entry.Queued = false;
    return refuse(Id, Refusal::DeadlinePassed,
                  std::max(expectedWait(Entry.Service, Entry.Flow, Entry.Team),
                           ComeBackSoon));
  }
  if (Entry.HomeTimer != 0)
    return refuse(Id, Refusal::DeadlinePassed, ComeBackSoon);
  Entry.MayHaveRun = true;
  Outcome Late = OutcomeUnknown{"no answer before the deadline"};
  if (Entry.Recorded)
    return finish(Id, Late);
  Keeping.records().detach(Entry.Request.RequestId, Id);
  finishOne(Id, Late);
}

void EntryCore::onCallerDisconnected(LocalRequestId Id) {
  auto Found = Items.find(Id);
  if (Found == Items.end() || !Found->second.Queued)
    return;
  service(Found->second.Service).Queue.remove(Id);
  Found->second.Queued = false;
  refuse(Id, Refusal::Cancelled, std::nullopt);
}

void EntryCore::refuse(LocalRequestId Id, Refusal Why,
                       std::optional<Duration> RetryAfter) {
  const Item &Entry = Items.at(Id);
  bool EarlierMayHaveRun = Entry.Request.needsRecord() &&
                           !Entry.RecordChecked && !Entry.Request.FirstSend;
  finish(Id, NotRun{Why, RetryAfter, EarlierMayHaveRun});
}

void EntryCore::finish(LocalRequestId Id, Outcome Result) {
  const Item &Entry = Items.at(Id);
  // Whatever ends the request now, an earlier attempt may have run.
  if (Entry.MayHaveRun && std::holds_alternative<NotRun>(Result))
    Result = OutcomeUnknown{"an earlier attempt's answer was lost"};
  if (!Entry.Recorded)
    return finishOne(Id, Result);
  std::string RequestId = Entry.Request.RequestId;
  std::vector<LocalRequestId> Waiting =
      Keeping.records().endRequest(RequestId, Result);
  Keeping.queueForKeeper(RequestId);
  for (LocalRequestId Other : Waiting)
    finishOne(Other, Result);
  if (Items.contains(Id))
    finishOne(Id, Result);
}

void EntryCore::finishOne(LocalRequestId Id, const Outcome &Result) {
  auto Found = Items.find(Id);
  if (Found == Items.end())
    return;
  stopRunning(Found->second);
  cancelTimers(Found->second);
  Items.erase(Found);
  Statistics.countOutcome(Result);
  Port.finishRequest(Id, Result);
}

bool EntryCore::receiveRecords(const RecordPage &Page) {
  auto Released = Keeping.receivePage(Page);
  if (!Released)
    return false;
  for (const RecordKeeper::Release &Item : *Released)
    for (LocalRequestId Id : Item.Waiting)
      finishOne(Id, Item.Result);
  return true;
}

std::optional<AnnouncementReply>
EntryCore::handleAnnouncement(const BackendAnnouncement &New) {
  if (LettingGo) {
    Sessions.stopAssigning(New.Name);
    return std::nullopt;
  }
  std::vector<EndedAttempt> Ended;
  AnnouncementReply Reply = Sessions.handleAnnouncement(New, Ended);
  Reply.Owner = Self.PeerAddress;
  ended(Ended);
  pump(New.Service);
  return Reply;
}

void EntryCore::rerouteStranded() {
  std::vector<LocalRequestId> Stranded;
  for (auto &[Name, State] : Services) {
    if (State.Queue.empty() ||
        Sessions.load(Name, Lease.configuration().DrainingVms).Slots > 0)
      continue;
    for (const auto &[Id, Entry] : Items)
      if (Entry.Queued && Entry.Service == Name)
        Stranded.push_back(Id);
  }
  for (LocalRequestId Id : Stranded) {
    auto Found = Items.find(Id);
    if (Found == Items.end())
      continue;
    service(Found->second.Service).Queue.remove(Id);
    Found->second.Queued = false;
    route(Id);
  }
}

void EntryCore::ended(const std::vector<EndedAttempt> &List) {
  for (const EndedAttempt &Done : List) {
    charge(Done);
    auto Found = Items.find(Done.Id);
    if (!Done.WasInFlight || Found == Items.end())
      continue;
    stopRunning(Found->second);
    attemptFailed(Done.Id, Sessions.backendOf(Done.Attempt),
                  /*MayHaveRun=*/true, AnswerLost);
  }
}

bool EntryCore::shedHopeless(const std::string &Name, ServiceState &State) {
  bool Any = false;
  for (const QueuedRequest &Last : State.Queue.lastOfEachFlow()) {
    Item &Entry = Items.at(Last.Id);
    Duration Wait = expectedWait(Name, Entry.Flow, Entry.Team);
    Duration Left = Entry.Deadline - Timers.now();
    if (Wait <= Left)
      continue;
    State.Queue.remove(Last.Id);
    Entry.Queued = false;
    refuse(Last.Id, Refusal::DeadlineUnreachable,
           std::max<Duration>(Wait - Left, ShortestRetry));
    Any = true;
  }
  return Any;
}

void EntryCore::onTick() {
  ended(Sessions.expireAttemptsAndSessions());
  Keeping.sendPendingPages();
  if (!Items.empty() || !Keeping.hasNothingToTransfer())
    QuietSince.reset();
  else if (!QuietSince)
    QuietSince = Timers.now();
  rerouteStranded();
  for (auto &[Name, State] : Services)
    while (shedHopeless(Name, State)) {
    }
  pumpAll();
}

bool EntryCore::mayStop() const {
  return Items.empty() && Keeping.hasNothingToTransfer() && QuietSince &&
         Timers.now() - *QuietSince >= Options.StopLinger;
}

EntryReport EntryCore::makeReport() const {
  EntryReport Report;
  Report.Run = run();
  Report.DataCentre = Self.DataCentre;
  Report.PeerAddress = Self.PeerAddress;
  Report.ActiveRevision = Lease.activeRevision();
  Report.SettledEpoch = Keeping.settledEpoch();
  Report.Stopping = Stopping;
  std::map<std::string, uint32_t> Waiting;
  std::set<std::string> Names;
  for (const auto &[Name, State] : Services) {
    for (const auto &[Flow, Count] : State.Queue.waitingByFlow())
      if (!Flow.starts_with(OpenFlowPrefix))
        Waiting[Flow] += Count;
    if (!State.Queue.empty())
      Names.insert(Name);
  }
  Report.Teams = Ledger.usage(Waiting);
  Report.Backends = Sessions.backendReports();
  for (const std::string &Name : Sessions.services())
    Names.insert(Name);
  for (const std::string &Name : Names) {
    ServiceLoad Load = Sessions.load(Name, Lease.configuration().DrainingVms);
    auto Found = Services.find(Name);
    if (Found != Services.end())
      Load.Waiting = static_cast<uint32_t>(Found->second.Queue.size());
    // While stopping, others must not send work here.
    if (Stopping)
      Load.Slots = 0;
    Report.Services.push_back(Load);
  }
  return Report;
}

void EntryCore::handleSyncReply(Instant SentAt, const EntryReply &Reply) {
  if (Reply.Status == SyncStatus::RunExpired) {
    Incarnation += IncarnationStep;
    Keeping.restartAs(Incarnation);
    Ledger.reset();
    return;
  }
  if (Reply.Status != SyncStatus::Ok)
    return;
  Lease.renew(SentAt, milliseconds(Reply.LeaseMillis), Reply.Configuration);
  Keeping.updateKeepers(Lease.configuration().Keepers);
  Ledger.update(Reply.Slices);
  Peers.update(Reply.Peers);
  pumpAll();
}

size_t EntryCore::queuedRequests() const {
  size_t Sum = 0;
  for (const auto &[Name, State] : Services)
    Sum += State.Queue.size();
  return Sum;
}

} // namespace mimosashunt
