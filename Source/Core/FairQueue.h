// Queue of the waiting requests of one service, shared among flows (teams, or
// open queues) by weight. The policy decides which flow is served next. A flow
// that may not start more requests is skipped, so that the queue never idles
// while another flow can run.

#ifndef MIMOSASHUNT_CORE_FAIRQUEUE_H
#define MIMOSASHUNT_CORE_FAIRQUEUE_H

#include "Core/EntryTypes.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mimosashunt {

/// Start-time fair queueing: the smallest virtual start time is served first.
struct StartTimeFairQueueing {
  bool operator==(const StartTimeFairQueueing &) const = default;
};

/// Deficit round robin: flows take turns, each in proportion to its weight.
struct DeficitRoundRobin {
  bool operator==(const DeficitRoundRobin &) const = default;
};

/// Order of arrival, whatever the flow.
struct FirstComeFirstServed {
  bool operator==(const FirstComeFirstServed &) const = default;
};

using QueuePolicy = std::variant<StartTimeFairQueueing, DeficitRoundRobin,
                                 FirstComeFirstServed>;

struct QueuedRequest {
  LocalRequestId Id = 0;
  std::string Flow;
  uint32_t Weight = 1;
  bool Urgent = false;
  /// Expected cost of the request, in any unit that all requests share.
  double Cost = 1.0;
};

class FairQueue {
public:
  /// Returns true if the flow may start a request.
  using FlowFilter = std::function<bool(const std::string &Flow)>;

  explicit FairQueue(QueuePolicy Policy) : Policy(Policy) {}

  void push(const QueuedRequest &Request);

  /// Removes and returns the next request among the flows that \p MayStart
  /// accepts; urgent requests first if \p UrgentFirst, otherwise last. Returns
  /// none if no such request waits.
  std::optional<QueuedRequest> pop(const FlowFilter &MayStart,
                                   bool UrgentFirst);

  /// Removes a request in constant time. Returns false if it is not queued.
  bool remove(LocalRequestId Id);

  size_t size() const { return Positions.size(); }
  bool empty() const { return Positions.empty(); }
  size_t urgentSize() const { return UrgentCount; }
  /// Returns the number of waiting requests of the flow.
  size_t waiting(const std::string &Flow) const;
  /// Returns how many waiting requests are served before a new one of \p Flow.
  /// Under a fair policy these are the flow's own, and of each other flow its
  /// share of the turns.
  double requestsAhead(const std::string &Flow, uint32_t Weight) const;
  std::map<std::string, uint32_t> waitingByFlow() const;
  /// Returns the last non-urgent request of each flow. It has the longest wait
  /// ahead of it, so later arrivals of other flows may make its deadline
  /// unreachable. Empty under FirstComeFirstServed, where they cannot.
  std::vector<QueuedRequest> lastOfEachFlow() const;

private:
  struct Entry {
    QueuedRequest Request;
    double ArrivedAt = 0; // In virtual time.
    uint64_t Order = 0;
  };
  struct Flow {
    std::list<Entry> Urgent;
    std::list<Entry> Normal;
    double LastFinish = 0; // Of the last served request, in virtual time.
    double Deficit = 0;
    bool empty() const { return Urgent.empty() && Normal.empty(); }
    size_t size() const { return Urgent.size() + Normal.size(); }
  };
  struct Position {
    std::string Flow;
    bool Urgent;
    std::list<Entry>::iterator Where;
  };

  using FlowIterator = std::map<std::string, Flow>::iterator;
  // Return the flow to serve next, or Flows.end() if none may start.
  FlowIterator selectFlow(const StartTimeFairQueueing &,
                          const FlowFilter &MayStart, bool Urgent);
  FlowIterator selectFlow(const DeficitRoundRobin &, const FlowFilter &MayStart,
                          bool Urgent);
  FlowIterator selectFlow(const FirstComeFirstServed &,
                          const FlowFilter &MayStart, bool Urgent);
  /// Pops among the urgent requests only, or among the others only.
  std::optional<QueuedRequest> popClass(const FlowFilter &MayStart,
                                        bool Urgent);
  /// Virtual start time of \p Head, the first request of \p Of.
  static double startTime(const Flow &Of, const Entry &Head);
  static std::list<Entry> &entriesOf(Flow &Of, bool Urgent);
  void eraseIfIdle(FlowIterator At);

  QueuePolicy Policy;
  // Holds only flows with waiting requests, or whose LastFinish is later than
  // VirtualTime.
  std::map<std::string, Flow> Flows;
  std::unordered_map<LocalRequestId, Position> Positions; // Of every request.
  size_t UrgentCount = 0; // Urgent requests in Positions.
  double VirtualTime = 0;
  uint64_t Arrivals = 0;
  std::string RoundAt; // Flow whose turn it is under DeficitRoundRobin.
};

} // namespace mimosashunt

#endif
