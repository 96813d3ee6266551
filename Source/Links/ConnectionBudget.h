// Bounds the memory and the number of the connections of one kind of peer.
// Expected fault: clients that nobody controls make a process hold more than
// its machine has, with parts of requests, with answers that they do not read,
// or with connections alone. Connections are charged for what they hold, not
// for what they announce. Decides only; the server counts and obeys.

#ifndef MIMOSASHUNT_LINKS_CONNECTIONBUDGET_H
#define MIMOSASHUNT_LINKS_CONNECTIONBUDGET_H

#include "Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mimosashunt {

/// Names a connection among those of one listener; never used again.
using ConnectionId = uint64_t;

/// What the connections of one kind of peer may take together.
struct ConnectionLimits {
  int64_t Bytes = 0;
  size_t Connections = 0;
  bool operator==(const ConnectionLimits &) const = default;
};

enum class ConnectionPhase {
  Idle,      // No byte of a request has arrived.
  Receiving, // A part of a request has arrived.
  Handling,  // A whole request awaits its response.
  Sending,   // A response is being written.
};

/// Charged for each connection: its own state and that of the HTTP parser.
inline constexpr int64_t ConnectionBaseBytes = 16 << 10;

class ConnectionBudget {
public:
  explicit ConnectionBudget(ConnectionLimits Limits) : Limits(Limits) {}

  /// Counts a new connection, which is idle. Returns the connections to close
  /// to make room for it; itself if that is not possible.
  std::vector<ConnectionId> open(ConnectionId Id, Instant Now);
  /// Does nothing if the connection does not count.
  void close(ConnectionId Id);

  void setPhase(ConnectionId Id, ConnectionPhase Phase, Instant Now);
  /// Sets what the connection holds beside ConnectionBaseBytes. Returns the
  /// connections to close so that the limit is kept, among them possibly this
  /// one. They do not count any more.
  std::vector<ConnectionId> setHeldBytes(ConnectionId Id, int64_t Bytes,
                                         Instant Now);

  /// True if the body of a request may be large. Under pressure only while
  /// there are old requests that would give way to it.
  bool admitsLargeBody(Instant Now) const;

  /// Adds bytes to a whole request that is about to be handled. Returns the
  /// connections to close for that, or nothing if there is no room even so; the
  /// request must then be refused.
  std::optional<std::vector<ConnectionId>> reserve(ConnectionId Id,
                                                   int64_t Bytes, Instant Now);

  /// Length of the largest body that a connection can hold; the parser's buffer
  /// takes up to twice as much.
  size_t largestBodyBytes() const {
    return static_cast<size_t>(maxLargeBytes() / 2);
  }

  int64_t usedBytes() const { return Used; }
  size_t connections() const { return Charges.size(); }
  const ConnectionLimits &limits() const { return Limits; }

private:
  struct Charge {
    ConnectionPhase Phase = ConnectionPhase::Idle;
    int64_t Bytes = ConnectionBaseBytes;
    Instant Since; // Of the phase.
    /// A request that is whole is not closed: its caller would not know whether
    /// it ran.
    bool isClosable() const { return Phase != ConnectionPhase::Handling; }
    bool isLarge() const;
  };
  using ChargeMap = std::map<ConnectionId, Charge>;

  /// Small requests keep the rest for themselves.
  int64_t maxLargeBytes() const { return Limits.Bytes * 3 / 4; }
  bool isOver() const { return Used > Limits.Bytes; }
  bool isOverWithLarge() const { return UsedByLarge > maxLargeBytes(); }
  /// Adds the charge to the sums, or takes it away if \p Sign is -1.
  void count(const Charge &Item, int Sign);
  void setCharge(Charge &Item, ConnectionPhase Phase, int64_t Bytes);
  void remove(ChargeMap::iterator Item);
  /// Returns the connection to close first for its bytes.
  ChargeMap::iterator costliest(bool OnlyLarge, Instant Now);
  /// Returns the connection to close first for its descriptor.
  ChargeMap::iterator mostDispensable();
  /// Takes connections out of the account until the limits on bytes are kept or
  /// no other may be closed.
  void makeRoom(std::vector<ConnectionId> &Closed, Instant Now);

  const ConnectionLimits Limits;
  ChargeMap Charges;
  int64_t Used = 0;
  int64_t UsedByLarge = 0; // Of Used.
  int64_t UsedByWhole = 0; // Of Used, by requests that are handled.
};

} // namespace mimosashunt

#endif
