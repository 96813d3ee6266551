// Tracks the entry VM's slice of each team's limit: how many requests the
// leader has granted, how many of those are being returned, and how many run.

#ifndef MIMOSASHUNT_CORE_SLICELEDGER_H
#define MIMOSASHUNT_CORE_SLICELEDGER_H

#include "Core/SyncTypes.h"

#include <map>
#include <string>
#include <vector>

namespace mimosashunt {

class SliceLedger {
public:
  /// Applies the leader's grants and starts to return the slots that it asks
  /// for. Grants with an older version than the held one are ignored.
  void updateGrants(const std::vector<SliceGrant> &Grants);

  /// Drops all grants when the entry VM registers as a new run. Requests that
  /// still run stay counted.
  void resetGrants();

  /// Returns true if one more request of the team may start here.
  bool mayStart(const std::string &Team) const;
  /// Counts a request of the team as running until endRequest().
  void startRequest(const std::string &Team);
  void endRequest(const std::string &Team);

  /// Returns how many requests of the team run here.
  uint32_t running(const std::string &Team) const;
  /// Returns how many requests of the team may run here at once.
  uint32_t usable(const std::string &Team) const;

  /// Returns the usage of every team that has a slice, or requests in
  /// \p Waiting, which holds the number of queued requests by team.
  std::vector<TeamUsage>
  usage(const std::map<std::string, uint32_t> &Waiting) const;

private:
  struct Slice {
    uint32_t Granted = 0;
    Revision Version = 0;
    /// At most this many requests run under Version; at most Granted.
    uint32_t Retained = 0;
    bool Releasing = false;
    uint32_t Running = 0;
  };

  std::map<std::string, Slice> Slices; // By team.
};

} // namespace mimosashunt

#endif
