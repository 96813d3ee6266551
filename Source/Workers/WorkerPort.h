// Orders to workers and their answers, and the interface that carries them.

#ifndef MIMOSASHUNT_WORKERS_WORKERPORT_H
#define MIMOSASHUNT_WORKERS_WORKERPORT_H

#include "Jobs/JobCommands.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

enum class OrderOutcome : uint8_t {
  Accepted,
  Fenced,       // The worker has seen a higher fencing token.
  StaleAttempt, // An equal or higher attempt was stopped or has ended there.
  LeaseExpired, // The lease that the order carries is over on the worker's
                // clock.
  NoCapacity,   // It does not fit.
  NoTicket,     // Advice is missing or no longer valid.
  Unhealthy,    // The worker did nothing.
  WrongIncarnation, // Another life answers at that address.
  Invalid,          // The worker cannot read the order.
  NotSent,          // No connection: the worker saw nothing.
  Unanswered,       // No answer: it may be carried out, also later.
};

const char *nameOf(OrderOutcome Outcome);

struct StartOrder {
  TaskId Task;
  uint32_t Attempt = 0;
  std::string Payload;
  int64_t LeaseEndMs = 0; // End of the lease, on the worker's clock.
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

/// Renews the lease of all that runs on a worker and reads its lists.
struct PollOrder {
  std::optional<int64_t> LeaseEndMs;
  uint64_t Token = 0;
  uint64_t AcknowledgedEnds = 0; // Ends up to this number may be forgotten.
  int64_t MaxWaitMs = 0;         // How long the answer may wait for an end.
};

struct OrderResponse {
  OrderOutcome Outcome = OrderOutcome::Unanswered;
  std::optional<int64_t> ClockMs;
};

struct RunningTask {
  TaskId Task;
  uint32_t Attempt = 0;
  std::string Checkpoint; // Checkpoint, or empty.
  int32_t ProgressPercent = 0;
  /// Tail in milliseconds of a task that serves, else its processor use.
  int64_t Gauge = 0;
};

enum class EndKind : uint8_t {
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  Broken,
  Alone
};

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
};

/// Advice on a step: the workers that may run it, with their tickets.
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

  /// Each runs its callback once, never before it has returned.
  virtual void startRun(const WorkerEntry &To, const StartOrder &Order,
                        OrderCallback Done) = 0;
  virtual void stopRun(const WorkerEntry &To, const StopOrder &Order,
                       OrderCallback Done) = 0;
  virtual void setPace(const WorkerEntry &To, const PaceOrder &Order,
                       OrderCallback Done) = 0;
  virtual void pollWorker(const WorkerEntry &To, const PollOrder &Order,
                          PollCallback Done) = 0;
  /// \p Step names any task of the step.
  virtual void requestAdvice(const TaskId &Step,
                             const std::vector<std::string> &Workers,
                             AdviceCallback Done) = 0;
};

} // namespace mimosashunt

#endif
