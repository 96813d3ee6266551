#include "Daemon/Settings.h"

#include "Links/SocketAddress.h"

#include <fstream>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace mimosashunt {

namespace {

const char *const AddressFormat = "ip-port";

/// Returns the description of the schema at a dotted path, which is used as the
/// remedy, or an empty string if the path does not exist.
std::string findDescription(const Json &Schema, const std::string &Key) {
  const Json *Node = &Schema;
  std::stringstream Parts(Key);
  std::string Part;
  while (std::getline(Parts, Part, '.')) {
    bool IsIndex = Part.find_first_not_of("0123456789") == std::string::npos;
    if (IsIndex && Node->contains("items"))
      Node = &Node->at("items");
    else if (Node->contains("properties") &&
             Node->at("properties").contains(Part))
      Node = &Node->at("properties").at(Part);
    else
      return {};
  }
  return Node->value("description", std::string());
}

/// Joins the validator's path to a dotted path, without brackets and quotes.
std::string joinKeyPath(const std::vector<std::string> &Context) {
  std::string Result;
  for (const std::string &Segment : Context) {
    if (Segment == "<root>")
      continue;
    std::string Part = Segment;
    if (Part.size() > 2 && Part.front() == '[' && Part.back() == ']')
      Part = Part.substr(1, Part.size() - 2);
    if (Part.size() > 2 && Part.front() == '"' && Part.back() == '"')
      Part = Part.substr(1, Part.size() - 2);
    Result += (Result.empty() ? "" : ".") + Part;
  }
  return Result;
}

/// Returns the last quoted name in the validator's error about a missing or
/// unknown key.
std::string lastQuotedName(const std::string &Problem) {
  size_t Last = Problem.rfind('\'');
  if (Last == std::string::npos || Last == 0)
    return {};
  size_t First = Problem.rfind('\'', Last - 1);
  if (First == std::string::npos)
    return {};
  return Problem.substr(First + 1, Last - First - 1);
}

/// Translates an error of the validator into the wording of our diagnostics.
std::string translateValidatorError(const std::string &ErrorText) {
  auto Contains = [&](const char *Part) {
    return ErrorText.find(Part) != std::string::npos;
  };
  if (Contains("Missing required"))
    return "missing";
  if (Contains("could not be validated"))
    return "unknown key";
  if (Contains("'type' constraint"))
    return "wrong type";
  if (Contains("enum values"))
    return "not one of the choices";
  return ErrorText.substr(0, ErrorText.find_last_not_of('.') + 1);
}

/// Checks that every string with the address format is a valid "IP:port".
bool checkAddresses(const Json &Value, const Json &Schema,
                    const std::string &Key, SchemaFault &Fault) {
  if (Value.is_string() &&
      Schema.value("format", std::string()) == AddressFormat) {
    SocketAddress Address;
    if (!SocketAddress::parse(Value.get<std::string>(), Address))
      return true;
    Fault = {Key, "not an address of the form IP:port",
             Schema.value("description", std::string())};
    return false;
  }
  if (Value.is_object() && Schema.contains("properties")) {
    for (const auto &[Name, Part] : Value.items()) {
      if (!Schema.at("properties").contains(Name))
        continue;
      std::string Path = Key;
      Path.append(Key.empty() ? "" : ".").append(Name);
      if (!checkAddresses(Part, Schema.at("properties").at(Name), Path, Fault))
        return false;
    }
  }
  if (Value.is_array() && Schema.contains("items")) {
    for (size_t I = 0; I < Value.size(); ++I)
      if (!checkAddresses(Value[I], Schema.at("items"),
                          Key + "." + std::to_string(I), Fault))
        return false;
  }
  return true;
}

} // namespace

bool conforms(const Json &Value, const Json &Schema, SchemaFault &Fault) {
  valijson::Schema Parsed;
  valijson::SchemaParser Parser;
  valijson::adapters::NlohmannJsonAdapter SchemaAdapter(Schema);
  Parser.populateSchema(SchemaAdapter, Parsed);
  valijson::Validator Validator;
  valijson::ValidationResults Results;
  valijson::adapters::NlohmannJsonAdapter ValueAdapter(Value);
  if (Validator.validate(Parsed, ValueAdapter, &Results))
    return checkAddresses(Value, Schema, {}, Fault);
  // The innermost error comes first; the outer ones only say that a nested
  // value is invalid.
  valijson::ValidationResults::Error Error;
  Results.popError(Error);
  std::string Key = joinKeyPath(Error.context);
  bool EndsWithKeyName =
      Error.description.find("Missing required") != std::string::npos ||
      Error.description.find("could not be validated") != std::string::npos;
  if (EndsWithKeyName && !lastQuotedName(Error.description).empty())
    Key += (Key.empty() ? "" : ".") + lastQuotedName(Error.description);
  std::string Remedy = findDescription(Schema, Key);
  if (Remedy.empty())
    Remedy = "remove it; no such key exists";
  Fault = {Key, translateValidatorError(Error.description), Remedy};
  return false;
}

bool loadSettings(const std::string &File, const Json &Schema, Json &Settings,
                  std::string &Diagnostic) {
  std::ifstream In(File);
  if (!In) {
    Diagnostic = File + ": cannot be read; pass --settings=FILE";
    return false;
  }
  std::stringstream Text;
  Text << In.rdbuf();
  Settings = Json::parse(Text.str(), nullptr, /*allow_exceptions=*/false);
  if (Settings.is_discarded()) {
    Diagnostic = File + ": is no JSON; compare with docs/SETTINGS.md";
    return false;
  }
  SchemaFault Fault;
  if (conforms(Settings, Schema, Fault))
    return true;
  Diagnostic = File + ": key '" + Fault.Key + "': " + Fault.Problem +
               "; expected: " + Fault.Remedy;
  return false;
}

Json addressSchema(const std::string &Description) {
  return {{"type", "string"},
          {"format", AddressFormat},
          {"description", Description}};
}

} // namespace mimosashunt
