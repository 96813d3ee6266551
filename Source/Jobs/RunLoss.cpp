#include "Jobs/RunLoss.h"

#include <algorithm>
#include <map>

namespace mimosashunt {

int weighLosses(const std::vector<RunLoss> &Losses, LossWeighing Weighing) {
  constexpr int HighWeight = 2;
  constexpr int LowWeight = 1;
  // A run that has survived for longer may as well have been there by chance.
  constexpr int64_t MaxStartMs = 500;
  std::map<uint32_t, int> WeightByAttempt;
  for (const RunLoss &Loss : Losses) {
    if (Weighing == LossWeighing::CertainOnly && !Loss.IsCertain)
      continue;
    int &Heaviest = WeightByAttempt[Loss.Attempt];
    bool IsTelling = Loss.WasAlone && Loss.SurvivedMs <= MaxStartMs;
    Heaviest = std::max(Heaviest, IsTelling ? HighWeight : LowWeight);
  }
  int Sum = 0;
  for (const auto &[Attempt, Weight] : WeightByAttempt)
    Sum += Weight;
  return Sum;
}

} // namespace mimosashunt
