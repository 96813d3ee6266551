// Benchmarks the core's decisions at the fleet size expected in two years: 830
// VMs, 56 pools, 37 teams and 9 entry VMs.

#include "Core/EntryCore.h"
#include "Core/FleetState.h"
#include "Core/FleetStatus.h"
#include "Core/SlicePlanner.h"
#include "Core/WavePlanner.h"

#include <benchmark/benchmark.h>

using namespace mimosashunt;

namespace {

constexpr int PoolCount = 56;
constexpr int TeamCount = 37;
constexpr int EntryCount = 9;
constexpr int BackendsPerTeam = 20;

/// A fleet with one wave over all its VMs.
struct Fleet {
  TimerService Timers{Instant(seconds(1000))};
  FleetState State;
  FleetStatus Status{Timers, seconds(2)};

  void apply(const FleetAction &Action) { State.apply({{}, {}, Action}); }

  explicit Fleet(int VmCount) {
    auto Name = [](const char *Prefix, int I) {
      return Prefix + std::to_string(I);
    };
    for (int I = 0; I < PoolCount; ++I)
      apply(CreatePool{Name("pool-", I), I == 0});
    std::map<std::string, VmStatus> Vms;
    AnnounceWave Wave{"all", {}};
    for (int I = 0; I < VmCount; ++I) {
      apply(AddVm{Name("vm-", I), Name("pool-", I % PoolCount),
                  Name("dc-", I % 4), Name("rack-", I / 4)});
      Vms[Name("vm-", I)] = {VmState::Up, 1};
      Wave.Vms.push_back(Name("vm-", I));
    }
    for (int I = 0; I < TeamCount; ++I) {
      ServiceSpec Service{Name("service-", I),
                          {Name("pool-", I % PoolCount)},
                          BackendsPerTeam,
                          4,
                          {{Name("queue-", I), false, 10000, false}}};
      apply(ApplyDocument{{Name("team-", I), 4, 200, {Service}}, 0});
      apply(GrantKey{Name("team-", I), Name("digest-", I)});
    }
    apply(Wave);
    for (int I = 0; I < EntryCount; ++I) {
      EntryReport Report;
      Report.Run = {Name("entry-", I), 1};
      apply(RegisterEntryVm{Report.Run, Name("dc-", I % 4), "x"});
      for (int T = 0; T < TeamCount; ++T) {
        Report.Teams.push_back({Name("team-", T), 5, 5, 0, 0, false});
        for (int B = I; B < BackendsPerTeam; B += EntryCount)
          Report.Backends.push_back(
              {Name("b", T * 100 + B), Name("service-", T),
               Name("vm-", (T * BackendsPerTeam + B) % VmCount),
               BackendState::Serving, 8, 3});
      }
      Status.addReport(Report);
    }
    Status.updateVms(std::move(Vms));
  }
};

void planWaves(benchmark::State &Run) {
  Fleet TestFleet(static_cast<int>(Run.range(0)));
  WavePlanner Planner(BudgetLimited{});
  for (auto _ : Run)
    benchmark::DoNotOptimize(Planner.plan(TestFleet.State, TestFleet.Status));
}
BENCHMARK(planWaves)->Arg(200)->Arg(415)->Arg(830);

void planSlices(benchmark::State &Run) {
  Fleet TestFleet(static_cast<int>(Run.range(0)));
  SlicePlanner Planner;
  for (auto _ : Run)
    benchmark::DoNotOptimize(Planner.plan(TestFleet.State, TestFleet.Status));
}
BENCHMARK(planSlices)->Arg(200)->Arg(415)->Arg(830);

void snapshotState(benchmark::State &Run) {
  Fleet TestFleet(static_cast<int>(Run.range(0)));
  size_t Bytes = 0;
  for (auto _ : Run)
    Bytes = TestFleet.State.snapshot().size();
  Run.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(snapshotState)->Arg(200)->Arg(415)->Arg(830);

void configurationForEntries(benchmark::State &Run) {
  Fleet TestFleet(static_cast<int>(Run.range(0)));
  size_t Bytes = 0;
  for (auto _ : Run)
    Bytes = Json::to_cbor(Json(TestFleet.State.entryConfiguration())).size();
  Run.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(configurationForEntries)->Arg(200)->Arg(415)->Arg(830);

void applyChange(benchmark::State &Run) {
  Fleet TestFleet(static_cast<int>(Run.range(0)));
  uint64_t Number = 0;
  for (auto _ : Run) {
    ++Number;
    TestFleet.State.apply(
        {"op-" + std::to_string(Number), "ada",
         GrantKey{"team-1", "key-" + std::to_string(Number)}});
  }
}
BENCHMARK(applyChange)->Arg(830);

template <class Policy> void queueStep(benchmark::State &Run) {
  FairQueue Queue{Policy{}};
  LocalRequestId Next = 0;
  auto Push = [&] {
    ++Next;
    Queue.push({Next, "team-" + std::to_string(Next % TeamCount),
                static_cast<uint32_t>(1 + Next % 5), false, 1.0});
  };
  for (int I = 0; I < Run.range(0); ++I)
    Push();
  for (auto _ : Run) {
    Push();
    benchmark::DoNotOptimize(
        Queue.pop([](const std::string &) { return true; }, false));
  }
}
BENCHMARK(queueStep<StartTimeFairQueueing>)->Arg(100)->Arg(10000);
BENCHMARK(queueStep<DeficitRoundRobin>)->Arg(100)->Arg(10000);
BENCHMARK(queueStep<FirstComeFirstServed>)->Arg(100)->Arg(10000);

void cancelInWaves(benchmark::State &Run) {
  FairQueue Queue{StartTimeFairQueueing{}};
  for (LocalRequestId I = 0; I < 10000; ++I)
    Queue.push({I, "team-" + std::to_string(I % TeamCount), 1, false, 1.0});
  LocalRequestId Next = 0;
  for (auto _ : Run) {
    Queue.remove(Next);
    Queue.push({Next, "team-1", 1, false, 1.0});
    Next = (Next + 1) % 10000;
  }
}
BENCHMARK(cancelInWaves);

} // namespace

BENCHMARK_MAIN();
