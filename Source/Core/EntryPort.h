// Interface through which the entry VM's decision logic (EntryCore) sends
// messages; the daemon and the tests implement it.

#ifndef MIMOSASHUNT_CORE_ENTRYPORT_H
#define MIMOSASHUNT_CORE_ENTRYPORT_H

#include "Core/EntryTypes.h"
#include "Core/RecordTransfer.h"

#include <string>

namespace mimosashunt {

/// One attempt to run a request on a backend server.
struct Dispatch {
  LocalRequestId Id = 0;
  AttemptId Attempt;
  std::string Backend;
  std::string Address;
  /// Session of the backend server that the attempt belongs to.
  uint64_t Epoch = 0;
  /// The backend server stops the run after this time.
  Duration RunTimeout = Duration::zero();
  bool operator==(const Dispatch &) const = default;
};

/// A request that is forwarded to another entry VM.
struct Forward {
  LocalRequestId Id = 0;
  std::string Vm;
  std::string Address;
  Hop Via = Hop::Owner;
  Duration Timeout = Duration::zero();
  bool operator==(const Forward &) const = default;
};

/// A page of request records on its way to another keeper.
struct RecordTransfer {
  std::string Vm;
  std::string Address;
  /// Identifies the transfer in EntryCore::onTransferDone().
  uint64_t Number = 0;
  RecordPage Page;
  bool operator==(const RecordTransfer &) const = default;
};

class EntryPort {
public:
  virtual ~EntryPort() = default;

  /// Sends an attempt to a backend server. The result is passed to
  /// EntryCore::onAttemptDone().
  virtual void dispatchAttempt(const Dispatch &Order) = 0;

  /// Forwards a request to another entry VM. The result is passed to
  /// EntryCore::onForwardDone().
  virtual void forwardRequest(const Forward &Order) = 0;

  /// Sends a page of records to another entry VM. Whether the receiver
  /// accepted it is passed to EntryCore::onTransferDone().
  virtual void sendRecords(const RecordTransfer &Order) = 0;

  /// Gives the caller the final outcome. Called exactly once for each request.
  virtual void finishRequest(LocalRequestId Id, const Outcome &Result) = 0;
};

} // namespace mimosashunt

#endif
