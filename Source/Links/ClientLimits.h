// Limits of one client of an HTTP server: the sizes of its requests and the
// time in which it must go on with them. They hold in calm; ConnectionBudget
// holds under pressure.

#ifndef MIMOSASHUNT_LINKS_CLIENTLIMITS_H
#define MIMOSASHUNT_LINKS_CLIENTLIMITS_H

#include "Core/Time.h"
#include "Links/ConnectionBudget.h"

#include <cstddef>

namespace mimosashunt {

struct ClientLimits {
  /// Of the request line and the headers with the empty line after them.
  /// Larger heads are refused with status 431.
  size_t MaxHeadBytes = 16384;
  /// Larger bodies are refused with status 413.
  size_t MaxBodyBytes = 1 << 20;
  /// From the first byte of a head to its end.
  Duration HeadTimeout = seconds(3);
  /// Between two requests, and between two pieces of a body or of a response.
  Duration IdleTimeout = seconds(5);
  bool operator==(const ClientLimits &) const = default;
};

/// How far a connection is, and since when.
struct ConnectionTiming {
  ConnectionPhase Phase = ConnectionPhase::Idle;
  Instant Since; // Of the phase.
  Instant LastProgress;
  bool HasWholeHead = false; // While receiving.
};

/// Returns true if the client took longer than its limits allow.
inline bool isOverdue(const ConnectionTiming &Timing,
                      const ClientLimits &Limits, Instant Now) {
  switch (Timing.Phase) {
  case ConnectionPhase::Idle:
    return Now - Timing.Since > Limits.IdleTimeout;
  case ConnectionPhase::Receiving:
    return Timing.HasWholeHead ? Now - Timing.LastProgress > Limits.IdleTimeout
                               : Now - Timing.Since > Limits.HeadTimeout;
  case ConnectionPhase::Handling:
    return false;
  case ConnectionPhase::Sending:
    return Now - Timing.LastProgress > Limits.IdleTimeout;
  }
  return false;
}

} // namespace mimosashunt

#endif
