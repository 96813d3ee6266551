// Simulates the core's queue and wave decisions under generated load in virtual
// time and reports the deviation from fair shares, refusals, missed deadlines,
// roll-out time and the slack of disruption budgets.

#ifndef MIMOSASHUNT_BENCH_EXPERIMENT_H
#define MIMOSASHUNT_BENCH_EXPERIMENT_H

#include "Core/FairQueue.h"
#include "Core/WavePlanner.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosashunt {

/// Size of one user's deployment.
struct DeploymentProfile {
  std::string Name;
  int DataCentres;
  int Services;
  int Instances; // Per service.
  /// Weight of each team.
  std::vector<uint32_t> Shares;
  /// Percentage of the arrivals that come from each team.
  std::vector<int> Demand;
};

/// Results of simulateQueue().
struct QueueStatistics {
  /// Half the sum over teams of the difference between served requests and the
  /// weighted fair allocation, as a part of all served requests; the mean over
  /// windows in which requests always waited. Between 0 and 1.
  double ShareDeviation = 0;
  uint64_t Served = 0;
  uint64_t Refused = 0;
  /// Requests dropped because they left the queue after their deadline.
  uint64_t MissedDeadlines = 0;
  uint64_t Cancelled = 0;
};

/// Results of simulateWave().
struct WaveStatistics {
  int64_t RollOutSeconds = 0;
  /// Smallest number of live instances above the required ones over all
  /// services while no rack is down; negative if a budget was violated.
  int WorstSlack = 0;
  int Drains = 0;
};

/// Results of simulateUrgentQueue(): waits of urgent requests until they start,
/// in milliseconds.
struct UrgentStatistics {
  size_t Started = 0;
  int64_t Percentile99 = 0;
  int64_t Longest = 0;
};

/// Simulates one owner of \p Slots slots of a service that \p Teams teams
/// overload. A small part of the requests is urgent, and urgent requests go
/// first while they use less than \p UrgentPercent of the slots.
UrgentStatistics simulateUrgentQueue(int Slots, size_t Teams, int UrgentPercent,
                                     uint64_t Seed);
/// Simulates the queue of one service under bursts, with cancellations.
QueueStatistics simulateQueue(const DeploymentProfile &Deployment,
                              const QueuePolicy &Policy, uint64_t Seed);
/// Simulates one wave over all VMs, during which a random rack fails for a
/// while.
WaveStatistics simulateWave(const DeploymentProfile &Deployment,
                            const WavePolicy &Policy, uint64_t Seed);

} // namespace mimosashunt

#endif
