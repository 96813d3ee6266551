#include "Jobs/JobCommands.h"

#include <exception>

namespace mimosashunt {

std::string encodeJobCommand(const JobCommand &Command) {
  std::vector<uint8_t> Bytes = Json::to_cbor(kindToJson(Command));
  return {Bytes.begin(), Bytes.end()};
}

bool decodeJobCommand(const std::string &Bytes, JobCommand &Result) {
  Json In = Json::from_cbor(Bytes, true, /*allow_exceptions=*/false);
  if (In.is_discarded())
    return false;
  try {
    Result = kindFromJson<JobCommand>(In);
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace mimosashunt
