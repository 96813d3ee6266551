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
  Taken,
  Fenced,    // The worker has seen a higher fencing token.
  Outdated,  // An equal or higher attempt was stopped or has ended there.
  Late,      // The lease that the order carries is over on the worker's clock.
  NoRoom,    // It does not fit.
  NoTicket,  // Advice is missing or no longer valid.
  Unhealthy, // The worker did nothing.
  WrongLife, // Another life answers at that address.
  Invalid,   // The worker cannot read the order.
  NotSent,   // No connection: the worker saw nothing.
  Lost,      // No answer: it may be carried out, also later.
};

const char *nameOf(OrderOutcome Outcome);

struct StartOrder {
  TaskName Task;
  uint32_t Attempt = 0;
  std::string Payload;
  int64_t UntilMs = 0; // End of the lease, on the worker's clock.
  uint64_t Token = 0;
  std::string Checkpoint;
  std::string Ticket;
};

struct StopOrder {
  TaskName Task;
  uint32_t Attempt = 0;
  uint64_t Token = 0;
};

struct PaceOrder {
  TaskName Task;
  uint32_t Attempt = 0;
  uint32_t Percent = 100;
  uint64_t Token = 0;
};

/// Renews the lease of all that runs on a worker and reads its lists.
struct LookOrder {
  std::optional<int64_t> UntilMs;
  uint64_t Token = 0;
  uint64_t Noted = 0; // Ends up to this number may be forgotten.
  int64_t WaitMs = 0; // How long the answer may wait for an end.
};

struct OrderAnswer {
  OrderOutcome Outcome = OrderOutcome::Lost;
  std::optional<int64_t> ClockMs;
};

struct RunningTask {
  TaskName Task;
  uint32_t Attempt = 0;
  std::string Saved; // Checkpoint, or empty.
  int32_t Percent = 0;
  /// Tail in milliseconds of a task that serves, else its processor use.
  int64_t Gauge = 0;
};

enum class EndKind : uint8_t { Done, Failed, Stopped, Lapsed, Broken, Alone };

struct FinishedRun {
  uint64_t Number = 0;
  TaskName Task;
  uint32_t Attempt = 0;
  EndKind How = EndKind::Stopped;
  std::string Saved;
};

struct LookAnswer {
  OrderOutcome Outcome = OrderOutcome::Lost;
  std::optional<int64_t> ClockMs;
  std::vector<RunningTask> Running;
  std::vector<FinishedRun> Finished;
};

/// Advice on a step: the workers that may run it, with their tickets.
struct AdviceAnswer {
  bool Given = false;
  std::map<std::string, std::string> Tickets; // By worker id.
  int64_t ValidMs = 0;
};

class WorkerPort {
public:
  using OrderDone = std::function<void(const OrderAnswer &)>;
  using LookDone = std::function<void(const LookAnswer &)>;
  using AdviceDone = std::function<void(const AdviceAnswer &)>;

  virtual ~WorkerPort() = default;

  /// Each runs its callback once, never before it has returned.
  virtual void start(const WorkerEntry &To, const StartOrder &Order,
                     OrderDone Done) = 0;
  virtual void stop(const WorkerEntry &To, const StopOrder &Order,
                    OrderDone Done) = 0;
  virtual void pace(const WorkerEntry &To, const PaceOrder &Order,
                    OrderDone Done) = 0;
  virtual void look(const WorkerEntry &To, const LookOrder &Order,
                    LookDone Done) = 0;
  /// \p Step names any task of the step.
  virtual void advise(const TaskName &Step,
                      const std::vector<std::string> &Workers,
                      AdviceDone Done) = 0;
};

} // namespace mimosashunt

#endif
