// Decides which request ids this entry VM keeps records of, and transfers
// records when the set of keepers changes. The keeper of an id is found by
// rendezvous hashing over the agreed keeper set. A new keeper accepts an id
// only once the previous keeper has transferred its records, or has lost its
// lease and its records are given up.

#ifndef MIMOSASHUNT_CORE_RECORDKEEPER_H
#define MIMOSASHUNT_CORE_RECORDKEEPER_H

#include "Core/EntryPort.h"
#include "Core/RequestRecords.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

/// What the local records say about a request id.
enum class RecordCoverage : uint8_t {
  None,       // Another VM keeps the id, or its records are still to arrive.
  Incomplete, // Records may have been lost: an id without one may have run.
  Complete,   // An id without a record has not run.
};

class RecordKeeper {
public:
  /// \p Addresses maps the names of all entry VMs to their addresses.
  RecordKeeper(EntryRun Self, std::map<std::string, std::string> Addresses,
               TimerService &Timers, RecordLimits Limits, EntryPort &Port);

  /// Continues as a new run, which is no keeper until a later set names it.
  void restartAs(uint64_t Incarnation) { Self.Incarnation = Incarnation; }

  /// Adopts the agreed keeper set and starts to transfer the records that
  /// move. A set of an older epoch is ignored.
  void updateKeepers(const KeeperSet &New);

  /// Returns the entry VM that keeps the id; empty while no keepers are known.
  std::string keeperOf(const std::string &RequestId) const;
  /// Reliable only while the configuration lease is valid.
  RecordCoverage recordCoverage(const std::string &RequestId) const;

  RequestRecords &records() { return Records; }
  /// Queues the record of an id for its keeper, unless that is this VM.
  void queueForKeeper(const std::string &RequestId);

  /// Sends the next page to each keeper that has one pending and none in
  /// flight.
  void sendPendingPages();
  /// Handles the end of transfer \p Number to \p Vm. Unless \p Accepted, the
  /// page is sent again with the next sendPendingPages().
  void onTransferDone(const std::string &Vm, uint64_t Number, bool Accepted);

  /// Requests that wait here for an outcome, and that outcome.
  struct Release {
    std::vector<LocalRequestId> Waiting;
    Outcome Result;
  };
  /// Imports a page of records and returns the requests that it resolves.
  /// Returns none, and imports nothing, if the page is of another epoch.
  std::optional<std::vector<Release>> receivePage(const RecordPage &Page);

  /// Returns the last epoch whose transfers from and to this VM are all done.
  uint64_t settledEpoch() const;
  /// Returns true if this VM is no keeper and has no record left to transfer.
  bool hasNothingToTransfer() const;

private:
  struct Outgoing {
    std::deque<std::string> Ids;
    bool NeedsLast = false; // Until the last page has been accepted.
    bool InFlight = false;
    bool SendingLast = false;
    size_t Sending = 0; // Number of ids at the front of Ids in flight.
    uint64_t Number = 0;
  };

  bool isSelf(const EntryRun &Run) const { return Run == Self; }
  bool isKeeper() const;
  bool wasKeeper() const;
  /// Marks the records as incomplete for the retention time after the loss of
  /// a previous keeper.
  void updateIncompleteUntil();
  void sendPage(const std::string &Vm, Outgoing &To);
  RecordPage nextPage(Outgoing &To) const;

  EntryRun Self;
  const std::map<std::string, std::string> Addresses;
  TimerService &Timers;
  const RecordLimits Limits;
  EntryPort &Port;
  RequestRecords Records;
  KeeperSet Keepers;
  std::map<std::string, Outgoing> Transfers; // By receiving VM.
  // Runs that have transferred all their records in this epoch.
  std::set<EntryRun> Received;
  // Lost runs that IncompleteUntil takes into account already.
  std::set<EntryRun> CountedLosses;
  Instant IncompleteUntil;
  uint64_t LastTransferNumber = 0;
};

} // namespace mimosashunt

#endif
