// Loads of the other entry VMs as last reported by the leader, and the choice
// of the peer that a request is forwarded to.

#ifndef MIMOSASHUNT_CORE_PEERTABLE_H
#define MIMOSASHUNT_CORE_PEERTABLE_H

#include "Core/SyncTypes.h"
#include "Core/TimerService.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

class PeerTable {
public:
  /// \p DataCentre is this entry VM's own. Loads older than \p Freshness are
  /// ignored unless a query allows them.
  PeerTable(std::string DataCentre, TimerService &Timers, Duration Freshness)
      : DataCentre(std::move(DataCentre)), Timers(Timers), Freshness(Freshness),
        UpdatedAt(Timers.now()) {}

  /// Replaces the list of peers.
  void updatePeers(std::vector<EntryPeer> New);

  struct PeerQuery {
    std::string Service;
    /// Peers that are not considered.
    std::set<std::string> Avoid;
    /// Considers only peers with a free slot.
    bool RequireFreeSlot = true;
    /// Considers loads older than Freshness, too: while the control VMs cannot
    /// be reached, old loads are better than none.
    bool AllowStale = false;
  };
  /// Returns the peer with the smallest fraction of used slots; a peer in the
  /// same data centre wins ties. None if no peer has slots of the service.
  std::optional<std::string> leastLoaded(const PeerQuery &Query) const;

  /// Counts a request as in flight to a peer until onForwardDone().
  void onForwardSent(const std::string &Vm) { ++InFlight[Vm]; }
  void onForwardDone(const std::string &Vm);

private:
  bool isCandidate(const EntryPeer &Peer, const PeerQuery &Query) const;
  /// Returns the fraction of the peer's slots that is used, plus a penalty for
  /// another data centre; none if the peer has no slots or, with
  /// \p RequireFreeSlot, no free one.
  std::optional<double> usedFraction(const EntryPeer &Peer,
                                     const ServiceLoad &Load,
                                     bool RequireFreeSlot) const;

  const std::string DataCentre;
  TimerService &Timers;
  const Duration Freshness;
  std::vector<EntryPeer> Peers;
  Instant UpdatedAt;                        // Of Peers.
  std::map<std::string, uint32_t> InFlight; // Forwarded requests by peer.
};

} // namespace mimosashunt

#endif
