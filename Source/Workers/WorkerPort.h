// Orders to workers, their responses, and the interface that carries them.

#ifndef MIMOSASHUNT_WORKERS_WORKERPORT_H
#define MIMOSASHUNT_WORKERS_WORKERPORT_H

#include "Core/Time.h"
#include "Jobs/JobCommands.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

/// The result of an order to a worker.
enum class OrderOutcome : uint8_t {
  Accepted,
  Fenced,       // The worker has seen a higher fencing token.
  StaleAttempt, // An equal or higher attempt was stopped or has ended there.
  LeaseExpired, // The lease in the order has ended by the worker's clock.
  NoCapacity,   // The worker's free resources are too small.
  NoTicket,     // The ticket is missing or no longer valid.
  Unhealthy, // The worker refused as overloaded or unavailable and did nothing.
  WrongIncarnation, // Another worker answers at that address.
  Invalid,          // The worker could not parse the order.
  NotSent,          // No connection; the worker did not receive the order.
  Unanswered, // No usable response; the order may be carried out, also later.
  /// The worker has restarted under its id, and the next process answers. It
  /// cannot tell whom an order was meant for, so it may have carried out this
  /// and earlier ones.
  Restarted,
};

const char *nameOf(OrderOutcome Outcome);

struct StartOrder {
  TaskId Task;
  uint32_t Attempt = 0;
  std::string Payload;
  int64_t LeaseEndMs = 0; // End of the lease, by the worker's clock.
  uint64_t Token = 0;
  std::string Checkpoint;
  std::string Ticket;
};

struct StopOrder {
  TaskId Task;
  uint32_t Attempt = 0;
  uint64_t Token = 0;
};

struct PaceOrder {
  TaskId Task;
  uint32_t Attempt = 0;
  uint32_t Percent = 100;
  uint64_t Token = 0;
};

/// Renews the lease of all runs on a worker and reads its lists of running and
/// ended runs.
struct PollOrder {
  std::optional<int64_t> LeaseEndMs;
  uint64_t Token = 0;
  /// The worker may forget ended runs up to this number.
  uint64_t AcknowledgedEnds = 0;
  /// How long the worker may wait for a run to end before it responds.
  int64_t MaxWaitMs = 0;
};

/// Renews the lease of all runs on a worker and reads nothing. Acknowledges no
/// ends: they would be those of another process if the worker has restarted.
struct RenewOrder {
  int64_t LeaseEndMs = 0; // By the worker's clock.
  uint64_t Token = 0;
};

struct OrderResponse {
  OrderOutcome Outcome = OrderOutcome::Unanswered;
  std::optional<int64_t> ClockMs;
  /// As in PollResponse; only renewals learn of it.
  int64_t Incarnation = 0;
};

/// One row of a worker's list of running tasks.
struct RunningTask {
  TaskId Task;
  uint32_t Attempt = 0;
  std::string Checkpoint; // Empty if there is none.
  int32_t ProgressPercent = 0;
  /// Tail latency in milliseconds of a task that serves requests, otherwise its
  /// processor use.
  int64_t Gauge = 0;
};

/// How a run ended.
enum class EndKind : uint8_t {
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  Broken,
  Alone
};

/// One row of a worker's list of ended runs.
struct FinishedRun {
  uint64_t Number = 0;
  TaskId Task;
  uint32_t Attempt = 0;
  EndKind Kind = EndKind::Stopped;
  std::string Checkpoint;
};

struct PollResponse {
  OrderOutcome Outcome = OrderOutcome::Unanswered;
  std::optional<int64_t> ClockMs;
  std::vector<RunningTask> Running;
  std::vector<FinishedRun> Finished;
  /// With outcome Restarted: the incarnation that answers, in Unix
  /// milliseconds.
  int64_t Incarnation = 0;
  /// More runs have ended than a response holds; the rest follows once these
  /// are acknowledged.
  bool HasMoreEnds = false;
  /// Tasks named by rows of running tasks that cannot be read otherwise: each
  /// may run with any attempt.
  std::set<TaskId> UnreadableRuns = {};
  /// Tasks named by rows of ended runs that cannot be read otherwise: how a run
  /// of each ended is unknown.
  std::set<TaskId> UnreadableEnds = {};

  /// Returns true if a row names the task that cannot be read otherwise.
  bool isNamedUnreadably(const TaskId &Task) const {
    return UnreadableRuns.count(Task) > 0 || UnreadableEnds.count(Task) > 0;
  }
};

/// The advice service's response for a step: the workers that may run it, with
/// their tickets.
struct AdviceResponse {
  bool IsAvailable = false;
  std::map<std::string, std::string> Tickets; // By worker id.
  int64_t ValidityMs = 0;
};

class WorkerPort {
public:
  using OrderCallback = std::function<void(const OrderResponse &)>;
  using PollCallback = std::function<void(const PollResponse &)>;
  using AdviceCallback = std::function<void(const AdviceResponse &)>;

  virtual ~WorkerPort() = default;

  /// Each function calls its callback exactly once, never before it has
  /// returned.
  virtual void startRun(const WorkerEntry &To, const StartOrder &Order,
                        OrderCallback Done) = 0;
  virtual void stopRun(const WorkerEntry &To, const StopOrder &Order,
                       OrderCallback Done) = 0;
  virtual void setPace(const WorkerEntry &To, const PaceOrder &Order,
                       OrderCallback Done) = 0;
  virtual void pollWorker(const WorkerEntry &To, const PollOrder &Order,
                          PollCallback Done) = 0;
  virtual void renewLease(const WorkerEntry &To, const RenewOrder &Order,
                          OrderCallback Done) = 0;
  /// Asks the advice service which of \p Workers may run a step. \p Step names
  /// any task of the step. Without an answer within \p Timeout the response is
  /// unavailable.
  virtual void requestAdvice(const TaskId &Step,
                             const std::vector<std::string> &Workers,
                             Duration Timeout, AdviceCallback Done) = 0;
};

} // namespace mimosashunt

#endif
