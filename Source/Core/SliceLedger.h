// The entry VM's part of each team's limit: what it was granted, what it
// promised to give back, and what it has running.

#ifndef MIMOSASHUNT_CORE_SLICELEDGER_H
#define MIMOSASHUNT_CORE_SLICELEDGER_H

#include "Core/SyncTypes.h"

#include <map>
#include <string>
#include <vector>

namespace mimosashunt {

class SliceLedger {
public:
  /// Takes the leader's grants and starts giving back what it asks for.
  void update(const std::vector<SliceGrant> &Grants);

  /// Forgets all grants, for a new run. What still runs stays counted.
  void reset();

  /// True if one more request of the team may start here.
  bool mayStart(const std::string &Team) const;
  void startRequest(const std::string &Team);
  void endRequest(const std::string &Team);

  uint32_t running(const std::string &Team) const;
  uint32_t usable(const std::string &Team) const;

  /// Usage of every team that holds, runs or waits for something.
  std::vector<TeamUsage>
  usage(const std::map<std::string, uint32_t> &Waiting) const;

private:
  struct Slice {
    uint32_t Granted = 0;
    Revision Version = 0;
    /// At most this much is used under Version; at most Granted.
    uint32_t Keep = 0;
    bool Releases = false;
    uint32_t Running = 0;
  };

  std::map<std::string, Slice> Slices;
};

} // namespace mimosashunt

#endif
