#include "Pools/WavePace.h"

#include <algorithm>

namespace mimosashunt {

namespace {

/// Rounds kept in hand: VMs fail, and orders are lost.
constexpr int64_t SpareRounds = 2;

} // namespace

WavePace wavePace(const WaveRest &Rest) {
  WavePace Pace;
  auto Rounds = static_cast<int64_t>((Rest.Waiting + Rest.MaxDown - 1) /
                                     std::max<size_t>(Rest.MaxDown, 1));
  Pace.Hurry = Rest.Left < Rest.RoundTime * (Rounds + SpareRounds);
  Duration Usable =
      std::max(Rest.Left - Rest.RoundTime * SpareRounds, Rest.RoundTime);
  Duration Work =
      Rest.RoundTime * static_cast<int64_t>(Rest.Waiting + Rest.InWork);
  auto Needed = static_cast<size_t>((Work.count() + Usable.count() - 1) /
                                    std::max<int64_t>(Usable.count(), 1));
  Pace.AtOnce =
      std::clamp<size_t>(Needed, 1, std::max<size_t>(Rest.MaxDown, 1));
  return Pace;
}

} // namespace mimosashunt
