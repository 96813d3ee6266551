// Records of non-idempotent requests by the caller's request id, held by the
// id's keeper. A resend finds the record of the first sending and is not run
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

/// The id has no record. The request may be run, and its outcome must be
/// recorded with endRequest().
struct RecordCreated {};
/// The first sending is in flight; this one receives the same outcome.
struct RecordAttached {};
/// The first sending has ended with this outcome.
struct RecordEnded {
  Outcome Result;
};
/// The id was used with another key or queue before.
struct RecordConflict {};

using RecordLookup =
    std::variant<RecordCreated, RecordAttached, RecordEnded, RecordConflict>;

struct RecordLimits {
  /// How long a record is kept after its request ended.
  Duration Retention = seconds(60);
  size_t MaxRecords = 100000;
  /// Longer response bodies are not kept; see RequestRecords::endRequest().
  size_t MaxBodyBytes = 64 << 10;
};

class RequestRecords {
public:
  RequestRecords(TimerService &Timers, RecordLimits Limits)
      : Timers(Timers), Limits(Limits) {}

  /// Looks up the record of a request id, or creates it, for the sending
  /// \p Id. \p Scope distinguishes callers that use the same request id.
  RecordLookup beginRequest(const std::string &RequestId,
                            const std::string &Scope, LocalRequestId Id);

  /// Records the outcome and returns the sendings that wait for it, including
  /// the first. The record of a request that did not run is erased, so that
  /// the request can be sent again. A response with a body over MaxBodyBytes
  /// is recorded as a failure.
  std::vector<LocalRequestId> endRequest(const std::string &RequestId,
                                         const Outcome &Result);

  /// Removes a sending that no longer waits for its outcome.
  void detachSending(const std::string &RequestId, LocalRequestId Id);

  /// Returns the record in the form that is sent to another keeper; none if
  /// the id has no record.
  std::optional<TransferredRecord>
  exportRecord(const std::string &RequestId) const;

  /// Takes over a record from another keeper. If \p Transferred holds an
  /// outcome, returns the sendings that wait for it here.
  std::vector<LocalRequestId>
  importRecord(const TransferredRecord &Transferred);

  /// Calls \p Visit with every request id.
  template <class Visitor> void forEachId(Visitor Visit) const {
    for (const auto &[Id, Entry] : Records)
      Visit(Id);
  }

  bool isFull() const { return Records.size() >= Limits.MaxRecords; }
  size_t size() const { return Records.size(); }

private:
  struct Record {
    std::string Scope;
    std::vector<LocalRequestId> Waiting; // Empty once Result is set.
    std::optional<Outcome> Result;
    Instant RetainedSince; // When the record ended or was imported.
  };
  struct RetentionStart {
    Instant At;
    std::string RequestId;
  };

  void eraseExpired();
  /// Starts the retention time of a record.
  void startRetention(const std::string &RequestId, Record &Entry);

  TimerService &Timers;
  RecordLimits Limits;
  std::map<std::string, Record> Records; // By request id.
  // Ended or imported records, oldest first.
  std::deque<RetentionStart> RetentionOrder;
};

/// Returns the outcome in a transferred record; none while the request is in
/// flight.
std::optional<Outcome> outcomeOf(const TransferredRecord &Transferred);

} // namespace mimosashunt

#endif
