// Decides which step the advice service is asked about next, which workers are
// named and how long an answer is waited for. The service takes a time that its
// queue's policy states and that grows with the workers named, and handles the
// calls of one VM in turn. Expected load: more steps than it answers in
// seconds, policies of any length, and a service that is away or slower than
// its policy says.

#ifndef MIMOSASHUNT_SCHEDULING_ADVICEQUEUE_H
#define MIMOSASHUNT_SCHEDULING_ADVICEQUEUE_H

#include "Core/Time.h"
#include "Jobs/ServiceConfiguration.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mimosashunt {

struct AdviceOptions {
  /// Most workers that the service takes in one call.
  size_t MaxWorkersNamed = 100;
  /// Added to the time that the policy states, for the way and for a loaded
  /// service.
  Duration AnswerMargin = seconds(1);
  /// After each call without an answer the next one waits twice as long for its
  /// answer as the one before, up to this factor: the service may still be
  /// at work on the calls before it.
  int64_t MaxPatience = 4;
  /// Pause after a call without an answer; each further one doubles it.
  Duration FirstPause = milliseconds(250);
  Duration MaxPause = seconds(2);
};

/// A step that needs tickets.
struct AdviceNeed {
  TaskId Step; // Any task of it.
  std::string Queue;
  AdvicePolicy Policy;
  /// Ids of the workers without a decision, the most useful ones first.
  std::vector<std::string> Workers;
  /// Workers that its waiting tasks would take.
  size_t WorkersNeeded = 0;
  int64_t Priority = 0; // Zero is the highest priority.
  Instant Objective;
};

/// The next call to the service.
struct AdviceCall {
  TaskId Step; // Index is zero.
  std::vector<std::string> Workers;
  /// The call counts as unanswered after that.
  Duration Timeout{};
};

class AdviceQueue {
public:
  explicit AdviceQueue(AdviceOptions Options) : Options(Options) {}

  /// Adds a step, or replaces what was said of it before. Does nothing while it
  /// is being asked about.
  void add(const AdviceNeed &Need);
  /// Forgets each step for which \p IsWanted returns false.
  template <class Predicate> void removeUnless(Predicate IsWanted) {
    auto IsUnwanted = [&IsWanted](const auto &StepAndValue) {
      return !IsWanted(StepAndValue.first);
    };
    std::erase_if(Waiting, IsUnwanted);
    std::erase_if(CallsByStep, IsUnwanted);
  }
  /// Returns true if no call is under way, the service is not paused and some
  /// step waits.
  bool mayCall(Instant Now) const {
    return !InFlight && Now >= PausedUntil && !Waiting.empty();
  }
  /// Returns the next call; mayCall() is true. The caller reports its end.
  AdviceCall takeNext();
  /// Called when the call has ended. \p Granted is the number of workers that
  /// may run the step, or nothing if there was no usable answer.
  void onEnded(std::optional<size_t> Granted, Instant Now);

  size_t waitingSteps() const { return Waiting.size(); }
  uint64_t calls() const { return Calls; }
  uint64_t unansweredCalls() const { return UnansweredCalls; }

private:
  /// What the service has answered for one queue lately.
  struct GrantRate {
    double Named = 0;
    double Granted = 0;
  };
  struct CallInFlight {
    TaskId Step;
    std::string Queue;
    size_t Named = 0;
  };

  using Waiter = std::pair<const TaskId, AdviceNeed>;

  /// Returns true if \p Left is asked about before \p Right.
  bool isMoreUrgent(const Waiter &Left, const Waiter &Right) const;
  size_t countToName(const AdviceNeed &Need) const;
  Duration timeLimit(const AdvicePolicy &Policy, size_t Named) const;
  void recordGrants(size_t Granted);

  const AdviceOptions Options;
  std::map<TaskId, AdviceNeed> Waiting;
  /// How often a step was asked about, so that steps whose tickets run out do
  /// not keep the service from the others.
  std::map<TaskId, uint32_t> CallsByStep;
  std::map<std::string, GrantRate> GrantRates; // By queue.
  std::optional<CallInFlight> InFlight;
  uint32_t FailuresInARow = 0;
  Instant PausedUntil;
  uint64_t Calls = 0;
  uint64_t UnansweredCalls = 0;
};

} // namespace mimosashunt

#endif
