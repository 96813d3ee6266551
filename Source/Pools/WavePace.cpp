#include "Pools/WavePace.h"

#include <algorithm>

namespace mimosashunt {

namespace {

/// Rounds reserved as slack, since VMs fail and orders are lost.
constexpr int64_t SpareRounds = 2;

} // namespace

WavePace computeWavePace(const WaveProgress &Progress) {
  WavePace Pace;
  auto Rounds = static_cast<int64_t>((Progress.Waiting + Progress.MaxDown - 1) /
                                     std::max<size_t>(Progress.MaxDown, 1));
  Pace.IncludeBusyPools =
      Progress.TimeLeft < Progress.RoundDuration * (Rounds + SpareRounds);
  Duration UsableTime =
      std::max(Progress.TimeLeft - Progress.RoundDuration * SpareRounds,
               Progress.RoundDuration);
  Duration TotalDuration =
      Progress.RoundDuration *
      static_cast<int64_t>(Progress.Waiting + Progress.InProgress);
  auto NeededConcurrency =
      static_cast<size_t>((TotalDuration.count() + UsableTime.count() - 1) /
                          std::max<int64_t>(UsableTime.count(), 1));
  Pace.Concurrency = std::clamp<size_t>(NeededConcurrency, 1,
                                        std::max<size_t>(Progress.MaxDown, 1));
  return Pace;
}

} // namespace mimosashunt
