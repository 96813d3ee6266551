// Waiting requests of one service, shared among teams by weight. Which team
// goes next is a policy; a team that may not start more is passed over, so the
// queue never idles while another team could run.

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

/// Start-time fair queueing: the smallest virtual start time goes first.
struct StartTimeFairQueueing {
  bool operator==(const StartTimeFairQueueing &) const = default;
};

/// Deficit round robin: teams in turn, each by its weight.
struct DeficitRoundRobin {
  bool operator==(const DeficitRoundRobin &) const = default;
};

/// In order of arrival, whatever the team.
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
  /// Expected work of the request, in any unit that all requests share.
  double Cost = 1.0;
};

class FairQueue {
public:
  using Eligible = std::function<bool(const std::string &Flow)>;

  explicit FairQueue(QueuePolicy Policy) : Policy(Policy) {}

  void push(const QueuedRequest &Item);

  /// Takes the next request among eligible flows; urgent ones first if
  /// \p UrgentFirst.
  std::optional<QueuedRequest> pop(const Eligible &May, bool UrgentFirst);

  /// Removes a request in constant time. Returns false if it is not here.
  bool remove(LocalRequestId Id);

  size_t size() const { return Places.size(); }
  bool empty() const { return Places.empty(); }
  size_t urgentSize() const { return Urgent; }
  size_t waiting(const std::string &Flow) const;
  /// How many waiting requests are served before a new one of \p Flow: under a
  /// fair policy those of its own, and of the others their share of the turns.
  double requestsAhead(const std::string &Flow, uint32_t Weight) const;
  std::map<std::string, uint32_t> waitingByFlow() const;
  /// The last request of each flow that is not urgent: the one that waits
  /// longest yet, and which others' arrivals may put out of reach.
  std::vector<QueuedRequest> lastOfEachFlow() const;

private:
  struct Item {
    QueuedRequest Work;
    double ArrivedAt = 0; // In virtual time.
    uint64_t Order = 0;
  };
  struct Flow {
    std::list<Item> Urgent;
    std::list<Item> Normal;
    double LastFinish = 0; // Of what was served, in virtual time.
    double Deficit = 0;
    bool empty() const { return Urgent.empty() && Normal.empty(); }
    size_t size() const { return Urgent.size() + Normal.size(); }
  };
  struct Place {
    std::string Flow;
    bool Urgent;
    std::list<Item>::iterator At;
  };

  using FlowIterator = std::map<std::string, Flow>::iterator;
  FlowIterator choose(const StartTimeFairQueueing &, const Eligible &May,
                      bool Urgent);
  FlowIterator choose(const DeficitRoundRobin &, const Eligible &May,
                      bool Urgent);
  FlowIterator choose(const FirstComeFirstServed &, const Eligible &May,
                      bool Urgent);
  std::optional<QueuedRequest> popFrom(const Eligible &May, bool Urgent);
  static double startOf(const Flow &Of, const Item &Head);
  static std::list<Item> &listOf(Flow &Of, bool Urgent);
  void dropIfIdle(FlowIterator At);

  QueuePolicy Policy;
  // Only flows with waiting work, or whose virtual finish lies ahead.
  std::map<std::string, Flow> Flows;
  std::unordered_map<LocalRequestId, Place>
      Places;        // One for each waiting request.
  size_t Urgent = 0; // Of Places.
  double VirtualTime = 0;
  uint64_t Arrivals = 0;
  std::string RoundAt; // Flow whose turn it is in a round robin.
};

} // namespace mimosashunt

#endif
