// Divides a process's memory and descriptors among its listeners, so that each
// kind of peer has a part that the others cannot use up.

#ifndef MIMOSASHUNT_LINKS_CONNECTIONPLAN_H
#define MIMOSASHUNT_LINKS_CONNECTIONPLAN_H

#include "Links/ConnectionBudget.h"

#include <cstddef>
#include <cstdint>

namespace mimosashunt {

/// What a process may use for the connections that it accepts, of what it may
/// use at all.
struct ConnectionResources {
  int64_t Bytes = 0;
  /// Descriptors of the whole process.
  size_t Descriptors = 0;
  bool operator==(const ConnectionResources &) const = default;
};

/// Part of one listener, in percent of ConnectionResources.
struct ConnectionPart {
  int BytesPercent = 0;
  int DescriptorsPercent = 0;
};

/// Returns how many descriptors the system lets this process have open.
size_t descriptorLimit();

/// Returns \p Percent of the memory that a process has beside \p RestMb, or
/// \p MinBytes if that is more. Memory in MB.
int64_t connectionBytes(int64_t MemoryMb, int64_t RestMb, int Percent,
                        int64_t MinBytes);

/// Returns the limits of one listener: those of its part, and no more
/// connections than there is memory for.
ConnectionLimits limitsOf(const ConnectionResources &All, ConnectionPart Part);

} // namespace mimosashunt

#endif
