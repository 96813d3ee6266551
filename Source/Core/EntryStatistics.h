// Counters of request outcomes, retries and forwards, exported as metrics.

#ifndef MIMOSASHUNT_CORE_ENTRYSTATISTICS_H
#define MIMOSASHUNT_CORE_ENTRYSTATISTICS_H

#include "Core/EntryTypes.h"

#include <cstdint>
#include <map>

namespace mimosashunt {

/// Totals since the process started.
struct EntryStatistics {
  uint64_t Answers = 0;
  uint64_t Failed = 0;
  uint64_t Unknown = 0;
  uint64_t Retries = 0;
  uint64_t Forwards = 0;
  std::map<Refusal, uint64_t> Refused;

  /// Counts a final outcome under its kind; NotRun by its reason.
  void countOutcome(const Outcome &Result);
};

} // namespace mimosashunt

#endif
