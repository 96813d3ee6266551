#include "Core/EntryStatistics.h"

namespace mimosashunt {

void EntryStatistics::countOutcome(const Outcome &Result) {
  if (std::holds_alternative<Answered>(Result))
    ++Answers;
  else if (std::holds_alternative<RanAndFailed>(Result))
    ++Failed;
  else if (std::holds_alternative<OutcomeUnknown>(Result))
    ++Unknown;
  else
    ++Refused[std::get<NotRun>(Result).Reason];
}

} // namespace mimosashunt
