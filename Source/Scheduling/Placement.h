// Picks the worker for one task, and the workers for a gang, from the book of
// free room. Load pattern: many jobs whose data lies on one rack, steps that
// may not share a worker, gangs that need all their room at once, and a rack or
// a data centre lost in a burst: a job is late if any of its tasks is, so a
// step that comes and goes is kept together on as few workers as hold it.

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

/// A worker that may take tasks now, with what is left of it in this pass.
struct Candidate {
  TrackedWorker *Worker = nullptr;
  Resources Free;
  size_t Runs = 0;
  size_t LongRuns = 0; // Long-running ones among them.
  bool Probation = false;
};

/// The pool's workers that may take new tasks.
std::vector<Candidate> candidatesOf(WorkerTable &Table, const std::string &Pool,
                                    const WorkerHealth &Health, Instant Now);

/// What one task of a step asks for, beyond room.
struct PlacementRequest {
  const StepSpec *Spec = nullptr;
  const StepProgress *Step = nullptr;
  const TaskSlot *Slot = nullptr;
  bool NeedsTicket = false;
  Instant Now;
  /// Tasks of the step that still look for a place, this one included.
  uint32_t Remaining = 1;
  /// Where the task before this one went; taken again while it fits.
  Candidate *Beside = nullptr;
};

/// One pass over a pool's waiting work. Free room only shrinks in it, so that
/// what did not fit once does not fit later; a long backlog costs little.
class PlacementPass {
public:
  explicit PlacementPass(std::vector<Candidate> Candidates)
      : Candidates(std::move(Candidates)) {}

  /// The best candidate, or none. Takes the room from it.
  Candidate *place(const PlacementRequest &Request);
  /// A place for each task of a gang, or nothing if not all fit at once.
  std::optional<std::vector<Candidate *>>
  placeGang(const PlacementRequest &Request, size_t Count);

  const std::vector<Candidate> &candidates() const { return Candidates; }

private:
  Candidate *search(const PlacementRequest &Request);
  bool isTooLarge(const Resources &Room) const;
  std::optional<std::vector<Candidate *>>
  gangOn(const PlacementRequest &Request, size_t Count,
         const std::string &Rack);

  std::vector<Candidate> Candidates;
  std::vector<Resources> TooLarge; // Rooms that no candidate had.
};

} // namespace mimosashunt

#endif
