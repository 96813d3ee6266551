#include "Core/RequestRecords.h"

#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration ComeBackSoon = seconds(1);

struct EndWriter {
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

void RequestRecords::forgetOld() {
  Instant Oldest = Timers.now() - Limits.Retention;
  while (!Order.empty() && Order.front().At < Oldest) {
    auto Found = Records.find(Order.front().RequestId);
    // An adopted record may have ended, and so been kept, later.
    if (Found != Records.end() && Found->second.KeptSince == Order.front().At)
      Records.erase(Found);
    Order.pop_front();
  }
}

void RequestRecords::keep(const std::string &RequestId, Record &Item) {
  Item.KeptSince = Timers.now();
  Order.push_back({Item.KeptSince, RequestId});
}

RecordAnswer RequestRecords::beginRequest(const std::string &RequestId,
                                          const std::string &Scope,
                                          LocalRequestId Id) {
  forgetOld();
  auto [Found, IsNew] = Records.try_emplace(RequestId);
  Record &Item = Found->second;
  if (IsNew) {
    Item.Scope = Scope;
    Item.Waiting.push_back(Id);
    return RecordNew{};
  }
  if (Item.Scope != Scope)
    return RecordForeign{};
  if (Item.Result)
    return RecordEnded{*Item.Result};
  Item.Waiting.push_back(Id);
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
  Outcome Kept = Result;
  if (const auto *Whole = std::get_if<Answered>(&Result))
    if (Whole->Response.Body.size() > Limits.MaxBodyBytes)
      Kept = RanAndFailed{"it ran; its answer was too large to keep"};
  Found->second.Waiting.clear();
  Found->second.Result = std::move(Kept);
  keep(RequestId, Found->second);
  return Waiting;
}

void RequestRecords::detach(const std::string &RequestId, LocalRequestId Id) {
  auto Found = Records.find(RequestId);
  if (Found != Records.end())
    std::erase(Found->second.Waiting, Id);
}

std::optional<TransferredRecord>
RequestRecords::exportRecord(const std::string &RequestId) const {
  auto Found = Records.find(RequestId);
  if (Found == Records.end())
    return std::nullopt;
  TransferredRecord Given;
  Given.RequestId = RequestId;
  Given.Scope = Found->second.Scope;
  if (Found->second.Result)
    std::visit(EndWriter{Given}, *Found->second.Result);
  return Given;
}

std::vector<LocalRequestId>
RequestRecords::importRecord(const TransferredRecord &Given) {
  forgetOld();
  std::optional<Outcome> Result = outcomeOf(Given);
  auto [Found, IsNew] = Records.try_emplace(Given.RequestId);
  Record &Item = Found->second;
  if (IsNew) {
    Item.Scope = Given.Scope;
    keep(Given.RequestId, Item);
  }
  if (!Result || Item.Result)
    return {};
  return endRequest(Given.RequestId, *Result);
}

std::optional<Outcome> outcomeOf(const TransferredRecord &Given) {
  switch (Given.State) {
  case RecordState::InFlight:
    return std::nullopt;
  case RecordState::Answered:
    return Answered{{Given.Status, Given.ContentType, Given.Body}};
  case RecordState::Failed:
    return RanAndFailed{Given.Body};
  case RecordState::Unknown:
    return OutcomeUnknown{Given.Body};
  case RecordState::NotRun:
    return NotRun{Refusal::NoBackendServer, ComeBackSoon, false};
  }
  return std::nullopt;
}

} // namespace mimosashunt
