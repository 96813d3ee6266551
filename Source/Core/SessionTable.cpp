#include "Core/SessionTable.h"

#include <algorithm>

namespace mimosashunt {

namespace {

// An answer may still be in transit when the run has ended.
constexpr Duration AnswerTransitTime = seconds(1);

} // namespace

bool SessionTable::isLive(const Session &S) const {
  return Timers.now() - S.HeardAt < Options.LeaseDuration;
}

bool SessionTable::acceptsAttempts(const Session &S) const {
  if (!isLive(S) || S.Latest.Leaving)
    return false;
  if (!S.EjectedAt)
    return true;
  // After the ejection, one attempt at a time shows whether the backend server
  // has recovered.
  bool EjectionEnded = Timers.now() - *S.EjectedAt >= Options.EjectionDuration;
  return EjectionEnded && S.Attempts.empty();
}

EndedAttempt
SessionTable::eraseAttempt(Session &S,
                           std::map<AttemptId, Attempt>::iterator At) {
  EndedAttempt Result{At->first, At->second.Id, At->second.Team,
                      !At->second.Lost};
  BackendByAttempt.erase(At->first);
  S.Attempts.erase(At);
  return Result;
}

AnnouncementReply
SessionTable::handleAnnouncement(const BackendAnnouncement &New,
                                 std::vector<EndedAttempt> &Ended) {
  auto [Found, IsNew] = Sessions.try_emplace(New.Name);
  Session &S = Found->second;
  AnnouncementReply Reply;
  Reply.HeartbeatMillis =
      static_cast<uint32_t>(toMillis(Options.HeartbeatInterval));
  Reply.LeaseMillis = static_cast<uint32_t>(toMillis(Options.LeaseDuration));
  if (!IsNew && New.Epoch < S.Latest.Epoch)
    return Reply; // A delayed message of an earlier session.
  if (New.Epoch > S.Latest.Epoch)
    S.RenewEpoch = false;
  S.Confirmed = !IsNew && isLive(S);
  // A leave notice holds until the next session, even if a delayed message of
  // the same session that was sent before the notice arrives after it.
  bool StillLeaving = !IsNew && S.Latest.Epoch == New.Epoch && S.Latest.Leaving;
  S.Latest = New;
  S.Latest.Leaving = New.Leaving || StillLeaving;
  S.HeardAt = Timers.now();
  reconcileAttempts(S, Ended);
  Reply.RenewEpoch = S.RenewEpoch;
  Reply.Released = S.Latest.Leaving && S.Attempts.empty();
  return Reply;
}

void SessionTable::stopAssigning(const std::string &Backend) {
  auto Found = Sessions.find(Backend);
  if (Found != Sessions.end())
    Found->second.Latest.Leaving = true;
}

void SessionTable::reconcileAttempts(Session &S,
                                     std::vector<EndedAttempt> &Ended) {
  std::set<AttemptId> Listed(S.Latest.Running.begin(), S.Latest.Running.end());
  Instant Now = Timers.now();
  for (auto At = S.Attempts.begin(); At != S.Attempts.end();) {
    auto Next = std::next(At);
    Attempt &Current = At->second;
    if (Listed.contains(At->first)) {
      Current.AbsentSince.reset();
      At = Next;
      continue;
    }
    if (Current.Epoch < S.Latest.Epoch) {
      // The backend server refuses attempts of earlier sessions, so an attempt
      // that is not running now will never run.
      if (!Current.AbsentSince)
        Current.AbsentSince = Now;
      if (Current.Lost || Now - *Current.AbsentSince >= AnswerTransitTime)
        Ended.push_back(eraseAttempt(S, At));
    } else if (Current.Lost ||
               Now - Current.StartedAt >= Options.MissingAttemptTimeout) {
      S.RenewEpoch = true;
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
  for (const auto &[Name, S] : Sessions) {
    if (S.Latest.Service != Service || !acceptsAttempts(S) ||
        Draining.contains(S.Latest.Vm) || Avoid.contains(Name))
      continue;
    double Load = static_cast<double>(S.Attempts.size()) /
                  std::max<uint32_t>(1, S.Latest.Slots);
    if (Load < BestLoad) {
      Best = &S;
      BestLoad = Load;
    }
  }
  if (Best == nullptr)
    return std::nullopt;
  return BackendChoice{Best->Latest.Name, Best->Latest.Address,
                       Best->Latest.Epoch};
}

void SessionTable::startAttempt(const std::string &Backend, const AttemptId &Id,
                                LocalRequestId Request,
                                const std::string &Team) {
  Session &S = Sessions.at(Backend);
  Attempt New;
  New.Id = Request;
  New.Team = Team;
  New.Epoch = S.Latest.Epoch;
  New.StartedAt = Timers.now();
  S.Attempts.emplace(Id, New);
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
  Session &S = Sessions.at(Found->second);
  return eraseAttempt(S, S.Attempts.find(Id));
}

std::optional<LocalRequestId> SessionTable::markLost(const AttemptId &Id) {
  auto Found = BackendByAttempt.find(Id);
  if (Found == BackendByAttempt.end())
    return std::nullopt;
  Session &S = Sessions.at(Found->second);
  Attempt &Current = S.Attempts.at(Id);
  if (Current.Lost)
    return std::nullopt;
  Current.Lost = true;
  S.RenewEpoch = true;
  return Current.Id;
}

void SessionTable::recordSuccess(const std::string &Backend) {
  auto Found = Sessions.find(Backend);
  if (Found == Sessions.end())
    return;
  Found->second.ConsecutiveFailures = 0;
  Found->second.EjectedAt.reset();
}

void SessionTable::recordFailure(const std::string &Backend) {
  auto Found = Sessions.find(Backend);
  if (Found == Sessions.end())
    return;
  Session &S = Found->second;
  ++S.ConsecutiveFailures;
  if (S.EjectedAt) {
    S.EjectedAt = Timers.now();
    return;
  }
  if (S.ConsecutiveFailures < Options.EjectionThreshold)
    return;
  size_t Live = 0;
  size_t Ejected = 0;
  for (const auto &[Name, Other] : Sessions) {
    if (Other.Latest.Service != S.Latest.Service || !isLive(Other))
      continue;
    ++Live;
    Ejected += Other.EjectedAt ? 1 : 0;
  }
  // If most backend servers fail, the service is at fault rather than one of
  // them.
  if ((Ejected + 1) * 100 <= Live * Options.MaxEjectedPercent)
    S.EjectedAt = Timers.now();
}

std::vector<EndedAttempt> SessionTable::expireAttemptsAndSessions() {
  std::vector<EndedAttempt> Ended;
  Duration MaxAttemptAge =
      Options.MaxRunTime + Options.LeaseDuration + AnswerTransitTime;
  for (auto At = Sessions.begin(); At != Sessions.end();) {
    Session &S = At->second;
    for (auto AttemptAt = S.Attempts.begin(); AttemptAt != S.Attempts.end();) {
      auto Next = std::next(AttemptAt);
      if (Timers.now() - AttemptAt->second.StartedAt >= MaxAttemptAge)
        Ended.push_back(eraseAttempt(S, AttemptAt));
      AttemptAt = Next;
    }
    if (!isLive(S) && S.Attempts.empty())
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
  for (const auto &[Name, S] : Sessions) {
    if (S.Latest.Service != Service)
      continue;
    bool IsServing = isLive(S) && !S.Latest.Leaving && !S.EjectedAt &&
                     !Draining.contains(S.Latest.Vm);
    if (!IsServing)
      continue;
    Result.Slots += S.Latest.Slots;
    Result.Running += static_cast<uint32_t>(S.Attempts.size());
  }
  return Result;
}

std::vector<std::string> SessionTable::services() const {
  std::set<std::string> Names;
  for (const auto &[Name, S] : Sessions)
    if (isLive(S))
      Names.insert(S.Latest.Service);
  return {Names.begin(), Names.end()};
}

std::vector<BackendReport> SessionTable::backendReports() const {
  std::vector<BackendReport> Result;
  for (const auto &[Name, S] : Sessions) {
    if (!isLive(S) || !S.Confirmed)
      continue;
    BackendState State = BackendState::Serving;
    if (S.Latest.Leaving)
      State = BackendState::Leaving;
    else if (S.EjectedAt)
      State = BackendState::Ejected;
    Result.push_back({Name, S.Latest.Service, S.Latest.Vm, State,
                      S.Latest.Slots,
                      static_cast<uint32_t>(S.Attempts.size())});
  }
  return Result;
}

} // namespace mimosashunt
