// Runs the simulations and prints their results as CSV: one row per user,
// policy and seed.

#include "Experiment.h"

#include <cstdio>
#include <utility>

using namespace mimosashunt;

int main() {
  const DeploymentProfile Profiles[] = {
      {"ushirika", 3, 5, 10, {6, 3, 2, 1, 1, 1}, {30, 30, 20, 8, 6, 6}},
      {"ondamedia", 4, 5, 10, {4, 4, 2, 2, 1, 1}, {40, 20, 20, 10, 5, 5}}};
  const std::pair<const char *, QueuePolicy> Queues[] = {
      {"first-come", FirstComeFirstServed{}},
      {"deficit-round-robin", DeficitRoundRobin{}},
      {"start-time-fair", StartTimeFairQueueing{}}};
  const std::pair<const char *, WavePolicy> Waves[] = {
      {"one-at-a-time", OneAtATime{}},
      {"fixed-batch-4", FixedBatch{4}},
      {"as-wide-as-budgets", BudgetLimited{}}};
  std::puts("user,policy,seed,distance_from_share,served,refused,missed,"
            "cancelled,roll_out_seconds,worst_slack,drains");
  for (const DeploymentProfile &Deployment : Profiles)
    for (uint64_t Seed : {1, 2, 3}) {
      for (const auto &[Name, Policy] : Queues) {
        QueueStatistics Statistics = simulateQueue(Deployment, Policy, Seed);
        std::printf("%s,%s,%llu,%.4f,%llu,%llu,%llu,%llu,,,\n",
                    Deployment.Name.c_str(), Name,
                    static_cast<unsigned long long>(Seed),
                    Statistics.ShareDeviation,
                    static_cast<unsigned long long>(Statistics.Served),
                    static_cast<unsigned long long>(Statistics.Refused),
                    static_cast<unsigned long long>(Statistics.MissedDeadlines),
                    static_cast<unsigned long long>(Statistics.Cancelled));
      }
      for (const auto &[Name, Policy] : Waves) {
        WaveStatistics Statistics = simulateWave(Deployment, Policy, Seed);
        std::printf("%s,%s,%llu,,,,,,%lld,%d,%d\n", Deployment.Name.c_str(),
                    Name, static_cast<unsigned long long>(Seed),
                    static_cast<long long>(Statistics.RollOutSeconds),
                    Statistics.WorstSlack, Statistics.Drains);
      }
    }
  // With 830 VMs, 37 services, 8 slots per VM and 9 entry VMs, each owner has
  // about 20 slots of a service. All teams send requests to it.
  std::puts("urgent,slots,teams,seed,started,p99_millis,longest_millis");
  for (int Slots : {8, 20, 180})
    for (uint64_t Seed : {1, 2, 3}) {
      UrgentStatistics Statistics = simulateUrgentQueue(Slots, 37, 50, Seed);
      std::printf("urgent,%d,37,%llu,%zu,%lld,%lld\n", Slots,
                  static_cast<unsigned long long>(Seed), Statistics.Started,
                  static_cast<long long>(Statistics.Percentile99),
                  static_cast<long long>(Statistics.Longest));
    }
  return 0;
}
