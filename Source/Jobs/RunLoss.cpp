#include "Jobs/RunLoss.h"

#include <algorithm>
#include <map>

namespace mimosashunt {

bool RunLoss::isAtStart() const {
  constexpr int64_t MaxStartMs = 100;
  // Where other control VMs carry the orders, silence is noticed some hundred
  // milliseconds late.
  constexpr int64_t MaxAgeAtSilenceMs = 1000;
  return SurvivedMs <= MaxStartMs && AgeMs <= MaxAgeAtSilenceMs;
}

int weighLosses(const std::vector<RunLoss> &Losses, LossWeighing Weighing) {
  constexpr int WeightAlone = 2;
  constexpr int WeightBesideOthers = 1;
  std::map<uint32_t, int> WeightByAttempt;
  for (const RunLoss &Loss : Losses) {
    if (Weighing == LossWeighing::CertainOnly && !Loss.IsCertain)
      continue;
    int Weight = Loss.WasAlone ? WeightAlone : WeightBesideOthers;
    int &Heaviest = WeightByAttempt[Loss.Attempt];
    Heaviest = std::max(Heaviest, Loss.isAtStart() ? Weight : 0);
  }
  int Sum = 0;
  for (const auto &[Attempt, Weight] : WeightByAttempt)
    Sum += Weight;
  return std::max(Sum, static_cast<int>(WeightByAttempt.size()));
}

} // namespace mimosashunt
