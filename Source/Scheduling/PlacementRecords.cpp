#include "Scheduling/PlacementRecords.h"

#include <algorithm>

namespace mimosashunt {

bool PlacementRecords::isRecorded(const JobId &Job,
                                  const WorkerKey &Worker) const {
  const JobRecord *Record = Store.findJob(Job);
  return Record != nullptr && Record->Placements.count(Worker) > 0;
}

bool PlacementRecords::areRecorded(const StartGroup &Group) const {
  return std::all_of(Group.begin(), Group.end(), [&](const BookedStart &Start) {
    return isRecorded(Start.Task.Job, Start.Worker);
  });
}

void PlacementRecords::await(StartGroup Group) {
  ++LastNumber;
  for (const BookedStart &Start : Group)
    GroupByTask[Start.Task] = LastNumber;
  Groups[LastNumber] = std::move(Group);
}

std::optional<RecordPlacements> PlacementRecords::takeProposal() {
  if (!Proposed.empty() || Groups.empty())
    return std::nullopt;
  for (const auto &[Number, Group] : Groups)
    for (const BookedStart &Start : Group)
      Proposed.emplace(Start.Task.Job, Start.Worker);
  RecordPlacements Command;
  for (const auto &[Job, Worker] : Proposed) {
    if (Command.Jobs.empty() || Command.Jobs.back().Job != Job)
      Command.Jobs.push_back({Job, {}});
    Command.Jobs.back().Workers.push_back(Worker);
  }
  return Command;
}

bool PlacementRecords::isProposed(const StartGroup &Group) const {
  return std::any_of(Group.begin(), Group.end(), [&](const BookedStart &Start) {
    return Proposed.count({Start.Task.Job, Start.Worker}) > 0 &&
           !isRecorded(Start.Task.Job, Start.Worker);
  });
}

PlacementRecords::Decided PlacementRecords::onProposed() {
  Decided Result;
  for (auto It = Groups.begin(); It != Groups.end();) {
    // A group of a later pass may need pairs of this command and of the next.
    uint64_t Number = (It++)->first;
    if (areRecorded(Groups[Number]))
      Result.Recorded.push_back(remove(Number));
    else if (isProposed(Groups[Number]))
      Result.Failed.push_back(remove(Number));
  }
  Proposed.clear();
  return Result;
}

StartGroup PlacementRecords::withdraw(const TaskId &Task) {
  auto It = GroupByTask.find(Task);
  return It == GroupByTask.end() ? StartGroup() : remove(It->second);
}

StartGroup PlacementRecords::remove(uint64_t Number) {
  StartGroup Group = std::move(Groups.at(Number));
  Groups.erase(Number);
  for (const BookedStart &Start : Group)
    GroupByTask.erase(Start.Task);
  return Group;
}

} // namespace mimosashunt
