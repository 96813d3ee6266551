#include "Core/RequestRecords.h"

#include <utility>

namespace mimosashunt {

namespace {

// RetryAfter of requests that another VM reports as not run.
constexpr Duration DefaultRetryAfter = seconds(1);

/// Writes an outcome into a record for transfer.
struct OutcomeWriter {
  TransferredRecord &Out;

  void operator()(const Answered &End) const {
    Out.State = RecordState::Answered;
    Out.Status = End.Response.Status;
    Out.ContentType = End.Response.ContentType;
    Out.Body = End.Response.Body;
  }
  void operator()(const NotRun &) const { Out.State = RecordState::NotRun; }
  void operator()(const RanAndFailed &End) const {
    Out.State = RecordState::Failed;
    Out.Body = End.Detail;
  }
  void operator()(const OutcomeUnknown &End) const {
    Out.State = RecordState::Unknown;
    Out.Body = End.Detail;
  }
};

} // namespace

void RequestRecords::eraseExpired() {
  Instant Oldest = Timers.now() - Limits.Retention;
  while (!RetentionOrder.empty() && RetentionOrder.front().At < Oldest) {
    auto Found = Records.find(RetentionOrder.front().RequestId);
    // The retention of an imported record starts again when its request ends.
    if (Found != Records.end() &&
        Found->second.RetainedSince == RetentionOrder.front().At)
      Records.erase(Found);
    RetentionOrder.pop_front();
  }
}

void RequestRecords::startRetention(const std::string &RequestId,
                                    Record &Entry) {
  Entry.RetainedSince = Timers.now();
  RetentionOrder.push_back({Entry.RetainedSince, RequestId});
}

RecordLookup RequestRecords::beginRequest(const std::string &RequestId,
                                          const std::string &Scope,
                                          LocalRequestId Id) {
  eraseExpired();
  auto [Found, IsNew] = Records.try_emplace(RequestId);
  Record &Entry = Found->second;
  if (IsNew) {
    Entry.Scope = Scope;
    Entry.Waiting.push_back(Id);
    return RecordCreated{};
  }
  if (Entry.Scope != Scope)
    return RecordConflict{};
  if (Entry.Result)
    return RecordEnded{*Entry.Result};
  Entry.Waiting.push_back(Id);
  return RecordAttached{};
}

std::vector<LocalRequestId>
RequestRecords::endRequest(const std::string &RequestId,
                           const Outcome &Result) {
  auto Found = Records.find(RequestId);
  if (Found == Records.end() || Found->second.Result)
    return {};
  std::vector<LocalRequestId> Waiting = std::move(Found->second.Waiting);
  if (std::holds_alternative<NotRun>(Result)) {
    Records.erase(Found);
    return Waiting;
  }
  Outcome Recorded = Result;
  if (const auto *Complete = std::get_if<Answered>(&Result))
    if (Complete->Response.Body.size() > Limits.MaxBodyBytes)
      Recorded = RanAndFailed{"it ran; its answer was too large to keep"};
  Found->second.Waiting.clear();
  Found->second.Result = std::move(Recorded);
  startRetention(RequestId, Found->second);
  return Waiting;
}

void RequestRecords::detachSending(const std::string &RequestId,
                                   LocalRequestId Id) {
  auto Found = Records.find(RequestId);
  if (Found != Records.end())
    std::erase(Found->second.Waiting, Id);
}

std::optional<TransferredRecord>
RequestRecords::exportRecord(const std::string &RequestId) const {
  auto Found = Records.find(RequestId);
  if (Found == Records.end())
    return std::nullopt;
  TransferredRecord Transferred;
  Transferred.RequestId = RequestId;
  Transferred.Scope = Found->second.Scope;
  if (Found->second.Result)
    std::visit(OutcomeWriter{Transferred}, *Found->second.Result);
  return Transferred;
}

std::vector<LocalRequestId>
RequestRecords::importRecord(const TransferredRecord &Transferred) {
  eraseExpired();
  std::optional<Outcome> Result = outcomeOf(Transferred);
  auto [Found, IsNew] = Records.try_emplace(Transferred.RequestId);
  Record &Entry = Found->second;
  if (IsNew) {
    Entry.Scope = Transferred.Scope;
    startRetention(Transferred.RequestId, Entry);
  }
  if (!Result || Entry.Result)
    return {};
  return endRequest(Transferred.RequestId, *Result);
}

std::optional<Outcome> outcomeOf(const TransferredRecord &Transferred) {
  switch (Transferred.State) {
  case RecordState::InFlight:
    return std::nullopt;
  case RecordState::Answered:
    return Answered{
        {Transferred.Status, Transferred.ContentType, Transferred.Body}};
  case RecordState::Failed:
    return RanAndFailed{Transferred.Body};
  case RecordState::Unknown:
    return OutcomeUnknown{Transferred.Body};
  case RecordState::NotRun:
    return NotRun{Refusal::NoBackendServer, DefaultRetryAfter, false};
  }
  return std::nullopt;
}

} // namespace mimosashunt
