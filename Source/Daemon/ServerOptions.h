// Options of the HTTP servers of mimosashunt-entry and mimosashunt-control.

#ifndef MIMOSASHUNT_DAEMON_SERVEROPTIONS_H
#define MIMOSASHUNT_DAEMON_SERVEROPTIONS_H

#include "Links/ConnectionPlan.h"
#include "Links/HttpServer.h"

namespace mimosashunt {

/// Returns the options of a server with this part of what a daemon may use for
/// connections. \p MemoryMb is all that the daemon may use, in MB.
inline HttpServerOptions serverOptions(int64_t MemoryMb, ConnectionPart Part) {
  // What the process takes without connections, with a margin.
  constexpr int64_t RestMb = 20;
  // The rest is for state, queues and records, for what the allocator keeps and
  // for what the kernel holds.
  constexpr int ConnectionPercent = 30;
  constexpr int64_t MinConnectionBytes = 8 << 20;
  HttpServerOptions Options;
  Options.Budget = limitsOf(
      {connectionBytes(MemoryMb, RestMb, ConnectionPercent, MinConnectionBytes),
       descriptorLimit()},
      Part);
  return Options;
}

} // namespace mimosashunt

#endif
