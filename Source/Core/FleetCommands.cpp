// Encodes fleet commands as CBOR and decodes them.

#include "Core/FleetCommands.h"

#include <exception>

namespace mimosashunt {

std::string encodeCommand(const FleetCommand &Command) {
  Json Out;
  Out["id"] = Command.OperationId;
  Out["operator"] = Command.Operator;
  Out["action"] = kindToJson(Command.Action);
  std::vector<uint8_t> Bytes = Json::to_cbor(Out);
  return {Bytes.begin(), Bytes.end()};
}

bool decodeCommand(const std::string &Bytes, FleetCommand &Command) {
  try {
    Json In = readCbor(Bytes);
    Command.OperationId = In.at("id").get<std::string>();
    Command.Operator = In.at("operator").get<std::string>();
    Command.Action = kindFromJson<FleetAction>(In.at("action"));
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace mimosashunt
