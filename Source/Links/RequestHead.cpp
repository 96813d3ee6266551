#include "Links/RequestHead.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <strings.h>

namespace mimosashunt {

namespace {

constexpr std::string_view LengthField = "content-length:";
constexpr std::string_view Blanks = " \t";

bool beginsWithLengthField(std::string_view Line) {
  return Line.size() > LengthField.size() &&
         strncasecmp(Line.data(), LengthField.data(), LengthField.size()) == 0;
}

/// Returns 0 for what is no number; the HTTP parser refuses it.
uint64_t parseLength(std::string_view Text) {
  Text.remove_prefix(std::min(Text.find_first_not_of(Blanks), Text.size()));
  uint64_t Result = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  if (Parsed.ec == std::errc::result_out_of_range)
    return std::numeric_limits<uint64_t>::max();
  return Parsed.ec == std::errc() ? Result : 0;
}

} // namespace

void RequestHead::scan(std::string_view Bytes) {
  while (!Complete) {
    size_t End = Bytes.find('\n', Scanned);
    if (End == std::string_view::npos) {
      Scanned = Bytes.size();
      return;
    }
    std::string_view Line = Bytes.substr(LineStart, End - LineStart);
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    LineStart = Scanned = End + 1;
    scanLine(Line);
  }
}

void RequestHead::scanLine(std::string_view Line) {
  // Empty lines before the request line are allowed.
  Complete = Line.empty() && HasRequestLine;
  HasRequestLine |= !Line.empty();
  if (beginsWithLengthField(Line))
    ContentLength =
        std::max(ContentLength, parseLength(Line.substr(LengthField.size())));
}

} // namespace mimosashunt
