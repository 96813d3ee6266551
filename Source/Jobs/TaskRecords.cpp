#include "Jobs/TaskRecords.h"

#include <iterator>
#include <optional>
#include <utility>

namespace mimosashunt {

namespace {

/// Returns the number of tasks that are not done, or nothing if the tasks are
/// not those of the job's steps.
std::optional<uint64_t> countUnfinished(const JobSpec &Spec,
                                        const OccurrenceTasks &Tasks) {
  if (Tasks.size() != Spec.Steps.size())
    return std::nullopt;
  uint64_t Unfinished = 0;
  for (size_t I = 0; I < Tasks.size(); ++I) {
    if (Tasks[I].size() != Spec.Steps[I].Count)
      return std::nullopt;
    for (const TaskRecord &Task : Tasks[I])
      Unfinished += Task.Done ? 0 : 1;
  }
  return Unfinished;
}

} // namespace

uint64_t tasksPerOccurrence(const JobSpec &Spec) {
  uint64_t Count = 0;
  for (const StepSpec &Step : Spec.Steps)
    Count += Step.Count;
  return Count;
}

bool hasTask(const JobSpec &Spec, const TaskId &Task) {
  return Task.Occurrence < Spec.Recurrence.occurrences() &&
         Task.Step < Spec.Steps.size() &&
         Task.Index < Spec.Steps[Task.Step].Count;
}

TaskRecords::TaskRecords(const JobSpec &Spec)
    : Unfinished(tasksPerOccurrence(Spec) * Spec.Recurrence.occurrences()) {}

bool TaskRecords::hasEnded(uint32_t Occurrence) const {
  auto Next = Ended.upper_bound(Occurrence);
  return Next != Ended.begin() && Occurrence < std::prev(Next)->second;
}

uint32_t TaskRecords::firstUnfinished() const {
  bool HasFirstEnded = !Ended.empty() && Ended.begin()->first == 0;
  return HasFirstEnded ? Ended.begin()->second : 0;
}

uint32_t TaskRecords::unfinishedOccurrences(const JobSpec &Spec) const {
  uint32_t Count = Spec.Recurrence.occurrences();
  for (const auto &[Begin, End] : Ended)
    Count -= End - Begin;
  return Count;
}

const OccurrenceTasks *TaskRecords::find(uint32_t Occurrence) const {
  auto It = Opened.find(Occurrence);
  return It == Opened.end() ? nullptr : &It->second.Tasks;
}

OccurrenceTasks &TaskRecords::open(uint32_t Occurrence, const JobSpec &Spec) {
  auto [It, IsNew] = Opened.try_emplace(Occurrence);
  Open &Result = It->second;
  if (!IsNew)
    return Result.Tasks;
  Result.Unfinished = tasksPerOccurrence(Spec);
  Result.Tasks.reserve(Spec.Steps.size());
  for (const StepSpec &Step : Spec.Steps)
    Result.Tasks.emplace_back(Step.Count);
  return Result.Tasks;
}

void TaskRecords::markDone(const TaskId &Task, bool IsGang) {
  Open &Occurrence = Opened.at(Task.Occurrence);
  std::vector<TaskRecord> &Step = Occurrence.Tasks[Task.Step];
  uint32_t First = IsGang ? 0 : Task.Index;
  auto End = IsGang ? static_cast<uint32_t>(Step.size()) : Task.Index + 1;
  for (uint32_t I = First; I < End; ++I) {
    if (std::exchange(Step[I].Done, true))
      continue;
    --Occurrence.Unfinished;
    --Unfinished;
  }
  if (Occurrence.Unfinished > 0)
    return;
  Opened.erase(Task.Occurrence);
  markEnded(Task.Occurrence);
}

void TaskRecords::markEnded(uint32_t Occurrence) {
  uint32_t End = Occurrence + 1;
  auto Next = Ended.upper_bound(Occurrence);
  if (Next != Ended.end() && Next->first == End) {
    End = Next->second;
    Next = Ended.erase(Next);
  }
  if (Next != Ended.begin() && std::prev(Next)->second == Occurrence)
    std::prev(Next)->second = End;
  else
    Ended.emplace(Occurrence, End);
}

std::vector<OccurrenceRange> TaskRecords::endedOccurrences() const {
  std::vector<OccurrenceRange> Result;
  Result.reserve(Ended.size());
  for (const auto &[Begin, End] : Ended)
    Result.push_back({Begin, End});
  return Result;
}

bool TaskRecords::restore(const JobSpec &Spec,
                          const std::map<uint32_t, OccurrenceTasks> &Stored,
                          const std::vector<OccurrenceRange> &StoredEnded) {
  *this = TaskRecords(Spec);
  const uint32_t Occurrences = Spec.Recurrence.occurrences();
  const uint64_t TasksEach = tasksPerOccurrence(Spec);
  uint32_t PreviousEnd = 0;
  for (const OccurrenceRange &Range : StoredEnded) {
    bool TouchesPrevious = !Ended.empty() && Range.Begin == PreviousEnd;
    if (Range.Begin >= Range.End || Range.Begin < PreviousEnd ||
        TouchesPrevious || Range.End > Occurrences)
      return false;
    Ended.emplace(Range.Begin, Range.End);
    Unfinished -= TasksEach * (Range.End - Range.Begin);
    PreviousEnd = Range.End;
  }
  for (const auto &[Number, Tasks] : Stored) {
    std::optional<uint64_t> NotDone = countUnfinished(Spec, Tasks);
    if (Number >= Occurrences || hasEnded(Number) || !NotDone || *NotDone == 0)
      return false;
    Unfinished -= TasksEach - *NotDone;
    Opened.emplace(Number, Open{Tasks, *NotDone});
  }
  return true;
}

} // namespace mimosashunt
