#include "Jobs/JobCommands.h"

#include <exception>

namespace mimosashunt {

std::string encodeJobCommand(const JobCommand &Command) {
  return kindToCbor(Command);
}

bool decodeJobCommand(const std::string &Bytes, JobCommand &Result) {
  if (kindFromCbor(Bytes, Result))
    return true;
  // Commands of earlier versions, whose fields are ordered by name.
  try {
    Result = kindFromJson<JobCommand>(readCbor(Bytes));
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace mimosashunt
