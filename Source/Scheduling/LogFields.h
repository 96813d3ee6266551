// Fields of log events that several parts of the scheduler write.

#ifndef MIMOSASHUNT_SCHEDULING_LOGFIELDS_H
#define MIMOSASHUNT_SCHEDULING_LOGFIELDS_H

#include "Jobs/JobTypes.h"

#include <string>

namespace mimosashunt {

/// Returns the fields that name one attempt of a task.
inline Json taskFields(const TaskId &Task, uint32_t Attempt) {
  // An initializer list would build an array for each field first.
  Json Fields = Json::object();
  Fields["job"] = Task.Job;
  Fields["task"] = std::to_string(Task.Occurrence) + "." +
                   std::to_string(Task.Step) + "." + std::to_string(Task.Index);
  Fields["attempt"] = Attempt;
  return Fields;
}

} // namespace mimosashunt

#endif
