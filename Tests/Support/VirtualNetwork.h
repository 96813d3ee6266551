// Simulates a network in memory and in virtual time. It injects faults of links
// and nodes: message loss and duplication, data centre partitions, one-way
// silence, process freezes, restarts, and clock drift. The same seed gives the
// same run.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_VIRTUALNETWORK_H
#define MIMOSASHUNT_TESTS_SUPPORT_VIRTUALNETWORK_H

#include "Core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace mimosashunt::test {

/// Role of a simulated process.
enum class NodeKind { Control, Entry, Backend };

/// Identifies a simulated process by its role and its index within the role.
struct NodeName {
  NodeKind Kind;
  size_t Index;
  auto operator<=>(const NodeName &) const = default; // NOLINT
};

/// Delivers messages between simulated nodes in steps of one tick. Durations
/// given to the fault functions count from now().
class VirtualNetwork {
public:
  static constexpr Duration Tick = milliseconds(5);
  static constexpr size_t DataCentres = 3;

  VirtualNetwork(uint64_t Seed, unsigned LossPercent,
                 unsigned DuplicatePercent);

  Duration now() const { return Now; }
  void advance() { Now += Tick; }
  /// Returns the local time of \p Node, whose clock has its own offset and
  /// rate.
  Instant clock(NodeName Node) const;
  uint64_t random() { return Random(); }
  /// Returns true with a probability of \p Percent; always false before
  /// beginFaults() and after heal().
  bool drawChance(unsigned Percent);
  /// Draws whether a connection breaks while its request continues to run.
  bool breaksConnection() { return drawChance(LossPercent); }

  /// Sends a message that runs \p Arrive on delivery. It is dropped if the
  /// network loses it or the receiver restarts before it arrives; messages
  /// between control VMs may be delivered twice.
  void post(NodeName From, NodeName To, std::function<void()> Arrive);
  /// Delivers all messages that are due. Calls \p BeforeArrival with the
  /// receiver before each delivery.
  void deliver(const std::function<void(NodeName)> &BeforeArrival);

  /// True while \p Node is frozen or removed.
  bool frozen(NodeName Node) const;
  /// True while messages from \p A cannot reach \p B: a node is removed, the
  /// direction is silenced, or they are in different data centres of which one
  /// is partitioned.
  bool isDisconnected(NodeName A, NodeName B) const;

  /// Enables message loss, duplication and connection breaks.
  void beginFaults() { FaultsActive = true; }
  /// Suspends a process; messages to it wait until it continues.
  void freeze(NodeName Node, Duration Span) { FrozenUntil[Node] = Now + Span; }
  /// Partitions a data centre from the others.
  void cut(size_t DataCentre, Duration Span);
  /// Drops messages from \p From to \p To; the other direction works.
  void silence(NodeName From, NodeName To, Duration Span);
  /// Ends all partitions, silences, freezes and message loss. Removed nodes
  /// stay removed.
  void heal();
  /// Starts a new incarnation of \p Node: messages in flight to it are lost,
  /// and a removed node is back.
  void restartNode(NodeName Node);
  /// Removes the node until restartNode() is called for it.
  void removeNode(NodeName Node);

private:
  struct InFlightMessage {
    NodeName From;
    NodeName To;
    std::function<void()> Arrive;
    uint64_t ReceiverIncarnation; // At the time of sending.
  };

  std::mt19937_64 Random;
  const unsigned LossPercent;
  const unsigned DuplicatePercent;
  Duration Now{};
  bool FaultsActive = false;
  // By delivery time.
  std::multimap<Duration, InFlightMessage> InFlight;
  std::map<NodeName, uint64_t> Incarnations;
  std::set<NodeName> RemovedNodes;
  std::map<NodeName, Duration> FrozenUntil;
  std::map<size_t, Duration> CutUntil;
  std::map<std::pair<NodeName, NodeName>, Duration> SilentUntil;
};

} // namespace mimosashunt::test

#endif
