// Fields of log events that several parts of the scheduler write.

#ifndef MIMOSASHUNT_SCHEDULING_LOGFIELDS_H
#define MIMOSASHUNT_SCHEDULING_LOGFIELDS_H

#include "Jobs/JobTypes.h"

#include <string>

namespace mimosashunt {

/// Returns the fields that name one attempt of a task.
inline Json taskFields(const TaskId &Task, uint32_t Attempt) {
  return {{"job", Task.Job},
          {"task", std::to_string(Task.Occurrence) + "." +
                       std::to_string(Task.Step) + "." +
                       std::to_string(Task.Index)},
          {"attempt", Attempt}};
}

} // namespace mimosashunt

#endif
