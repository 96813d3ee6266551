#include "Core/FairQueue.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

std::list<FairQueue::Entry> &FairQueue::entriesOf(Flow &Of, bool Urgent) {
  return Urgent ? Of.Urgent : Of.Normal;
}

void FairQueue::push(const QueuedRequest &Request) {
  Flow &Of = Flows[Request.Flow];
  Entry New{Request, VirtualTime, ++Arrivals};
  std::list<Entry> &List = entriesOf(Of, Request.Urgent);
  List.push_back(New);
  Positions[Request.Id] = {Request.Flow, Request.Urgent, std::prev(List.end())};
  UrgentCount += Request.Urgent ? 1 : 0;
}

double FairQueue::startTime(const Flow &Of, const Entry &Head) {
  return std::max(Head.ArrivedAt, Of.LastFinish);
}

bool FairQueue::remove(LocalRequestId Id) {
  auto Found = Positions.find(Id);
  if (Found == Positions.end())
    return false;
  Position At = Found->second;
  Positions.erase(Found);
  UrgentCount -= At.Urgent ? 1 : 0;
  auto Of = Flows.find(At.Flow);
  entriesOf(Of->second, At.Urgent).erase(At.Where);
  eraseIfIdle(Of);
  return true;
}

void FairQueue::eraseIfIdle(FlowIterator At) {
  if (At->second.empty() && At->second.LastFinish <= VirtualTime)
    Flows.erase(At);
}

size_t FairQueue::waiting(const std::string &Name) const {
  auto Found = Flows.find(Name);
  return Found == Flows.end() ? 0 : Found->second.size();
}

double FairQueue::requestsAhead(const std::string &Name,
                                uint32_t Weight) const {
  if (std::holds_alternative<FirstComeFirstServed>(Policy))
    return static_cast<double>(size());
  double Turns =
      static_cast<double>(waiting(Name) + 1) / std::max<uint32_t>(1, Weight);
  double Ahead = static_cast<double>(waiting(Name));
  for (const auto &[Other, Of] : Flows) {
    if (Other == Name || Of.empty())
      continue;
    const Entry &Head =
        Of.Normal.empty() ? Of.Urgent.front() : Of.Normal.front();
    double Share = Turns * std::max<uint32_t>(1, Head.Request.Weight);
    Ahead += std::min(static_cast<double>(Of.size()), Share);
  }
  return Ahead;
}

std::map<std::string, uint32_t> FairQueue::waitingByFlow() const {
  std::map<std::string, uint32_t> Result;
  for (const auto &[Name, Of] : Flows)
    if (!Of.empty())
      Result[Name] = static_cast<uint32_t>(Of.size());
  return Result;
}

std::vector<QueuedRequest> FairQueue::lastOfEachFlow() const {
  std::vector<QueuedRequest> Result;
  // In order of arrival, later requests do not delay earlier ones.
  if (std::holds_alternative<FirstComeFirstServed>(Policy))
    return Result;
  for (const auto &[Name, Of] : Flows)
    if (!Of.Normal.empty())
      Result.push_back(Of.Normal.back().Request);
  return Result;
}

FairQueue::FlowIterator FairQueue::selectFlow(const StartTimeFairQueueing &,
                                              const FlowFilter &MayStart,
                                              bool Urgent) {
  auto Best = Flows.end();
  for (auto At = Flows.begin(); At != Flows.end(); ++At) {
    const std::list<Entry> &List = entriesOf(At->second, Urgent);
    if (List.empty() || !MayStart(At->first))
      continue;
    if (Best == Flows.end() ||
        startTime(At->second, List.front()) <
            startTime(Best->second, entriesOf(Best->second, Urgent).front()))
      Best = At;
  }
  return Best;
}

FairQueue::FlowIterator FairQueue::selectFlow(const FirstComeFirstServed &,
                                              const FlowFilter &MayStart,
                                              bool Urgent) {
  auto Best = Flows.end();
  for (auto At = Flows.begin(); At != Flows.end(); ++At) {
    const std::list<Entry> &List = entriesOf(At->second, Urgent);
    if (List.empty() || !MayStart(At->first))
      continue;
    if (Best == Flows.end() ||
        List.front().Order < entriesOf(Best->second, Urgent).front().Order)
      Best = At;
  }
  return Best;
}

FairQueue::FlowIterator FairQueue::selectFlow(const DeficitRoundRobin &,
                                              const FlowFilter &MayStart,
                                              bool Urgent) {
  auto IsReady = [&](FlowIterator At) {
    return !entriesOf(At->second, Urgent).empty() && MayStart(At->first);
  };
  size_t Ready = 0;
  for (auto At = Flows.begin(); At != Flows.end(); ++At)
    Ready += IsReady(At) ? 1 : 0;
  if (Ready == 0)
    return Flows.end();
  auto At = Flows.lower_bound(RoundAt);
  while (true) {
    if (At == Flows.end())
      At = Flows.begin();
    if (IsReady(At)) {
      const QueuedRequest &Head = entriesOf(At->second, Urgent).front().Request;
      if (At->second.Deficit >= Head.Cost) {
        At->second.Deficit -= Head.Cost;
        RoundAt = At->first;
        return At;
      }
      At->second.Deficit += Head.Weight;
      // The flow's turn ends only once its deficit no longer covers a request.
      if (At->second.Deficit >= Head.Cost)
        continue;
    } else {
      At->second.Deficit = 0;
    }
    ++At;
  }
}

std::optional<QueuedRequest> FairQueue::popClass(const FlowFilter &MayStart,
                                                 bool Urgent) {
  auto Selected = std::visit(
      [&](const auto &Active) { return selectFlow(Active, MayStart, Urgent); },
      Policy);
  if (Selected == Flows.end())
    return std::nullopt;
  std::list<Entry> &List = entriesOf(Selected->second, Urgent);
  Entry Taken = List.front();
  List.pop_front();
  Positions.erase(Taken.Request.Id);
  UrgentCount -= Urgent ? 1 : 0;
  // Only served requests advance the flow's virtual time. Requests that are
  // cancelled or refused while they wait must not cost the flow its turns.
  double Start = startTime(Selected->second, Taken);
  Selected->second.LastFinish =
      Start + Taken.Request.Cost / std::max<uint32_t>(1, Taken.Request.Weight);
  VirtualTime = std::max(VirtualTime, Start);
  if (std::holds_alternative<DeficitRoundRobin>(Policy) &&
      (List.empty() || Selected->second.Deficit < List.front().Request.Cost)) {
    auto Next = std::next(Selected);
    RoundAt = Next == Flows.end() ? std::string() : Next->first;
  }
  eraseIfIdle(Selected);
  return Taken.Request;
}

std::optional<QueuedRequest> FairQueue::pop(const FlowFilter &MayStart,
                                            bool UrgentFirst) {
  if (auto Taken = popClass(MayStart, UrgentFirst))
    return Taken;
  return popClass(MayStart, !UrgentFirst);
}

} // namespace mimosashunt
