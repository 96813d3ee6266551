// Selects the worker for a task, and the workers for a gang, by the free
// resources that the leader has on record. Expected load: many jobs whose data
// lies on one rack, steps that may not share a worker, gangs that need all
// their resources at once, and the loss of a rack or a data centre during a
// burst. A job is late if any of its tasks is, so a short-running step is
// packed onto as few workers as can hold it.

#ifndef MIMOSASHUNT_SCHEDULING_PLACEMENT_H
#define MIMOSASHUNT_SCHEDULING_PLACEMENT_H

#include "Scheduling/JobProgress.h"
#include "Scheduling/WorkerHealth.h"
#include "Workers/WorkerTable.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mimosashunt {

/// A worker that accepts tasks now, with the resources left on it in this pass.
struct Candidate {
  TrackedWorker *Worker = nullptr;
  Resources Free;
  size_t Runs = 0;
  size_t LongRunningCount = 0; // Number of long-running tasks among Runs.
  bool IsOnProbation = false;
  bool IsReserved = false;  // Only a canary may be placed there.
  bool HoldsCanary = false; // Nothing may be placed there.
  /// Tasks wait for capacity on its rack, so others go elsewhere if they can.
  bool IsAwaited = false;
};

/// Returns how many tasks of the step \p Room holds, at most \p Most.
uint32_t countTasksThatFit(const StepSpec &Spec, const Resources &Room,
                           uint32_t Most);

/// Returns the number of runs on the worker that may bring it down.
/// Long-running tasks that have survived on it for some seconds do not count.
size_t countUnproven(const TrackedWorker &Worker);

/// Returns true if the worker may get new tasks, as far as its own state says.
/// \p Store tells which data centres are evacuated.
bool isUsable(const TrackedWorker &Worker, const JobStore &Store);

/// Returns the pool's workers that may get new tasks.
std::vector<Candidate> findCandidates(WorkerTable &Table,
                                      const std::string &Pool,
                                      const WorkerHealth &Health,
                                      const JobStore &Store, Instant Now);

/// The requirements of one task to be placed.
struct PlacementRequest {
  const StepSpec *Spec = nullptr;
  const StepProgress *Step = nullptr;
  const TaskProgress *TaskState = nullptr;
  bool NeedsTicket = false;
  Instant Now;
  /// Tasks of the step that have no worker yet, including this one.
  uint32_t Remaining = 1;
  /// The worker must run nothing else, but for proven long-running tasks and
  /// members of the same gang.
  bool IsCanary = false;
  /// The step is likely to fail wherever it runs, so it leaves workers on
  /// probation to other steps if it can.
  bool IsSuspect = false;
  /// The worker chosen for the step's previous task; it is chosen again while
  /// the task fits there.
  Candidate *PreviousChoice = nullptr;
};

/// One scheduling pass over the waiting tasks of a pool. Free resources only
/// shrink during a pass, so a size that did not fit once is not tried again;
/// this keeps passes over a long backlog cheap.
class PlacementPass {
public:
  explicit PlacementPass(std::vector<Candidate> Candidates)
      : Candidates(std::move(Candidates)) {}

  /// Returns the best candidate and reserves the resources on it, or returns
  /// null if there is none.
  Candidate *placeTask(const PlacementRequest &Request);
  /// Like placeTask(), but only on the rack of the task's data.
  Candidate *placeTaskNear(const PlacementRequest &Request);
  /// Returns one candidate for each task of a gang and reserves the resources,
  /// or returns nothing if not all tasks fit at once. A gang that is to be on
  /// one rack spans several ones if it fits on none, unless \p InOneRack.
  std::optional<std::vector<Candidate *>>
  placeGang(const PlacementRequest &Request, size_t Count,
            bool InOneRack = false);
  /// Takes back what placeTask() or placeGang() reserved for a task that does
  /// not start.
  void release(Candidate &Chosen, const PlacementRequest &Request);
  /// Keeps tasks whose data is elsewhere off the rack while others have room.
  void preferOthersTo(const std::string &Rack);
  /// Returns the candidates on the rack.
  const std::vector<Candidate *> &candidatesIn(const std::string &Rack) {
    return findRack(Rack).Members;
  }

  /// Returns the worker that should be kept free for a canary: the one with the
  /// least on it of those that could hold the task, or null.
  TrackedWorker *chooseForCanary(const PlacementRequest &Request);
  /// Keeps other tasks off the worker in the rest of this pass.
  void reserveForCanary(const TrackedWorker &Worker);

  const std::vector<Candidate> &candidates() const { return Candidates; }

private:
  Candidate *findBestCandidate(const PlacementRequest &Request);
  bool isKnownUnplaceable(const Resources &Size) const;
  std::optional<std::vector<Candidate *>>
  tryPlaceGang(const PlacementRequest &Request, size_t Count,
               const std::string &Rack);

  std::vector<Candidate> Candidates;
  /// Sizes for which no candidate had enough free resources.
  std::vector<Resources> UnplaceableSizes;
  struct RackCandidates {
    std::vector<Candidate *> Members;
    std::vector<Resources> UnplaceableSizes;
  };
  RackCandidates &findRack(const std::string &Rack);

  std::map<std::string, RackCandidates> Racks; // Filled on first use.
};

} // namespace mimosashunt

#endif
