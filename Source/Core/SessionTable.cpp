#include "Core/SessionTable.h"

#include <algorithm>

namespace mimosashunt {

namespace {

// An answer may still be on its way when the run is over.
constexpr Duration AnswerGrace = seconds(1);

} // namespace

bool SessionTable::live(const Session &Item) const {
  return Timers.now() - Item.HeardAt < Options.Lease;
}

bool SessionTable::takesWork(const Session &Item) const {
  if (!live(Item) || Item.Latest.Leaving)
    return false;
  if (!Item.EjectedAt)
    return true;
  // On probation one attempt at a time shows whether it has recovered.
  bool Served = Timers.now() - *Item.EjectedAt >= Options.Probation;
  return Served && Item.Attempts.empty();
}

EndedAttempt SessionTable::release(Session &Item,
                                   std::map<AttemptId, Attempt>::iterator At) {
  EndedAttempt Result{At->first, At->second.Id, At->second.Team,
                      !At->second.Lost};
  BackendByAttempt.erase(At->first);
  Item.Attempts.erase(At);
  return Result;
}

AnnouncementReply
SessionTable::handleAnnouncement(const BackendAnnouncement &New,
                                 std::vector<EndedAttempt> &Ended) {
  auto [Found, IsNew] = Sessions.try_emplace(New.Name);
  Session &Item = Found->second;
  AnnouncementReply Reply;
  Reply.HeartbeatMillis = static_cast<uint32_t>(toMillis(Options.Heartbeat));
  Reply.LeaseMillis = static_cast<uint32_t>(toMillis(Options.Lease));
  if (!IsNew && New.Epoch < Item.Latest.Epoch)
    return Reply; // A late message of an earlier session.
  if (New.Epoch > Item.Latest.Epoch)
    Item.RenewEpoch = false;
  // A leave notice holds until the next session, also against a late message
  // of the same session that was sent before it.
  Item.Confirmed = !IsNew && live(Item);
  bool StillLeaving =
      !IsNew && Item.Latest.Epoch == New.Epoch && Item.Latest.Leaving;
  Item.Latest = New;
  Item.Latest.Leaving = New.Leaving || StillLeaving;
  Item.HeardAt = Timers.now();
  reconcile(Item, Ended);
  Reply.RenewEpoch = Item.RenewEpoch;
  Reply.Released = Item.Latest.Leaving && Item.Attempts.empty();
  return Reply;
}

void SessionTable::stopAssigning(const std::string &Backend) {
  auto Found = Sessions.find(Backend);
  if (Found != Sessions.end())
    Found->second.Latest.Leaving = true;
}

void SessionTable::reconcile(Session &Item, std::vector<EndedAttempt> &Ended) {
  std::set<AttemptId> Listed(Item.Latest.Running.begin(),
                             Item.Latest.Running.end());
  Instant Now = Timers.now();
  for (auto At = Item.Attempts.begin(); At != Item.Attempts.end();) {
    auto Next = std::next(At);
    Attempt &Held = At->second;
    if (Listed.contains(At->first)) {
      Held.AbsentSince.reset();
      At = Next;
      continue;
    }
    if (Held.Epoch < Item.Latest.Epoch) {
      // The backend server refuses attempts of earlier sessions, so one that
      // it does not run now will never run.
      if (!Held.AbsentSince)
        Held.AbsentSince = Now;
      if (Held.Lost || Now - *Held.AbsentSince >= AnswerGrace)
        Ended.push_back(release(Item, At));
    } else if (Held.Lost || Now - Held.Started >= Options.SilentAfter) {
      Item.RenewEpoch = true;
    }
    At = Next;
  }
}

std::optional<BackendChoice>
SessionTable::chooseBackend(const std::string &Service,
                            const std::set<std::string> &Draining,
                            const std::set<std::string> &Avoid) const {
  const Session *Best = nullptr;
  double BestLoad = 1.0;
  for (const auto &[Name, Item] : Sessions) {
    if (Item.Latest.Service != Service || !takesWork(Item) ||
        Draining.contains(Item.Latest.Vm) || Avoid.contains(Name))
      continue;
    double Load = static_cast<double>(Item.Attempts.size()) /
                  std::max<uint32_t>(1, Item.Latest.Slots);
    if (Load < BestLoad) {
      Best = &Item;
      BestLoad = Load;
    }
  }
  if (Best == nullptr)
    return std::nullopt;
  return BackendChoice{Best->Latest.Name, Best->Latest.Address,
                       Best->Latest.Epoch};
}

void SessionTable::startAttempt(const std::string &Backend, const AttemptId &Id,
                                LocalRequestId Work, const std::string &Team) {
  Session &Item = Sessions.at(Backend);
  Attempt New;
  New.Id = Work;
  New.Team = Team;
  New.Epoch = Item.Latest.Epoch;
  New.Started = Timers.now();
  Item.Attempts.emplace(Id, New);
  BackendByAttempt.emplace(Id, Backend);
}

std::string SessionTable::backendOf(const AttemptId &Id) const {
  auto Found = BackendByAttempt.find(Id);
  return Found == BackendByAttempt.end() ? std::string() : Found->second;
}

std::optional<EndedAttempt> SessionTable::endAttempt(const AttemptId &Id) {
  auto Found = BackendByAttempt.find(Id);
  if (Found == BackendByAttempt.end())
    return std::nullopt;
  Session &Item = Sessions.at(Found->second);
  return release(Item, Item.Attempts.find(Id));
}

std::optional<LocalRequestId> SessionTable::markLost(const AttemptId &Id) {
  auto Found = BackendByAttempt.find(Id);
  if (Found == BackendByAttempt.end())
    return std::nullopt;
  Session &Item = Sessions.at(Found->second);
  Attempt &Held = Item.Attempts.at(Id);
  if (Held.Lost)
    return std::nullopt;
  Held.Lost = true;
  Item.RenewEpoch = true;
  return Held.Id;
}

void SessionTable::recordSuccess(const std::string &Backend) {
  auto Found = Sessions.find(Backend);
  if (Found == Sessions.end())
    return;
  Found->second.Failures = 0;
  Found->second.EjectedAt.reset();
}

void SessionTable::recordFailure(const std::string &Backend) {
  auto Found = Sessions.find(Backend);
  if (Found == Sessions.end())
    return;
  Session &Item = Found->second;
  ++Item.Failures;
  if (Item.EjectedAt) {
    Item.EjectedAt = Timers.now();
    return;
  }
  if (Item.Failures < Options.EjectAfter)
    return;
  size_t Peers = 0;
  size_t Ejected = 0;
  for (const auto &[Name, Other] : Sessions) {
    if (Other.Latest.Service != Item.Latest.Service || !live(Other))
      continue;
    ++Peers;
    Ejected += Other.EjectedAt ? 1 : 0;
  }
  // Where most fail, the service is at fault rather than the backend server.
  if ((Ejected + 1) * 100 <= Peers * Options.MaxEjectedPercent)
    Item.EjectedAt = Timers.now();
}

std::vector<EndedAttempt> SessionTable::expireAttemptsAndSessions() {
  std::vector<EndedAttempt> Ended;
  Duration Hold = Options.MaxRun + Options.Lease + AnswerGrace;
  for (auto At = Sessions.begin(); At != Sessions.end();) {
    Session &Item = At->second;
    for (auto Held = Item.Attempts.begin(); Held != Item.Attempts.end();) {
      auto Next = std::next(Held);
      if (Timers.now() - Held->second.Started >= Hold)
        Ended.push_back(release(Item, Held));
      Held = Next;
    }
    if (!live(Item) && Item.Attempts.empty())
      At = Sessions.erase(At);
    else
      ++At;
  }
  return Ended;
}

ServiceLoad SessionTable::load(const std::string &Service,
                               const std::set<std::string> &Draining) const {
  ServiceLoad Result;
  Result.Service = Service;
  for (const auto &[Name, Item] : Sessions) {
    if (Item.Latest.Service != Service)
      continue;
    bool Serves = live(Item) && !Item.Latest.Leaving && !Item.EjectedAt &&
                  !Draining.contains(Item.Latest.Vm);
    if (!Serves)
      continue;
    Result.Slots += Item.Latest.Slots;
    Result.Running += static_cast<uint32_t>(Item.Attempts.size());
  }
  return Result;
}

std::vector<std::string> SessionTable::services() const {
  std::set<std::string> Names;
  for (const auto &[Name, Item] : Sessions)
    if (live(Item))
      Names.insert(Item.Latest.Service);
  return {Names.begin(), Names.end()};
}

std::vector<BackendReport> SessionTable::backendReports() const {
  std::vector<BackendReport> Result;
  for (const auto &[Name, Item] : Sessions) {
    if (!live(Item) || !Item.Confirmed)
      continue;
    BackendState State = BackendState::Serving;
    if (Item.Latest.Leaving)
      State = BackendState::Leaving;
    else if (Item.EjectedAt)
      State = BackendState::Ejected;
    Result.push_back({Name, Item.Latest.Service, Item.Latest.Vm, State,
                      Item.Latest.Slots,
                      static_cast<uint32_t>(Item.Attempts.size())});
  }
  return Result;
}

} // namespace mimosashunt
