#include "Ctl/ExplainCommand.h"

#include "Core/JsonFields.h"

#include <algorithm>
#include <iomanip>
#include <istream>
#include <ostream>
#include <tuple>

namespace mimosashunt {

namespace {

/// One event of a structured log.
struct LogEvent {
  int64_t At = 0; // Unix milliseconds.
  std::string Vm;
  std::string Name;
  Json Fields;
};

/// Returns true if the value of a field equals the id.
bool mentionsId(const Json &Fields, const std::string &Id) {
  return std::any_of(Fields.begin(), Fields.end(), [&](const Json &Value) {
    return Value.is_string() && Value.get<std::string>() == Id;
  });
}

/// Parses one log line; returns false if it is not an event.
bool parseLogLine(const std::string &Text, LogEvent &Result) {
  // A log collector may have put a prefix before the JSON object.
  size_t Start = Text.find('{');
  if (Start == std::string::npos)
    return false;
  Json In = Json::parse(Text.substr(Start), nullptr,
                        /*allow_exceptions=*/false);
  if (!In.is_object() || !In.contains("event") || !In.contains("at") ||
      !In.at("event").is_string() || !In.at("at").is_number_integer())
    return false;
  Result.At = In.at("at").get<int64_t>();
  Result.Name = In.at("event").get<std::string>();
  Result.Vm = In.value("vm", std::string());
  for (const char *Key : {"at", "event", "vm", "role"})
    In.erase(Key);
  Result.Fields = std::move(In);
  return true;
}

/// Prints an event with its time in seconds since the first one.
void printEvent(const LogEvent &Event, int64_t FirstAt, std::ostream &Out) {
  constexpr double MillisPerSecond = 1000;
  constexpr int EventWidth = 22;
  Out << std::fixed << std::setprecision(3) << std::setw(9)
      << static_cast<double>(Event.At - FirstAt) / MillisPerSecond << " s  "
      << std::left << std::setw(EventWidth) << Event.Name << std::right;
  for (const auto &[Key, Value] : Event.Fields.items())
    Out << ' ' << Key << '=' << Value.dump();
  Out << "  [" << Event.Vm << "]\n";
}

} // namespace

bool explain(const std::string &Id, const std::vector<std::istream *> &Inputs,
             std::ostream &Out) {
  std::vector<LogEvent> Events;
  size_t SkippedLines = 0;
  for (std::istream *In : Inputs) {
    std::string Text;
    while (std::getline(*In, Text)) {
      LogEvent Event;
      if (!parseLogLine(Text, Event))
        ++SkippedLines;
      else if (mentionsId(Event.Fields, Id))
        Events.push_back(std::move(Event));
    }
  }
  std::stable_sort(
      Events.begin(), Events.end(),
      [](const LogEvent &A, const LogEvent &B) { return A.At < B.At; });
  for (const LogEvent &Event : Events)
    printEvent(Event, Events.front().At, Out);
  if (Events.empty())
    Out << "no line mentions " << Id << '\n';
  if (SkippedLines > 0)
    Out << SkippedLines << " lines are no events and were passed over\n";
  return !Events.empty();
}

} // namespace mimosashunt
