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
constexpr double MeanLoad = 0.8; // Of the pool, over a whole cycle.
constexpr double MeanRunSeconds = 0.5;
constexpr int SlotsPerInstance = 8;
constexpr int DeadlineMillis = 10000;
constexpr int WindowSeconds = 5;
constexpr int64_t ShedMillis = 100;
constexpr int CancelEverySeconds = 600;
constexpr int UrgentMinutes = 10;
constexpr double UrgentLoad = 1.5; // Of the slots: some work always waits.
constexpr unsigned UrgentArrivalPercent = 5;

/// Arrivals' factor over the mean at a time of the cycle.
double factorAt(int64_t Millis) {
  int64_t Second = Millis / 1000 % CycleSeconds;
  double Burst = BurstFactor * BurstSeconds;
  double Calm = CalmFactor * (CycleSeconds - BurstSeconds);
  double Scale = CycleSeconds / (Burst + Calm);
  return Scale * (Second < BurstSeconds ? BurstFactor : CalmFactor);
}

struct Waiting {
  size_t Team;
  int64_t Arrived;
};

/// Weighted fair division of \p Served among teams with \p Backlog each.
std::vector<double> fairParts(const std::vector<uint32_t> &Shares,
                              const std::vector<double> &Wanted,
                              double Served) {
  std::vector<double> Parts(Shares.size(), 0);
  double Left = Served;
  for (size_t Round = 0; Round <= Shares.size() && Left > 1e-6; ++Round) {
    double Weight = 0;
    for (size_t T = 0; T < Shares.size(); ++T)
      if (Parts[T] < Wanted[T])
        Weight += Shares[T];
    if (Weight == 0)
      break;
    double Given = 0;
    for (size_t T = 0; T < Shares.size(); ++T) {
      if (Parts[T] >= Wanted[T])
        continue;
      double Part = std::min(Left * Shares[T] / Weight, Wanted[T] - Parts[T]);
      Parts[T] += Part;
      Given += Part;
    }
    Left -= Given;
  }
  return Parts;
}

double waitMillis(const FairQueue &Queue, const std::string &Flow,
                  uint32_t Share, size_t Slots) {
  double Ahead = Queue.requestsAhead(Flow, Share);
  return Ahead / static_cast<double>(Slots) * MeanRunSeconds * 1000;
}

/// Refuses, as the entry VM's core does at each tick, what others' arrivals
/// have put out of reach.
uint64_t shed(FairQueue &Queue, std::map<LocalRequestId, Waiting> &Items,
              int64_t Now, size_t Slots) {
  uint64_t Count = 0;
  if (Now % ShedMillis != 0)
    return Count;
  for (bool Any = true; Any;) {
    Any = false;
    for (const QueuedRequest &Last : Queue.lastOfEachFlow()) {
      auto Left =
          static_cast<double>(Items.at(Last.Id).Arrived + DeadlineMillis - Now);
      if (waitMillis(Queue, Last.Flow, Last.Weight, Slots) <= Left)
        continue;
      Queue.remove(Last.Id);
      Items.erase(Last.Id);
      ++Count;
      Any = true;
    }
  }
  return Count;
}

} // namespace

QueueAccount runQueue(const Profile &Of, const QueuePolicy &Policy,
                      uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  FairQueue Queue(Policy);
  std::map<LocalRequestId, Waiting> Items;
  std::priority_queue<int64_t, std::vector<int64_t>, std::greater<>> Ends;
  size_t Slots = static_cast<size_t>(Of.Instances) * SlotsPerInstance;
  size_t Teams = Of.Shares.size();
  double Rate = MeanLoad * static_cast<double>(Slots) / MeanRunSeconds;
  std::discrete_distribution<size_t> Whose(Of.Demand.begin(), Of.Demand.end());
  std::exponential_distribution<double> RunTime(1 / MeanRunSeconds);
  QueueAccount Account;
  std::vector<double> Got(Teams, 0);
  std::vector<double> Wanted(Teams, 0);
  bool FullWindow = true;
  double Distances = 0;
  uint64_t Windows = 0;
  LocalRequestId Next = 0;
  auto CloseWindow = [&] {
    double Served = 0;
    for (double Count : Got)
      Served += Count;
    if (FullWindow && Served > 0) {
      auto Fair = fairParts(Of.Shares, Wanted, Served);
      double Sum = 0;
      for (size_t T = 0; T < Teams; ++T)
        Sum += std::abs(Got[T] - Fair[T]);
      Distances += Sum / 2 / Served;
      ++Windows;
    }
    std::fill(Got.begin(), Got.end(), 0);
    // What waits already is wanted in the next window, too.
    std::fill(Wanted.begin(), Wanted.end(), 0);
    for (const auto &[Id, Item] : Items)
      Wanted[Item.Team] += 1;
    FullWindow = true;
  };
  for (int64_t Now = 0; Now < QueueHours * 3600000LL; Now += StepMillis) {
    while (!Ends.empty() && Ends.top() <= Now)
      Ends.pop();
    std::poisson_distribution<int> Arrivals(Rate * factorAt(Now) * StepMillis /
                                            1000);
    for (int Count = Arrivals(Random); Count > 0; --Count) {
      size_t Team = Whose(Random);
      Wanted[Team] += 1;
      double Wait =
          waitMillis(Queue, std::to_string(Team), Of.Shares[Team], Slots);
      if (Wait > DeadlineMillis) {
        ++Account.Refused;
        continue;
      }
      Items[++Next] = {Team, Now};
      Queue.push({Next, std::to_string(Team), Of.Shares[Team], false, 1.0});
    }
    if (Now % (CancelEverySeconds * 1000LL) == 0)
      for (auto At = Items.begin(); At != Items.end();) {
        bool Gone = Random() % 10 < 3 && Queue.remove(At->first);
        Account.Cancelled += Gone ? 1 : 0;
        At = Gone ? Items.erase(At) : std::next(At);
      }
    Account.Refused += shed(Queue, Items, Now, Slots);
    while (Ends.size() < Slots) {
      auto Taken = Queue.pop([](const std::string &) { return true; }, false);
      if (!Taken)
        break;
      Waiting Item = Items.at(Taken->Id);
      Items.erase(Taken->Id);
      if (Now - Item.Arrived > DeadlineMillis) {
        ++Account.Missed;
        continue;
      }
      ++Account.Served;
      Got[Item.Team] += 1;
      Ends.push(Now + std::max<int64_t>(
                          1, static_cast<int64_t>(1000 * RunTime(Random))));
    }
    FullWindow = FullWindow && !Queue.empty();
    if (Now % (WindowSeconds * 1000LL) == 0)
      CloseWindow();
  }
  Account.DistanceFromShare =
      Windows ? Distances / static_cast<double>(Windows) : 0;
  return Account;
}

UrgentAccount runUrgent(int Slots, size_t Teams, int UrgentPercent,
                        uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  FairQueue Queue(StartTimeFairQueueing{});
  std::map<LocalRequestId, int64_t> UrgentSince;
  std::multimap<int64_t, bool> Ends; // Time, and whether it is urgent.
  std::exponential_distribution<double> RunTime(1 / MeanRunSeconds);
  double Rate = UrgentLoad * Slots / MeanRunSeconds;
  std::vector<int64_t> Waits;
  int UrgentRunning = 0;
  LocalRequestId Next = 0;
  for (int64_t Now = 0; Now < UrgentMinutes * 60000LL; ++Now) {
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      UrgentRunning -= Ends.begin()->second ? 1 : 0;
      Ends.erase(Ends.begin());
    }
    std::poisson_distribution<int> Arrivals(Rate / 1000);
    for (int Count = Arrivals(Random); Count > 0; --Count) {
      bool Urgent = Random() % 100 < UrgentArrivalPercent;
      std::string Team = std::to_string(Random() % Teams);
      // What waits longer than its deadline is refused; it is left out here.
      if (!Urgent && Queue.size() > static_cast<size_t>(Slots) * 20)
        continue;
      Queue.push({++Next, Team, 1, Urgent, 1.0});
      if (Urgent)
        UrgentSince[Next] = Now;
    }
    while (Ends.size() < static_cast<size_t>(Slots)) {
      bool UrgentFirst = UrgentRunning * 100 < Slots * UrgentPercent;
      auto Taken =
          Queue.pop([](const std::string &) { return true; }, UrgentFirst);
      if (!Taken)
        break;
      if (Taken->Urgent) {
        Waits.push_back(Now - UrgentSince.at(Taken->Id));
        ++UrgentRunning;
      }
      Ends.emplace(Now + std::max<int64_t>(
                             1, static_cast<int64_t>(1000 * RunTime(Random))),
                   Taken->Urgent);
    }
  }
  std::sort(Waits.begin(), Waits.end());
  if (Waits.empty())
    return {};
  return {Waits.size(), Waits[Waits.size() * 99 / 100], Waits.back()};
}

WaveAccount runWave(const Profile &Of, const WavePolicy &Policy,
                    uint64_t Seed) {
  constexpr int RebootSeconds = 300;
  constexpr int LostSeconds = 1800;
  constexpr int NoticeSeconds = 5;
  constexpr int RackSize = 4;
  constexpr int MaxSeconds = 7 * 24 * 3600;
  std::mt19937_64 Random(Seed);
  TimerService Timers{Instant(seconds(1000))};
  FleetState State;
  FleetStatus Picture(Timers, seconds(2));
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
  for (int S = 0; S < Of.Services; ++S) {
    std::string Name = "service-" + std::to_string(S);
    Apply(CreatePool{Name, false});
    for (int I = 0; I < Of.Instances; ++I, ++Number) {
      std::string VmName = "vm-" + std::to_string(Number);
      auto Rack = static_cast<size_t>(Number / RackSize);
      Apply(
          AddVm{VmName, Name,
                "dc-" + std::to_string(static_cast<int>(Rack) % Of.DataCentres),
                "rack-" + std::to_string(Rack)});
      Vms[VmName] = {Name, 1, 0, Rack};
      Wave.Vms.push_back(VmName);
    }
    ServiceSpec Service{
        Name, {Name}, static_cast<uint32_t>(Of.Instances), 2, {}};
    Apply(ApplyDocument{{"team-" + std::to_string(S), 1, 100, {Service}}, 0});
  }
  Apply(Wave);
  size_t LostRack = Random() % (Vms.size() / RackSize);
  auto LostAt = static_cast<int64_t>(600 + Random() % 1800);
  WaveAccount Account;
  Account.WorstSlack = 1000;
  auto Lost = [&](const Vm &Item, int64_t Now) {
    return Item.Rack == LostRack && Now >= LostAt && Now < LostAt + LostSeconds;
  };
  for (int64_t Now = 1; Now < MaxSeconds; ++Now) {
    Timers.advance(Instant(seconds(1000 + Now)));
    EntryReport Report;
    Report.Run = {"entry", 1};
    std::map<std::string, VmStatus> Platform;
    std::map<std::string, int> Live;
    for (const auto &[Name, Item] : Vms) {
      bool Rebooting = Now < Item.UpAt;
      // A loss shows in reports only after the sessions have lapsed.
      bool Seen =
          !Rebooting && !(Lost(Item, Now) && Lost(Item, Now - NoticeSeconds));
      Platform[Name] = {Rebooting ? VmState::Rebooting : VmState::Up,
                        Item.Boots};
      if (Seen)
        Report.Backends.push_back(
            {Name, Item.Service, Name, BackendState::Serving, 8, 0});
      Live[Item.Service] += !Rebooting && !Lost(Item, Now) ? 1 : 0;
    }
    bool RackLost = Now >= LostAt && Now < LostAt + LostSeconds;
    for (const auto &[Service, Count] : Live)
      if (!RackLost)
        Account.WorstSlack =
            std::min(Account.WorstSlack, Count - (Of.Instances - 2));
    Picture.addReport(Report);
    Picture.updateVms(std::move(Platform));
    for (const auto &[Name, Boots] :
         std::map(State.waves().at("wave").DrainingVms))
      if (Vms[Name].Boots > Boots && Now >= Vms[Name].UpAt)
        Apply(FinishDrain{"wave", Name});
    if (State.waves().at("wave").hasEnded()) {
      Account.RollOutSeconds = Now;
      return Account;
    }
    for (const GrantDrain &Grant : Planner.plan(State, Picture).Grants) {
      Apply(Grant);
      ++Account.Drains;
      Vms[Grant.Vm].UpAt = Now + RebootSeconds;
      ++Vms[Grant.Vm].Boots;
    }
  }
  Account.RollOutSeconds = MaxSeconds;
  return Account;
}

} // namespace mimosashunt
