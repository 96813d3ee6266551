// Workers in virtual time for tests of the scheduler: they run what they are
// told under leases, end it after its real duration, and can be made to fail,
// stand still, fall silent, or answer late. They check on each start what must
// always hold.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_VIRTUALWORKERS_H
#define MIMOSASHUNT_TESTS_SUPPORT_VIRTUALWORKERS_H

#include "Core/TimerService.h"
#include "Jobs/JobStore.h"
#include "Workers/WorkerPort.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt::test {

/// How one worker behaves.
struct WorkerFaults {
  bool IsUnreachable = false; // Nothing reaches it and nothing comes back.
  bool FailsAll = false;      // Each run ends failed after 50 ms.
  bool StandsStill = false;
  /// The next orders are carried out this much later, without an answer.
  Duration LateBy{};
  int LateOrders = 0;
};

struct WorkerRun {
  uint32_t Attempt = 0;
  Instant Began;
  Instant EndsAt;
  bool Stands = false;
  Resources Room;
  bool Fails = false;
};

struct VirtualWorker {
  WorkerEntry Entry;
  WorkerFaults Faults;
  uint64_t Token = 0;
  Instant LeaseUntil;
  Instant Born;
  std::map<TaskId, WorkerRun> Runs;
  std::map<TaskId, uint32_t> HighestEnded;
  std::vector<FinishedRun> Finished; // Not forgotten yet.
  uint64_t LastNumber = 0;
  std::vector<std::function<void()>> Looking; // Looks that wait for an end.
};

class VirtualWorkers : public WorkerPort {
public:
  /// \p RealMs gives the real duration of one task, negative if it fails.
  using RealMs = std::function<int64_t(const TaskId &, const StepSpec &)>;

  VirtualWorkers(TimerService &Timers, const JobStore &Store, RealMs Real);

  VirtualWorker &add(const std::string &Id, const std::string &Pool,
                     const std::string &Rack, Resources Room);
  VirtualWorker &at(const std::string &Id) { return Workers.at(Id); }
  /// The worker starts again under the same id and knows nothing of before.
  void restart(const std::string &Id);
  const std::map<std::string, VirtualWorker> &all() const { return Workers; }

  void startRun(const WorkerEntry &To, const StartOrder &Order,
                OrderCallback Done) override;
  void stopRun(const WorkerEntry &To, const StopOrder &Order,
               OrderCallback Done) override;
  void setPace(const WorkerEntry &To, const PaceOrder &Order,
               OrderCallback Done) override;
  void pollWorker(const WorkerEntry &To, const PollOrder &Order,
                  PollCallback Done) override;
  void requestAdvice(const TaskId &Step,
                     const std::vector<std::string> &Workers,
                     AdviceCallback Done) override;

  /// What was broken, one line each; empty in a sound run.
  std::vector<std::string> Violations;
  /// Starts of each task that were carried out.
  std::map<TaskId, int> StartCounts;
  std::set<TaskId> CompletedTasks;
  /// What each organisation has running.
  std::map<std::string, Resources> RunningByOrganisation;
  /// Paces that were ordered, in order.
  std::vector<PaceOrder> Paces;
  /// Gauge that workers list for a task.
  std::map<TaskId, int64_t> Gauges;

private:
  using Reply = std::function<void(OrderOutcome, bool Answer)>;

  void carry(const WorkerEntry &To, std::function<OrderOutcome()> Run,
             const OrderCallback &Done);
  OrderOutcome doStart(VirtualWorker &Worker, const StartOrder &Order);
  OrderOutcome doStop(VirtualWorker &Worker, const StopOrder &Order);
  void end(VirtualWorker &Worker, const TaskId &Task, EndKind How);
  void tick();
  int64_t clockOf(const VirtualWorker &Worker) const;
  VirtualWorker *find(const WorkerEntry &To);
  void checkStart(const VirtualWorker &Worker, const StartOrder &Order,
                  const StepSpec &Spec);
  PollResponse listsOf(const VirtualWorker &Worker) const;

  TimerService &Timers;
  const JobStore &Store;
  const RealMs Real;
  std::map<std::string, VirtualWorker> Workers;
};

} // namespace mimosashunt::test

#endif
