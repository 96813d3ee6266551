#include "Ctl/ExplainCommand.h"

#include "Core/JsonFields.h"

#include <algorithm>
#include <iomanip>
#include <istream>
#include <ostream>
#include <tuple>

namespace mimosashunt {

namespace {

struct Line {
  int64_t At = 0; // Unix milliseconds.
  std::string Vm;
  std::string Event;
  Json Fields;
};

/// True if a field of the event holds the id itself.
bool mentions(const Json &Fields, const std::string &Id) {
  return std::any_of(Fields.begin(), Fields.end(), [&](const Json &Value) {
    return Value.is_string() && Value.get<std::string>() == Id;
  });
}

bool parse(const std::string &Text, Line &Result) {
  // A collector may have put its own words before the line.
  size_t Start = Text.find('{');
  if (Start == std::string::npos)
    return false;
  Json In = Json::parse(Text.substr(Start), nullptr,
                        /*allow_exceptions=*/false);
  if (!In.is_object() || !In.contains("event") || !In.contains("at") ||
      !In.at("event").is_string() || !In.at("at").is_number_integer())
    return false;
  Result.At = In.at("at").get<int64_t>();
  Result.Event = In.at("event").get<std::string>();
  Result.Vm = In.value("vm", std::string());
  for (const char *Key : {"at", "event", "vm", "role"})
    In.erase(Key);
  Result.Fields = std::move(In);
  return true;
}

void print(const Line &Item, int64_t Began, std::ostream &Out) {
  constexpr double MillisPerSecond = 1000;
  constexpr int EventWidth = 22;
  Out << std::fixed << std::setprecision(3) << std::setw(9)
      << static_cast<double>(Item.At - Began) / MillisPerSecond << " s  "
      << std::left << std::setw(EventWidth) << Item.Event << std::right;
  for (const auto &[Key, Value] : Item.Fields.items())
    Out << ' ' << Key << '=' << Value.dump();
  Out << "  [" << Item.Vm << "]\n";
}

} // namespace

bool explain(const std::string &Id, const std::vector<std::istream *> &Inputs,
             std::ostream &Out) {
  std::vector<Line> Lines;
  size_t Passed = 0;
  for (std::istream *In : Inputs) {
    std::string Text;
    while (std::getline(*In, Text)) {
      Line Item;
      if (!parse(Text, Item))
        ++Passed;
      else if (mentions(Item.Fields, Id))
        Lines.push_back(std::move(Item));
    }
  }
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const Line &A, const Line &B) { return A.At < B.At; });
  for (const Line &Item : Lines)
    print(Item, Lines.front().At, Out);
  if (Lines.empty())
    Out << "no line mentions " << Id << '\n';
  if (Passed > 0)
    Out << Passed << " lines are no events and were passed over\n";
  return !Lines.empty();
}

} // namespace mimosashunt
