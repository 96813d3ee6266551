#include "Core/EntryCore.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

// RetryAfter of refusals whose cause is expected to pass.
constexpr Duration DefaultRetryAfter = seconds(1);
// Smallest RetryAfter of a request whose deadline could not be met.
constexpr Duration MinRetryAfter = milliseconds(100);
// Weight of the newest run in ServiceState::MeanRunMicros.
constexpr double RunTimeSmoothing = 0.1;
// Added to the incarnation when the entry VM must register as a new run.
constexpr uint64_t IncarnationStep = 1000;
constexpr int FirstServerErrorStatus = 500;

std::map<std::string, std::string>
addressesByVm(const std::vector<EntryVm> &All) {
  std::map<std::string, std::string> Result;
  for (const EntryVm &Entry : All)
    Result[Entry.Vm] = Entry.PeerAddress;
  return Result;
}

const char *const AnswerLost = "the answer was lost";
// Marks the flows of requests without a key, which have no team.
const char *const OpenFlowPrefix = "open:";

} // namespace

EntryCore::EntryCore(EntryVm Self, const std::vector<EntryVm> &All,
                     uint64_t Incarnation, EntryOptions Options,
                     TimerService &Timers, EntryPort &Port)
    : Self(std::move(Self)), Addresses(addressesByVm(All)),
      Incarnation(Incarnation), Options(Options), Timers(Timers), Port(Port),
      Lease(Timers), Sessions(Timers, Options.Sessions),
      Keeper({this->Self.Vm, Incarnation}, Addresses, Timers, Options.Records,
             Port),
      Peers(this->Self.DataCentre, Timers, Options.MaxPeerLoadAge) {
  TickTimer = Timers.scheduleEvery(Options.TickInterval, [this] { onTick(); });
}

EntryCore::~EntryCore() {
  Timers.cancel(TickTimer);
  for (auto &[Id, Pending] : Requests)
    cancelTimers(Pending);
}

void EntryCore::cancelTimers(const PendingRequest &Pending) {
  Timers.cancel(Pending.DeadlineTimer);
  Timers.cancel(Pending.KeeperRetryTimer);
}

EntryCore::ServiceState &EntryCore::serviceState(const std::string &Name) {
  return Services.try_emplace(Name, Options).first->second;
}

void EntryCore::submitRequest(LocalRequestId Id, const EntryRequest &Request) {
  PendingRequest &New = Requests[Id];
  New.Request = Request;
  auto Match = Lease.findQueue(Request.Queue);
  if (!Match) {
    bool Unconfigured = Lease.activeRevision() == 0;
    if (Unconfigured)
      return refuseRequest(Id, Refusal::LeaseExpired, DefaultRetryAfter);
    return refuseRequest(Id, Refusal::UnknownQueue, std::nullopt);
  }
  if (auto Reason = Lease.authorise(Request, Match->Spec.IsOpen, New.Team)) {
    bool IsTemporary = *Reason == Refusal::LeaseExpired;
    return refuseRequest(Id, *Reason,
                         IsTemporary
                             ? std::optional<Duration>(DefaultRetryAfter)
                             : std::nullopt);
  }
  New.Service = Match->Service;
  New.Urgent = Match->Spec.IsUrgent;
  New.Flow = New.Team.empty() ? OpenFlowPrefix + Request.Queue : New.Team;
  Duration MaxTimeout = std::min<Duration>(
      milliseconds(Match->Spec.DeadlineMillis), Options.Sessions.MaxRunTime);
  bool IsShorter =
      Request.Timeout > Duration::zero() && Request.Timeout < MaxTimeout;
  New.Deadline = Timers.now() + (IsShorter ? Request.Timeout : MaxTimeout);
  New.DeadlineTimer =
      Timers.scheduleAt(New.Deadline, [this, Id] { onDeadline(Id); });
  serviceState(New.Service).Retries.addRequest();
  serviceState(New.Service).Reroutes.addRequest();
  if (!Request.needsRecord())
    return routeRequest(Id);
  locateKeeper(Id);
}

void EntryCore::locateKeeper(LocalRequestId Id) {
  PendingRequest &Pending = Requests.at(Id);
  Pending.KeeperRetryTimer = 0;
  std::string KeeperVm = Keeper.keeperOf(Pending.Request.RequestId);
  if (!KeeperVm.empty() && KeeperVm != Self.Vm &&
      Pending.Request.Via != Hop::Keeper)
    return forwardTo(Id, KeeperVm, Hop::Keeper);
  // Without a valid lease another entry VM may keep the id by now.
  if (!Lease.isValid())
    return refuseRequest(Id, Refusal::LeaseExpired, DefaultRetryAfter);
  RecordCoverage Coverage = recordCoverage(Pending.Request.RequestId);
  if (Coverage != RecordCoverage::None)
    return recordRequest(Id, Coverage);
  // The sending entry VM retries. It may know of a change of the keepers
  // before this VM does.
  if (Pending.Request.Via == Hop::Keeper)
    return refuseRequest(Id, Refusal::KeeperUnreachable, DefaultRetryAfter);
  retryKeeperLater(Id);
}

void EntryCore::retryKeeperLater(LocalRequestId Id) {
  PendingRequest &Pending = Requests.at(Id);
  Instant Now = Timers.now();
  Instant Since = Pending.KeeperRetrySince.value_or(Now);
  Pending.KeeperRetrySince = Since;
  if (Now - Since >= Options.KeeperRetryTimeout)
    return refuseRequest(Id, Refusal::KeeperUnreachable, DefaultRetryAfter);
  Pending.KeeperRetryTimer = Timers.scheduleAt(
      Now + Options.KeeperRetryInterval, [this, Id] { locateKeeper(Id); });
}

void EntryCore::recordRequest(LocalRequestId Id, RecordCoverage Coverage) {
  PendingRequest &Pending = Requests.at(Id);
  RequestRecords &Records = Keeper.records();
  const EntryRequest &Request = Pending.Request;
  if (Records.isFull())
    return refuseRequest(Id, Refusal::QueueFull, DefaultRetryAfter);
  std::string Scope = Request.Queue + " " + Request.Digest;
  RecordLookup Lookup = Records.beginRequest(Request.RequestId, Scope, Id);
  if (std::holds_alternative<RecordAttached>(Lookup))
    return;
  if (const auto *Ended = std::get_if<RecordEnded>(&Lookup))
    return finishSending(Id, Ended->Result);
  if (std::holds_alternative<RecordConflict>(Lookup)) {
    // The record belongs to another caller, so none of it is disclosed.
    return finishSending(Id,
                         NotRun{Refusal::TeamMismatch, std::nullopt, false});
  }
  Pending.OwnsRecord = true;
  if (Coverage == RecordCoverage::Incomplete && !Request.FirstSend) {
    // The record of an earlier sending may have been lost with its keeper, so
    // this sending must not run.
    return finishRequest(Id,
                         OutcomeUnknown{"an earlier sending may have run; this "
                                        "one did not"});
  }
  Pending.RecordChecked = true;
  routeRequest(Id);
}

void EntryCore::forwardTo(LocalRequestId Id, const std::string &Vm, Hop Via) {
  PendingRequest &Pending = Requests.at(Id);
  auto Address = Addresses.find(Vm);
  if (Address == Addresses.end())
    return refuseRequest(Id, Refusal::KeeperUnreachable, DefaultRetryAfter);
  ++Pending.Tries;
  Pending.ForwardedTo = Vm;
  if (Via == Hop::Owner)
    Peers.onForwardSent(Vm);
  ++Statistics.Forwards;
  Port.forwardRequest(
      {Id, Vm, Address->second, Via, Pending.Deadline - Timers.now()});
}

void EntryCore::routeRequest(LocalRequestId Id) {
  PendingRequest &Pending = Requests.at(Id);
  const std::set<std::string> &Draining = Lease.configuration().DrainingVms;
  ServiceLoad Local = Sessions.load(Pending.Service, Draining);
  FairQueue &Queue = serviceState(Pending.Service).Queue;
  bool LocalOnly = Pending.Request.Via == Hop::Owner;
  bool HasFreeLocalSlot = Local.Running + Queue.size() < Local.Slots;
  if (!LocalOnly && !HasFreeLocalSlot && Pending.Tries < Options.MaxTries) {
    PeerTable::PeerQuery Query{Pending.Service, Pending.Avoid,
                               /*RequireFreeSlot=*/true,
                               /*AllowStale=*/!Lease.isValid()};
    std::optional<std::string> Peer = Peers.leastLoaded(Query);
    Query.RequireFreeSlot = false;
    if (!Peer && Local.Slots == 0)
      Peer = Peers.leastLoaded(Query);
    if (Peer)
      return forwardTo(Id, *Peer, Hop::Owner);
  }
  if (Local.Slots == 0)
    return refuseRequest(Id, Refusal::NoBackendServer, DefaultRetryAfter);
  enqueueRequest(Id);
}

Duration EntryCore::expectedWait(const std::string &Name,
                                 const std::string &Flow,
                                 const std::string &Team) const {
  auto Found = Services.find(Name);
  ServiceLoad Load = Sessions.load(Name, Lease.configuration().DrainingVms);
  if (Found == Services.end() || Load.Slots == 0)
    return DefaultRetryAfter;
  const ServiceState &State = Found->second;
  // Number of times that all slots are used before the flow's next turn.
  double Rounds =
      State.Queue.requestsAhead(Flow, Lease.shareOf(Team)) / Load.Slots;
  return Duration(static_cast<Duration::rep>(Rounds * State.MeanRunMicros));
}

void EntryCore::enqueueRequest(LocalRequestId Id) {
  PendingRequest &Pending = Requests.at(Id);
  ServiceState &State = serviceState(Pending.Service);
  Duration Wait = expectedWait(Pending.Service, Pending.Flow, Pending.Team);
  if (State.Queue.size() >= Options.MaxQueued)
    return refuseRequest(Id, Refusal::QueueFull,
                         std::max(Wait, DefaultRetryAfter));
  Duration Remaining = Pending.Deadline - Timers.now();
  if (Wait > Remaining && !Pending.Urgent)
    return refuseRequest(Id, Refusal::DeadlineUnreachable,
                         std::max<Duration>(Wait - Remaining, MinRetryAfter));
  Pending.Queued = true;
  QueuedRequest Queued{Id, Pending.Flow, Lease.shareOf(Pending.Team),
                       Pending.Urgent, 1.0};
  State.Queue.push(Queued);
  dispatchQueued(Pending.Service);
}

void EntryCore::dispatchQueued(const std::string &Name) {
  auto Found = Services.find(Name);
  if (Found == Services.end())
    return;
  while (dispatchNext(Name, Found->second)) {
  }
}

void EntryCore::dispatchAllQueued() {
  std::vector<std::string> Names;
  for (const auto &[Name, State] : Services)
    if (!State.Queue.empty())
      Names.push_back(Name);
  for (const std::string &Name : Names)
    dispatchQueued(Name);
}

bool EntryCore::dispatchNext(const std::string &Name, ServiceState &State) {
  if (State.Queue.empty())
    return false;
  const std::set<std::string> &Draining = Lease.configuration().DrainingVms;
  if (!Sessions.chooseBackend(Name, Draining, {}))
    return false;
  auto MayStart = [&](const std::string &Flow) {
    return Flow.starts_with(OpenFlowPrefix) || Ledger.mayStart(Flow);
  };
  uint32_t Slots = Sessions.load(Name, Draining).Slots;
  bool UrgentFirst = State.UrgentRunning * 100 < Slots * Options.UrgentPercent;
  std::optional<QueuedRequest> Next = State.Queue.pop(MayStart, UrgentFirst);
  if (!Next)
    return false;
  PendingRequest &Pending = Requests.at(Next->Id);
  Pending.Queued = false;
  // The key may have been withdrawn while the request waited.
  std::string Team;
  bool Open = Pending.Team.empty();
  if (auto Reason = Lease.authorise(Pending.Request, Open, Team)) {
    bool IsTemporary = *Reason == Refusal::LeaseExpired;
    refuseRequest(Next->Id, *Reason,
                  IsTemporary ? std::optional<Duration>(DefaultRetryAfter)
                              : std::nullopt);
    return true;
  }
  auto Choice = Sessions.chooseBackend(Name, Draining, Pending.Avoid);
  if (!Choice)
    Choice = Sessions.chooseBackend(Name, Draining, {});
  dispatchAttempt(Next->Id, *Choice);
  return true;
}

void EntryCore::dispatchAttempt(LocalRequestId Id,
                                const BackendChoice &Choice) {
  PendingRequest &Pending = Requests.at(Id);
  AttemptId Attempt = Self.Vm + "." + std::to_string(Incarnation) + "." +
                      std::to_string(++AttemptCount);
  Sessions.startAttempt(Choice.Backend, Attempt, Id, Pending.Team);
  if (!Pending.Team.empty())
    Ledger.startRequest(Pending.Team);
  if (Pending.Urgent)
    ++serviceState(Pending.Service).UrgentRunning;
  Pending.RunningAttempt = Attempt;
  Pending.StartedAt = Timers.now();
  ++Pending.Tries;
  Port.dispatchAttempt({Id, Attempt, Choice.Backend, Choice.Address,
                        Choice.Epoch, Pending.Deadline - Timers.now()});
}

void EntryCore::clearRunningAttempt(PendingRequest &Pending) {
  if (Pending.Urgent && !Pending.RunningAttempt.empty())
    --serviceState(Pending.Service).UrgentRunning;
  Pending.RunningAttempt.clear();
}

bool EntryCore::maySendAttempt(LocalRequestId Id) const {
  auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return false;
  std::string Team;
  const PendingRequest &Pending = Found->second;
  return Timers.now() < Pending.Deadline &&
         !Lease.authorise(Pending.Request, Pending.Team.empty(), Team);
}

void EntryCore::releaseTeamSlot(const EndedAttempt &Ended) {
  if (!Ended.Team.empty())
    Ledger.endRequest(Ended.Team);
}

void EntryCore::onAttemptDone(const AttemptId &Attempt,
                              const AttemptResult &Result) {
  std::string Backend = Sessions.backendOf(Attempt);
  if (Backend.empty())
    return; // The attempt has been given up; its result came too late.
  bool Lost = std::holds_alternative<AttemptLost>(Result);
  std::optional<LocalRequestId> Id;
  if (Lost) {
    Id = Sessions.markLost(Attempt);
  } else if (auto Ended = Sessions.endAttempt(Attempt)) {
    releaseTeamSlot(*Ended);
    if (Ended->WasInFlight)
      Id = Ended->Id;
  }
  if (!Id || !Requests.contains(*Id))
    return dispatchAllQueued();
  PendingRequest &Pending = Requests.at(*Id);
  std::string Service = Pending.Service;
  ServiceState &State = serviceState(Service);
  clearRunningAttempt(Pending);
  if (const auto *Complete = std::get_if<Answered>(&Result)) {
    double Micros =
        static_cast<double>((Timers.now() - Pending.StartedAt).count());
    State.MeanRunMicros += RunTimeSmoothing * (Micros - State.MeanRunMicros);
    if (Complete->Response.Status >= FirstServerErrorStatus)
      Sessions.recordFailure(Backend);
    else
      Sessions.recordSuccess(Backend);
    finishRequest(*Id, *Complete);
  } else if (std::holds_alternative<AttemptStopped>(Result)) {
    finishRequest(*Id, RanAndFailed{"stopped at its run timeout"});
  } else {
    Sessions.recordFailure(Backend);
    handleFailedAttempt(*Id, Backend, Lost, AnswerLost);
  }
  dispatchQueued(Service);
}

void EntryCore::handleFailedAttempt(LocalRequestId Id,
                                    const std::string &Target, bool MayHaveRun,
                                    const char *Detail) {
  PendingRequest &Pending = Requests.at(Id);
  Pending.Avoid.insert(Target);
  Pending.MayHaveRun = Pending.MayHaveRun || MayHaveRun;
  Outcome Fallback = NotRun{Refusal::NoBackendServer, DefaultRetryAfter, false};
  if (MayHaveRun)
    Fallback = OutcomeUnknown{Detail};
  // Once a byte may have been sent, only an idempotent request is sent again.
  if (MayHaveRun && !Pending.Request.Idempotent)
    return finishRequest(Id, Fallback);
  retryOrFinish(Id, Fallback, MayHaveRun);
}

void EntryCore::retryOrFinish(LocalRequestId Id, const Outcome &Fallback,
                              bool MayHaveRun) {
  PendingRequest &Pending = Requests.at(Id);
  bool InTime = Timers.now() < Pending.Deadline;
  ServiceState &State = serviceState(Pending.Service);
  RetryBudget &Budget = MayHaveRun ? State.Retries : State.Reroutes;
  if (!InTime || Pending.Tries >= Options.MaxTries || !Budget.tryTakeRetry())
    return finishRequest(Id, Fallback);
  ++Statistics.Retries;
  routeRequest(Id);
}

void EntryCore::onForwardDone(LocalRequestId Id, const ForwardResult &Result) {
  auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  PendingRequest &Pending = Found->second;
  std::string Vm = std::exchange(Pending.ForwardedTo, {});
  bool WentToKeeper = Pending.Request.needsRecord() && !Pending.RecordChecked;
  if (!WentToKeeper)
    Peers.onForwardDone(Vm);
  if (const auto *Final = std::get_if<Outcome>(&Result)) {
    const auto *Refused = std::get_if<NotRun>(Final);
    bool TryElsewhere = Refused != nullptr && !WentToKeeper &&
                        Refused->Reason == Refusal::NoBackendServer;
    if (TryElsewhere) {
      Pending.Avoid.insert(Vm);
      return retryOrFinish(Id, *Final, /*MayHaveRun=*/false);
    }
    bool KeeperChanges = Refused != nullptr && WentToKeeper &&
                         Refused->Reason == Refusal::KeeperUnreachable;
    if (KeeperChanges) {
      // The keeper did not accept the request, so this does not count as a
      // try.
      --Pending.Tries;
      return retryKeeperLater(Id);
    }
    // The keeper has checked the record, so its outcome for the id is final.
    if (WentToKeeper)
      return finishSending(Id, *Final);
    return finishRequest(Id, *Final);
  }
  bool Lost = std::holds_alternative<ForwardLost>(Result);
  if (WentToKeeper)
    return handleFailedKeeperForward(Id, Lost);
  handleFailedAttempt(Id, Vm, Lost, "the answer was lost between entry VMs");
}

void EntryCore::handleFailedKeeperForward(LocalRequestId Id, bool Lost) {
  PendingRequest &Pending = Requests.at(Id);
  // The keeper runs an id at most once, so the request may be sent to it again.
  Pending.Request.FirstSend = Pending.Request.FirstSend && !Lost;
  if (Timers.now() < Pending.Deadline && Pending.Tries < Options.MaxTries &&
      serviceState(Pending.Service).Retries.tryTakeRetry()) {
    ++Statistics.Retries;
    return locateKeeper(Id);
  }
  if (Lost)
    return finishRequest(
        Id, OutcomeUnknown{"the home of the request id is silent"});
  refuseRequest(Id, Refusal::KeeperUnreachable, DefaultRetryAfter);
}

void EntryCore::onDeadline(LocalRequestId Id) {
  auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  PendingRequest &Pending = Found->second;
  if (Pending.Queued) {
    serviceState(Pending.Service).Queue.remove(Id);
    Pending.Queued = false;
    return refuseRequest(
        Id, Refusal::DeadlinePassed,
        std::max(expectedWait(Pending.Service, Pending.Flow, Pending.Team),
                 DefaultRetryAfter));
  }
  if (Pending.KeeperRetryTimer != 0)
    return refuseRequest(Id, Refusal::DeadlinePassed, DefaultRetryAfter);
  Pending.MayHaveRun = true;
  Outcome Late = OutcomeUnknown{"no answer before the deadline"};
  if (Pending.OwnsRecord)
    return finishRequest(Id, Late);
  Keeper.records().detachSending(Pending.Request.RequestId, Id);
  finishSending(Id, Late);
}

void EntryCore::onCallerDisconnected(LocalRequestId Id) {
  auto Found = Requests.find(Id);
  if (Found == Requests.end() || !Found->second.Queued)
    return;
  serviceState(Found->second.Service).Queue.remove(Id);
  Found->second.Queued = false;
  refuseRequest(Id, Refusal::Cancelled, std::nullopt);
}

void EntryCore::refuseRequest(LocalRequestId Id, Refusal Reason,
                              std::optional<Duration> RetryAfter) {
  const PendingRequest &Pending = Requests.at(Id);
  bool EarlierMayHaveRun = Pending.Request.needsRecord() &&
                           !Pending.RecordChecked && !Pending.Request.FirstSend;
  finishRequest(Id, NotRun{Reason, RetryAfter, EarlierMayHaveRun});
}

void EntryCore::finishRequest(LocalRequestId Id, Outcome Result) {
  const PendingRequest &Pending = Requests.at(Id);
  // Whatever ends the request now, an earlier attempt may have run.
  if (Pending.MayHaveRun && std::holds_alternative<NotRun>(Result))
    Result = OutcomeUnknown{"an earlier attempt's answer was lost"};
  if (!Pending.OwnsRecord)
    return finishSending(Id, Result);
  std::string RequestId = Pending.Request.RequestId;
  std::vector<LocalRequestId> Waiting =
      Keeper.records().endRequest(RequestId, Result);
  Keeper.queueForKeeper(RequestId);
  for (LocalRequestId Other : Waiting)
    finishSending(Other, Result);
  if (Requests.contains(Id))
    finishSending(Id, Result);
}

void EntryCore::finishSending(LocalRequestId Id, const Outcome &Result) {
  auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  clearRunningAttempt(Found->second);
  cancelTimers(Found->second);
  Requests.erase(Found);
  Statistics.countOutcome(Result);
  Port.finishRequest(Id, Result);
}

bool EntryCore::receiveRecords(const RecordPage &Page) {
  auto Released = Keeper.receivePage(Page);
  if (!Released)
    return false;
  for (const RecordKeeper::Release &Resolved : *Released)
    for (LocalRequestId Id : Resolved.Waiting)
      finishSending(Id, Resolved.Result);
  return true;
}

std::optional<AnnouncementReply>
EntryCore::handleAnnouncement(const BackendAnnouncement &New) {
  if (ReleasingBackends) {
    Sessions.stopAssigning(New.Name);
    return std::nullopt;
  }
  std::vector<EndedAttempt> Ended;
  AnnouncementReply Reply = Sessions.handleAnnouncement(New, Ended);
  Reply.Owner = Self.PeerAddress;
  handleEndedAttempts(Ended);
  dispatchQueued(New.Service);
  return Reply;
}

void EntryCore::rerouteStranded() {
  std::vector<LocalRequestId> Stranded;
  for (auto &[Name, State] : Services) {
    if (State.Queue.empty() ||
        Sessions.load(Name, Lease.configuration().DrainingVms).Slots > 0)
      continue;
    for (const auto &[Id, Pending] : Requests)
      if (Pending.Queued && Pending.Service == Name)
        Stranded.push_back(Id);
  }
  for (LocalRequestId Id : Stranded) {
    auto Found = Requests.find(Id);
    if (Found == Requests.end())
      continue;
    serviceState(Found->second.Service).Queue.remove(Id);
    Found->second.Queued = false;
    routeRequest(Id);
  }
}

void EntryCore::handleEndedAttempts(const std::vector<EndedAttempt> &Ended) {
  for (const EndedAttempt &Attempt : Ended) {
    releaseTeamSlot(Attempt);
    auto Found = Requests.find(Attempt.Id);
    if (!Attempt.WasInFlight || Found == Requests.end())
      continue;
    clearRunningAttempt(Found->second);
    handleFailedAttempt(Attempt.Id, Sessions.backendOf(Attempt.Attempt),
                        /*MayHaveRun=*/true, AnswerLost);
  }
}

bool EntryCore::refuseUnreachable(const std::string &Name,
                                  ServiceState &State) {
  bool Any = false;
  for (const QueuedRequest &Last : State.Queue.lastOfEachFlow()) {
    PendingRequest &Pending = Requests.at(Last.Id);
    Duration Wait = expectedWait(Name, Pending.Flow, Pending.Team);
    Duration Remaining = Pending.Deadline - Timers.now();
    if (Wait <= Remaining)
      continue;
    State.Queue.remove(Last.Id);
    Pending.Queued = false;
    refuseRequest(Last.Id, Refusal::DeadlineUnreachable,
                  std::max<Duration>(Wait - Remaining, MinRetryAfter));
    Any = true;
  }
  return Any;
}

void EntryCore::onTick() {
  handleEndedAttempts(Sessions.expireAttemptsAndSessions());
  Keeper.sendPendingPages();
  if (!Requests.empty() || !Keeper.hasNothingToTransfer())
    QuietSince.reset();
  else if (!QuietSince)
    QuietSince = Timers.now();
  rerouteStranded();
  for (auto &[Name, State] : Services)
    while (refuseUnreachable(Name, State)) {
    }
  dispatchAllQueued();
}

bool EntryCore::mayStop() const {
  return Requests.empty() && Keeper.hasNothingToTransfer() && QuietSince &&
         Timers.now() - *QuietSince >= Options.StopQuietPeriod;
}

EntryReport EntryCore::makeReport() const {
  EntryReport Report;
  Report.Run = run();
  Report.DataCentre = Self.DataCentre;
  Report.PeerAddress = Self.PeerAddress;
  Report.ActiveRevision = Lease.activeRevision();
  Report.SettledEpoch = Keeper.settledEpoch();
  Report.Stopping = Stopping;
  std::map<std::string, uint32_t> WaitingByTeam;
  std::set<std::string> Names;
  for (const auto &[Name, State] : Services) {
    for (const auto &[Flow, Count] : State.Queue.waitingByFlow())
      if (!Flow.starts_with(OpenFlowPrefix))
        WaitingByTeam[Flow] += Count;
    if (!State.Queue.empty())
      Names.insert(Name);
  }
  Report.Teams = Ledger.usage(WaitingByTeam);
  Report.Backends = Sessions.backendReports();
  for (const std::string &Name : Sessions.services())
    Names.insert(Name);
  for (const std::string &Name : Names) {
    ServiceLoad Load = Sessions.load(Name, Lease.configuration().DrainingVms);
    auto Found = Services.find(Name);
    if (Found != Services.end())
      Load.Waiting = static_cast<uint32_t>(Found->second.Queue.size());
    // Without slots, the other entry VMs forward nothing to a stopping one.
    if (Stopping)
      Load.Slots = 0;
    Report.Services.push_back(Load);
  }
  return Report;
}

void EntryCore::handleSyncReply(Instant SentAt, const EntryReply &Reply) {
  if (Reply.Status == SyncStatus::RunExpired) {
    Incarnation += IncarnationStep;
    Keeper.restartAs(Incarnation);
    Ledger.resetGrants();
    return;
  }
  if (Reply.Status != SyncStatus::Ok)
    return;
  Lease.renew(SentAt, milliseconds(Reply.LeaseMillis), Reply.Configuration);
  Keeper.updateKeepers(Lease.configuration().Keepers);
  Ledger.updateGrants(Reply.Slices);
  Peers.updatePeers(Reply.Peers);
  dispatchAllQueued();
}

size_t EntryCore::queuedRequests() const {
  size_t Sum = 0;
  for (const auto &[Name, State] : Services)
    Sum += State.Queue.size();
  return Sum;
}

} // namespace mimosashunt
