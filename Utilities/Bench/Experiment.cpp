#include "Experiment.h"

#include "Core/FleetState.h"
#include "Core/FleetStatus.h"
#include "Core/TimerService.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <random>

namespace mimosashunt {

namespace {

constexpr int StepMillis = 20;
constexpr int QueueHours = 2;
constexpr int BurstSeconds = 20;
constexpr int CycleSeconds = 120;
constexpr double BurstFactor = 5;
constexpr double CalmFactor = 0.05;
constexpr double MeanLoad = 0.8; // Fraction of all slots, over a whole cycle.
constexpr double MeanRunSeconds = 0.5;
constexpr int SlotsPerInstance = 8;
constexpr int DeadlineMillis = 10000;
constexpr int WindowSeconds = 5;
constexpr int64_t ShedIntervalMillis = 100;
constexpr int CancelIntervalSeconds = 600;
constexpr int UrgentMinutes = 10;
// Fraction of the slots; above 1, so requests always wait.
constexpr double UrgentLoad = 1.5;
constexpr unsigned UrgentArrivalPercent = 5;

/// Returns the arrival rate at a time of the cycle, relative to the mean rate.
double arrivalFactor(int64_t Millis) {
  int64_t Second = Millis / 1000 % CycleSeconds;
  double Burst = BurstFactor * BurstSeconds;
  double Calm = CalmFactor * (CycleSeconds - BurstSeconds);
  double Scale = CycleSeconds / (Burst + Calm);
  return Scale * (Second < BurstSeconds ? BurstFactor : CalmFactor);
}

/// A queued request and its arrival time in milliseconds.
struct WaitingRequest {
  size_t Team;
  int64_t Arrived;
};

/// Divides \p Served requests among teams in proportion to their shares, with
/// at most \p Demand for each.
std::vector<double> fairAllocation(const std::vector<uint32_t> &Shares,
                                   const std::vector<double> &Demand,
                                   double Served) {
  std::vector<double> Allocation(Shares.size(), 0);
  double Remaining = Served;
  for (size_t Round = 0; Round <= Shares.size() && Remaining > 1e-6; ++Round) {
    double Weight = 0;
    for (size_t T = 0; T < Shares.size(); ++T)
      if (Allocation[T] < Demand[T])
        Weight += Shares[T];
    if (Weight == 0)
      break;
    double Allocated = 0;
    for (size_t T = 0; T < Shares.size(); ++T) {
      if (Allocation[T] >= Demand[T])
        continue;
      double Part =
          std::min(Remaining * Shares[T] / Weight, Demand[T] - Allocation[T]);
      Allocation[T] += Part;
      Allocated += Part;
    }
    Remaining -= Allocated;
  }
  return Allocation;
}

/// Estimates how long a new request of a flow would wait, in milliseconds.
double estimateWaitMillis(const FairQueue &Queue, const std::string &Flow,
                          uint32_t Share, size_t Slots) {
  double Ahead = Queue.requestsAhead(Flow, Share);
  return Ahead / static_cast<double>(Slots) * MeanRunSeconds * 1000;
}

/// Removes requests that can no longer start before their deadlines because of
/// later arrivals of other teams, as the entry VM's core does at each tick.
/// Returns their number.
uint64_t
shedLateRequests(FairQueue &Queue,
                 std::map<LocalRequestId, WaitingRequest> &WaitingRequests,
                 int64_t Now, size_t Slots) {
  uint64_t Count = 0;
  if (Now % ShedIntervalMillis != 0)
    return Count;
  for (bool HasRemoved = true; HasRemoved;) {
    HasRemoved = false;
    for (const QueuedRequest &Last : Queue.lastOfEachFlow()) {
      auto TimeLeft = static_cast<double>(WaitingRequests.at(Last.Id).Arrived +
                                          DeadlineMillis - Now);
      if (estimateWaitMillis(Queue, Last.Flow, Last.Weight, Slots) <= TimeLeft)
        continue;
      Queue.remove(Last.Id);
      WaitingRequests.erase(Last.Id);
      ++Count;
      HasRemoved = true;
    }
  }
  return Count;
}

} // namespace

QueueStatistics simulateQueue(const DeploymentProfile &Deployment,
                              const QueuePolicy &Policy, uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  FairQueue Queue(Policy);
  std::map<LocalRequestId, WaitingRequest> WaitingRequests;
  std::priority_queue<int64_t, std::vector<int64_t>, std::greater<>> RunEnds;
  size_t Slots = static_cast<size_t>(Deployment.Instances) * SlotsPerInstance;
  size_t Teams = Deployment.Shares.size();
  double Rate = MeanLoad * static_cast<double>(Slots) / MeanRunSeconds;
  std::discrete_distribution<size_t> TeamDistribution(Deployment.Demand.begin(),
                                                      Deployment.Demand.end());
  std::exponential_distribution<double> RunTime(1 / MeanRunSeconds);
  QueueStatistics Statistics;
  std::vector<double> ServedByTeam(Teams, 0);
  std::vector<double> Demand(Teams, 0);
  bool AlwaysBacklogged = true;
  double DeviationSum = 0;
  uint64_t Windows = 0;
  LocalRequestId LastId = 0;
  auto FinishWindow = [&] {
    double Served = 0;
    for (double Count : ServedByTeam)
      Served += Count;
    if (AlwaysBacklogged && Served > 0) {
      auto Fair = fairAllocation(Deployment.Shares, Demand, Served);
      double Sum = 0;
      for (size_t T = 0; T < Teams; ++T)
        Sum += std::abs(ServedByTeam[T] - Fair[T]);
      DeviationSum += Sum / 2 / Served;
      ++Windows;
    }
    std::fill(ServedByTeam.begin(), ServedByTeam.end(), 0);
    // Requests that still wait also count as demand of the next window.
    std::fill(Demand.begin(), Demand.end(), 0);
    for (const auto &[Id, Item] : WaitingRequests)
      Demand[Item.Team] += 1;
    AlwaysBacklogged = true;
  };
  for (int64_t Now = 0; Now < QueueHours * 3600000LL; Now += StepMillis) {
    while (!RunEnds.empty() && RunEnds.top() <= Now)
      RunEnds.pop();
    std::poisson_distribution<int> Arrivals(Rate * arrivalFactor(Now) *
                                            StepMillis / 1000);
    for (int Count = Arrivals(Random); Count > 0; --Count) {
      size_t Team = TeamDistribution(Random);
      Demand[Team] += 1;
      double Wait = estimateWaitMillis(Queue, std::to_string(Team),
                                       Deployment.Shares[Team], Slots);
      if (Wait > DeadlineMillis) {
        ++Statistics.Refused;
        continue;
      }
      WaitingRequests[++LastId] = {Team, Now};
      Queue.push(
          {LastId, std::to_string(Team), Deployment.Shares[Team], false, 1.0});
    }
    if (Now % (CancelIntervalSeconds * 1000LL) == 0)
      for (auto At = WaitingRequests.begin(); At != WaitingRequests.end();) {
        bool IsCancelled = Random() % 10 < 3 && Queue.remove(At->first);
        Statistics.Cancelled += IsCancelled ? 1 : 0;
        At = IsCancelled ? WaitingRequests.erase(At) : std::next(At);
      }
    Statistics.Refused += shedLateRequests(Queue, WaitingRequests, Now, Slots);
    while (RunEnds.size() < Slots) {
      auto Popped = Queue.pop([](const std::string &) { return true; }, false);
      if (!Popped)
        break;
      WaitingRequest Item = WaitingRequests.at(Popped->Id);
      WaitingRequests.erase(Popped->Id);
      if (Now - Item.Arrived > DeadlineMillis) {
        ++Statistics.MissedDeadlines;
        continue;
      }
      ++Statistics.Served;
      ServedByTeam[Item.Team] += 1;
      RunEnds.push(Now + std::max<int64_t>(
                             1, static_cast<int64_t>(1000 * RunTime(Random))));
    }
    AlwaysBacklogged = AlwaysBacklogged && !Queue.empty();
    if (Now % (WindowSeconds * 1000LL) == 0)
      FinishWindow();
  }
  Statistics.ShareDeviation =
      Windows ? DeviationSum / static_cast<double>(Windows) : 0;
  return Statistics;
}

UrgentStatistics simulateUrgentQueue(int Slots, size_t Teams, int UrgentPercent,
                                     uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  FairQueue Queue(StartTimeFairQueueing{});
  std::map<LocalRequestId, int64_t> UrgentArrivals;
  // End time of each run, and whether it is urgent.
  std::multimap<int64_t, bool> RunEnds;
  std::exponential_distribution<double> RunTime(1 / MeanRunSeconds);
  double Rate = UrgentLoad * Slots / MeanRunSeconds;
  std::vector<int64_t> Waits;
  int UrgentRunning = 0;
  LocalRequestId LastId = 0;
  for (int64_t Now = 0; Now < UrgentMinutes * 60000LL; ++Now) {
    while (!RunEnds.empty() && RunEnds.begin()->first <= Now) {
      UrgentRunning -= RunEnds.begin()->second ? 1 : 0;
      RunEnds.erase(RunEnds.begin());
    }
    std::poisson_distribution<int> Arrivals(Rate / 1000);
    for (int Count = Arrivals(Random); Count > 0; --Count) {
      bool Urgent = Random() % 100 < UrgentArrivalPercent;
      std::string Team = std::to_string(Random() % Teams);
      // Requests that would wait beyond their deadlines are refused. Instead of
      // simulating this, the queue length is bounded.
      if (!Urgent && Queue.size() > static_cast<size_t>(Slots) * 20)
        continue;
      Queue.push({++LastId, Team, 1, Urgent, 1.0});
      if (Urgent)
        UrgentArrivals[LastId] = Now;
    }
    while (RunEnds.size() < static_cast<size_t>(Slots)) {
      bool UrgentFirst = UrgentRunning * 100 < Slots * UrgentPercent;
      auto Popped =
          Queue.pop([](const std::string &) { return true; }, UrgentFirst);
      if (!Popped)
        break;
      if (Popped->Urgent) {
        Waits.push_back(Now - UrgentArrivals.at(Popped->Id));
        ++UrgentRunning;
      }
      RunEnds.emplace(Now + std::max<int64_t>(1, static_cast<int64_t>(
                                                     1000 * RunTime(Random))),
                      Popped->Urgent);
    }
  }
  std::sort(Waits.begin(), Waits.end());
  if (Waits.empty())
    return {};
  return {Waits.size(), Waits[Waits.size() * 99 / 100], Waits.back()};
}

WaveStatistics simulateWave(const DeploymentProfile &Deployment,
                            const WavePolicy &Policy, uint64_t Seed) {
  constexpr int RebootSeconds = 300;
  constexpr int OutageSeconds = 1800;
  constexpr int DetectionSeconds = 5;
  constexpr int RackSize = 4;
  constexpr int MaxSeconds = 7 * 24 * 3600;
  std::mt19937_64 Random(Seed);
  TimerService Timers{Instant(seconds(1000))};
  FleetState State;
  FleetStatus Status(Timers, seconds(2));
  WavePlanner Planner(Policy);
  auto Apply = [&](const FleetAction &Action) {
    State.apply({{}, {}, Action});
  };
  struct Vm {
    std::string Service;
    uint64_t Boots = 1;
    int64_t UpAt = 0;
    size_t Rack = 0;
  };
  std::map<std::string, Vm> Vms;
  AnnounceWave Wave{"wave", {}};
  int Number = 0;
  for (int S = 0; S < Deployment.Services; ++S) {
    std::string Name = "service-" + std::to_string(S);
    Apply(CreatePool{Name, false});
    for (int I = 0; I < Deployment.Instances; ++I, ++Number) {
      std::string VmName = "vm-" + std::to_string(Number);
      auto Rack = static_cast<size_t>(Number / RackSize);
      Apply(AddVm{VmName, Name,
                  "dc-" + std::to_string(static_cast<int>(Rack) %
                                         Deployment.DataCentres),
                  "rack-" + std::to_string(Rack)});
      Vms[VmName] = {Name, 1, 0, Rack};
      Wave.Vms.push_back(VmName);
    }
    ServiceSpec Service{
        Name, {Name}, static_cast<uint32_t>(Deployment.Instances), 2, {}};
    Apply(ApplyDocument{{"team-" + std::to_string(S), 1, 100, {Service}}, 0});
  }
  Apply(Wave);
  size_t FailedRack = Random() % (Vms.size() / RackSize);
  auto OutageStart = static_cast<int64_t>(600 + Random() % 1800);
  WaveStatistics Statistics;
  Statistics.WorstSlack = 1000;
  auto IsLost = [&](const Vm &Item, int64_t Now) {
    return Item.Rack == FailedRack && Now >= OutageStart &&
           Now < OutageStart + OutageSeconds;
  };
  for (int64_t Now = 1; Now < MaxSeconds; ++Now) {
    Timers.advance(Instant(seconds(1000 + Now)));
    EntryReport Report;
    Report.Run = {"entry", 1};
    std::map<std::string, VmStatus> Platform;
    std::map<std::string, int> Live;
    for (const auto &[Name, Item] : Vms) {
      bool IsRebooting = Now < Item.UpAt;
      // A lost VM disappears from reports only after its sessions have expired.
      bool IsReported = !IsRebooting && !(IsLost(Item, Now) &&
                                          IsLost(Item, Now - DetectionSeconds));
      Platform[Name] = {IsRebooting ? VmState::Rebooting : VmState::Up,
                        Item.Boots};
      if (IsReported)
        Report.Backends.push_back(
            {Name, Item.Service, Name, BackendState::Serving, 8, 0});
      Live[Item.Service] += !IsRebooting && !IsLost(Item, Now) ? 1 : 0;
    }
    bool IsRackDown = Now >= OutageStart && Now < OutageStart + OutageSeconds;
    for (const auto &[Service, Count] : Live)
      if (!IsRackDown)
        Statistics.WorstSlack =
            std::min(Statistics.WorstSlack, Count - (Deployment.Instances - 2));
    Status.addReport(Report);
    Status.updateVms(std::move(Platform));
    for (const auto &[Name, Boots] :
         std::map(State.waves().at("wave").DrainingVms))
      if (Vms[Name].Boots > Boots && Now >= Vms[Name].UpAt)
        Apply(FinishDrain{"wave", Name});
    if (State.waves().at("wave").hasEnded()) {
      Statistics.RollOutSeconds = Now;
      return Statistics;
    }
    for (const GrantDrain &Grant : Planner.plan(State, Status).Grants) {
      Apply(Grant);
      ++Statistics.Drains;
      Vms[Grant.Vm].UpAt = Now + RebootSeconds;
      ++Vms[Grant.Vm].Boots;
    }
  }
  Statistics.RollOutSeconds = MaxSeconds;
  return Statistics;
}

} // namespace mimosashunt
