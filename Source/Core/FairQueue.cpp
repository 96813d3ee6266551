#include "Core/FairQueue.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

std::list<FairQueue::Item> &FairQueue::listOf(Flow &Of, bool Urgent) {
  return Urgent ? Of.Urgent : Of.Normal;
}

void FairQueue::push(const QueuedRequest &Work) {
  Flow &Of = Flows[Work.Flow];
  Item New{Work, VirtualTime, ++Arrivals};
  std::list<Item> &List = listOf(Of, Work.Urgent);
  List.push_back(New);
  Places[Work.Id] = {Work.Flow, Work.Urgent, std::prev(List.end())};
  Urgent += Work.Urgent ? 1 : 0;
}

double FairQueue::startOf(const Flow &Of, const Item &Head) {
  return std::max(Head.ArrivedAt, Of.LastFinish);
}

bool FairQueue::remove(LocalRequestId Id) {
  auto Found = Places.find(Id);
  if (Found == Places.end())
    return false;
  Place At = Found->second;
  Places.erase(Found);
  Urgent -= At.Urgent ? 1 : 0;
  auto Of = Flows.find(At.Flow);
  listOf(Of->second, At.Urgent).erase(At.At);
  dropIfIdle(Of);
  return true;
}

void FairQueue::dropIfIdle(FlowIterator At) {
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
    const Item &Head =
        Of.Normal.empty() ? Of.Urgent.front() : Of.Normal.front();
    double Share = Turns * std::max<uint32_t>(1, Head.Work.Weight);
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
  // Who came first is put out of reach by nobody who comes later.
  if (std::holds_alternative<FirstComeFirstServed>(Policy))
    return Result;
  for (const auto &[Name, Of] : Flows)
    if (!Of.Normal.empty())
      Result.push_back(Of.Normal.back().Work);
  return Result;
}

FairQueue::FlowIterator FairQueue::choose(const StartTimeFairQueueing &,
                                          const Eligible &May, bool Urgent) {
  auto Best = Flows.end();
  for (auto At = Flows.begin(); At != Flows.end(); ++At) {
    const std::list<Item> &List = listOf(At->second, Urgent);
    if (List.empty() || !May(At->first))
      continue;
    if (Best == Flows.end() ||
        startOf(At->second, List.front()) <
            startOf(Best->second, listOf(Best->second, Urgent).front()))
      Best = At;
  }
  return Best;
}

FairQueue::FlowIterator FairQueue::choose(const FirstComeFirstServed &,
                                          const Eligible &May, bool Urgent) {
  auto Best = Flows.end();
  for (auto At = Flows.begin(); At != Flows.end(); ++At) {
    const std::list<Item> &List = listOf(At->second, Urgent);
    if (List.empty() || !May(At->first))
      continue;
    if (Best == Flows.end() ||
        List.front().Order < listOf(Best->second, Urgent).front().Order)
      Best = At;
  }
  return Best;
}

FairQueue::FlowIterator FairQueue::choose(const DeficitRoundRobin &,
                                          const Eligible &May, bool Urgent) {
  auto IsReady = [&](FlowIterator At) {
    return !listOf(At->second, Urgent).empty() && May(At->first);
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
      const QueuedRequest &Head = listOf(At->second, Urgent).front().Work;
      if (At->second.Deficit >= Head.Cost) {
        At->second.Deficit -= Head.Cost;
        RoundAt = At->first;
        return At;
      }
      At->second.Deficit += Head.Weight;
      // The flow spends what it has before its turn ends.
      if (At->second.Deficit >= Head.Cost)
        continue;
    } else {
      At->second.Deficit = 0;
    }
    ++At;
  }
}

std::optional<QueuedRequest> FairQueue::popFrom(const Eligible &May,
                                                bool FromUrgent) {
  auto Chosen = std::visit(
      [&](const auto &Held) { return choose(Held, May, FromUrgent); }, Policy);
  if (Chosen == Flows.end())
    return std::nullopt;
  std::list<Item> &List = listOf(Chosen->second, FromUrgent);
  Item Taken = List.front();
  List.pop_front();
  Places.erase(Taken.Work.Id);
  Urgent -= FromUrgent ? 1 : 0;
  // Only what is served moves the flow on: what is cancelled or refused while
  // it waits must not cost the flow its turns.
  double Start = startOf(Chosen->second, Taken);
  Chosen->second.LastFinish =
      Start + Taken.Work.Cost / std::max<uint32_t>(1, Taken.Work.Weight);
  VirtualTime = std::max(VirtualTime, Start);
  if (std::holds_alternative<DeficitRoundRobin>(Policy) &&
      (List.empty() || Chosen->second.Deficit < List.front().Work.Cost)) {
    auto Next = std::next(Chosen);
    RoundAt = Next == Flows.end() ? std::string() : Next->first;
  }
  dropIfIdle(Chosen);
  return Taken.Work;
}

std::optional<QueuedRequest> FairQueue::pop(const Eligible &May,
                                            bool UrgentFirst) {
  if (auto Taken = popFrom(May, UrgentFirst))
    return Taken;
  return popFrom(May, !UrgentFirst);
}

} // namespace mimosashunt
