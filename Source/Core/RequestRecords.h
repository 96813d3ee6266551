// Records of non-idempotent requests by their caller's request id, kept on the
// id's home entry VM. A resend finds the first sending's record and never runs
// again.

#ifndef MIMOSASHUNT_CORE_REQUESTRECORDS_H
#define MIMOSASHUNT_CORE_REQUESTRECORDS_H

#include "Core/EntryTypes.h"
#include "Core/RecordTransfer.h"
#include "Core/TimerService.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// The id is new here; the request may go on, and its end must be recorded.
struct RecordNew {};
/// The first sending is on its way; this one gets its outcome.
struct RecordAttached {};
/// The first sending's outcome.
struct RecordEnded {
  Outcome Result;
};
/// An id that came with another key or queue before.
struct RecordForeign {};

using RecordAnswer =
    std::variant<RecordNew, RecordAttached, RecordEnded, RecordForeign>;

struct RecordLimits {
  Duration Retention = seconds(60);
  size_t MaxRecords = 100000;
  size_t MaxBodyBytes = 64 << 10;
};

class RequestRecords {
public:
  RequestRecords(TimerService &Timers, RecordLimits Limits)
      : Timers(Timers), Limits(Limits) {}

  /// Notes a sending by \p Id under the request id. \p Scope tells apart
  /// callers that use the same id.
  RecordAnswer beginRequest(const std::string &RequestId,
                            const std::string &Scope, LocalRequestId Id);

  /// Records the outcome and returns the sendings that wait for it, the first
  /// one included. What did not run is forgotten, so that it can be sent
  /// again.
  std::vector<LocalRequestId> endRequest(const std::string &RequestId,
                                         const Outcome &Result);

  /// Takes back a sending that no longer waits for its outcome.
  void detach(const std::string &RequestId, LocalRequestId Id);

  /// The record as it goes to another keeper; none if there is none.
  std::optional<TransferredRecord>
  exportRecord(const std::string &RequestId) const;

  /// Takes a record from another keeper. Returns the sendings that wait here
  /// for its end, when \p Given is that end.
  std::vector<LocalRequestId> importRecord(const TransferredRecord &Given);

  /// Calls \p Each with every request id.
  template <class Do> void forEachId(Do Each) const {
    for (const auto &[Id, Item] : Records)
      Each(Id);
  }

  bool full() const { return Records.size() >= Limits.MaxRecords; }
  size_t size() const { return Records.size(); }

private:
  struct Record {
    std::string Scope;
    std::vector<LocalRequestId> Waiting; // Empty once Result is set.
    std::optional<Outcome> Result;
    Instant KeptSince; // Of an ended or adopted record.
  };
  struct Ended {
    Instant At;
    std::string RequestId;
  };

  void forgetOld();
  void keep(const std::string &RequestId, Record &Item);

  TimerService &Timers;
  RecordLimits Limits;
  std::map<std::string, Record> Records;
  std::deque<Ended> Order; // Ended or adopted records, oldest first.
};

/// The end that a handed record tells of; none while it is under way.
std::optional<Outcome> outcomeOf(const TransferredRecord &Given);

} // namespace mimosashunt

#endif
