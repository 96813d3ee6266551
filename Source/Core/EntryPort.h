// What the entry VM's decisions ask of the daemon around them.

#ifndef MIMOSASHUNT_CORE_ENTRYPORT_H
#define MIMOSASHUNT_CORE_ENTRYPORT_H

#include "Core/EntryTypes.h"
#include "Core/RecordTransfer.h"

#include <string>

namespace mimosashunt {

struct Dispatch {
  LocalRequestId Id = 0;
  AttemptId Attempt;
  std::string Backend;
  std::string Address;
  uint64_t Epoch = 0;
  /// The run is stopped after this time.
  Duration RunTimeout = Duration::zero();
  bool operator==(const Dispatch &) const = default;
};

struct Forward {
  LocalRequestId Id = 0;
  std::string Vm;
  std::string Address;
  Hop Via = Hop::Owner;
  Duration Timeout = Duration::zero();
  bool operator==(const Forward &) const = default;
};

/// A page of records on its way to another keeper.
struct RecordTransfer {
  std::string Vm;
  std::string Address;
  uint64_t Number = 0;
  RecordPage Page;
  bool operator==(const RecordTransfer &) const = default;
};

class EntryPort {
public:
  virtual ~EntryPort() = default;

  /// Sends an attempt; its result comes back by EntryCore::attemptDone().
  virtual void dispatchAttempt(const Dispatch &Order) = 0;

  /// Sends a request on; its result comes back by EntryCore::forwardDone().
  virtual void forwardRequest(const Forward &Order) = 0;

  /// Sends a page; whether it was taken comes back by
  /// EntryCore::handOverDone().
  virtual void sendRecords(const RecordTransfer &Order) = 0;

  /// Gives the caller its final outcome. Called once for each request.
  virtual void finishRequest(LocalRequestId Id, const Outcome &Result) = 0;
};

} // namespace mimosashunt

#endif
