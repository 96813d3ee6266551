// Keeps back starts until the workers that they are meant for are on the record
// of their jobs. A new leader then knows, for each job, which workers may be
// running something of it, and waits only for those.

#ifndef MIMOSASHUNT_SCHEDULING_PLACEMENTRECORDS_H
#define MIMOSASHUNT_SCHEDULING_PLACEMENTRECORDS_H

#include "Jobs/JobStore.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace mimosashunt {

/// A run that is booked on a worker and whose start order was not sent.
struct BookedStart {
  TaskId Task;
  WorkerKey Worker;
  uint32_t Attempt = 0;
  bool operator==(const BookedStart &) const = default;
};

/// Starts whose orders are sent together or not at all: one, or those of a
/// gang.
using StartGroup = std::vector<BookedStart>;

class PlacementRecords {
public:
  explicit PlacementRecords(const JobStore &Store) : Store(Store) {}

  /// Returns true if the job's committed record names the worker.
  bool isRecorded(const JobId &Job, const WorkerKey &Worker) const;
  bool areRecorded(const StartGroup &Group) const;

  /// Makes a group wait until areRecorded(). Each task of it waits in no other
  /// group.
  void await(StartGroup Group);
  /// Returns the command that records what the groups wait for. Returns nothing
  /// while none waits or an earlier command is in flight.
  std::optional<RecordPlacements> takeProposal();

  /// Groups that no longer wait, in the order of await().
  struct Decided {
    std::vector<StartGroup> Recorded;
    /// Their record was not committed, or their job has ended.
    std::vector<StartGroup> Failed;
  };
  /// Called when the command in flight has been applied or has failed.
  Decided onProposed();

  /// Removes and returns the group of the task; empty if it waits in none.
  StartGroup withdraw(const TaskId &Task);

  /// Returns how many starts wait.
  size_t waitingStarts() const { return GroupByTask.size(); }

private:
  using Pair = std::pair<JobId, WorkerKey>;

  bool isProposed(const StartGroup &Group) const;
  StartGroup remove(uint64_t Number);

  const JobStore &Store;
  std::map<uint64_t, StartGroup> Groups; // By the order of await().
  std::map<TaskId, uint64_t> GroupByTask;
  std::set<Pair> Proposed; // By the command in flight.
  uint64_t LastNumber = 0;
};

} // namespace mimosashunt

#endif
