#include "Core/PeerTable.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {
/// Added to the used fraction of peers in other data centres: crossing data
/// centres costs a little, so near peers win ties.
constexpr double RemotePenalty = 0.05;
} // namespace

void PeerTable::updatePeers(std::vector<EntryPeer> New) {
  Peers = std::move(New);
  UpdatedAt = Timers.now();
}

bool PeerTable::isCandidate(const EntryPeer &Peer,
                            const PeerQuery &Query) const {
  Duration Age = milliseconds(Peer.AgeMillis) + (Timers.now() - UpdatedAt);
  return !Query.Avoid.contains(Peer.Vm) &&
         (Age <= Freshness || Query.AllowStale);
}

std::optional<double> PeerTable::usedFraction(const EntryPeer &Peer,
                                              const ServiceLoad &Load,
                                              bool RequireFreeSlot) const {
  auto Forwarded = InFlight.find(Peer.Vm);
  uint32_t Sent = Forwarded == InFlight.end() ? 0 : Forwarded->second;
  uint32_t Used = std::max(Load.Running + Load.Waiting, Sent);
  if (Load.Slots == 0 || (RequireFreeSlot && Used >= Load.Slots))
    return std::nullopt;
  double Fraction = static_cast<double>(Used) / Load.Slots;
  return Peer.DataCentre == DataCentre ? Fraction : Fraction + RemotePenalty;
}

std::optional<std::string>
PeerTable::leastLoaded(const PeerQuery &Query) const {
  std::optional<std::string> Best;
  double BestFraction = 0;
  for (const EntryPeer &Peer : Peers) {
    if (!isCandidate(Peer, Query))
      continue;
    for (const ServiceLoad &Load : Peer.Services) {
      if (Load.Service != Query.Service)
        continue;
      std::optional<double> Fraction =
          usedFraction(Peer, Load, Query.RequireFreeSlot);
      if (!Fraction || (Best && *Fraction >= BestFraction))
        continue;
      Best = Peer.Vm;
      BestFraction = *Fraction;
    }
  }
  return Best;
}

void PeerTable::onForwardDone(const std::string &Vm) {
  auto Found = InFlight.find(Vm);
  if (Found != InFlight.end() && Found->second > 0)
    --Found->second;
}

} // namespace mimosashunt
