// Which request ids this entry VM keeps records of, and the handing over of
// records when the keepers change. An id's home is found by rendezvous hashing
// over the agreed keepers. A home takes an id up only once the home before it
// has handed over, or has lost its lease and is given up.

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

enum class RecordCoverage : uint8_t {
  None,       // The id has another home, or is not handed over yet.
  Incomplete, // Records may have been lost: an unknown id may have run.
  Complete,
};

class RecordKeeper {
public:
  /// \p Addresses are those of all entry VMs, by name.
  RecordKeeper(EntryRun Self, std::map<std::string, std::string> Addresses,
               TimerService &Timers, RecordLimits Limits, EntryPort &Port);

  /// Goes on as a new run, which keeps nothing until it is made a keeper.
  void restartAs(uint64_t Incarnation) { Self.Incarnation = Incarnation; }

  /// Takes the agreed keepers; an older set changes nothing.
  void updateKeepers(const KeeperSet &New);

  /// Empty while no keepers are known.
  std::string keeperOf(const std::string &RequestId) const;
  /// Only to be relied on while the configuration lease holds.
  Duty recordCoverage(const std::string &RequestId) const;

  RequestRecords &records() { return Records; }
  /// Sends what is known of an id to its home, if that is elsewhere.
  void queueForKeeper(const std::string &RequestId);

  /// Sends the next page to each keeper that something is for.
  void sendPendingPages();
  void onTransferDone(const std::string &Vm, uint64_t Number, bool Taken);

  /// Sendings that wait here for an end, and that end.
  struct Release {
    std::vector<LocalRequestId> Waiting;
    Outcome Result;
  };
  /// Takes a page; none if it is not of the present epoch.
  std::optional<std::vector<Release>> receivePage(const RecordPage &Page);

  /// The last epoch in which everything has moved from and to here.
  uint64_t settledEpoch() const;
  /// True if this VM keeps nothing that another could keep.
  bool hasNothingToTransfer() const;

private:
  struct Outgoing {
    std::deque<std::string> Ids;
    bool NeedsLast = false; // Until the last page was taken.
    bool InFlight = false;
    bool SendingLast = false;
    size_t Sending = 0; // Of Ids, from the front, in flight.
    uint64_t Number = 0;
  };

  bool isSelf(const EntryRun &Run) const { return Run == Self; }
  bool amKeeper() const;
  bool wasKeeper() const;
  void noteLosses();
  void sendPage(const std::string &Vm, Outgoing &To);
  RecordPage nextPage(Outgoing &To) const;

  EntryRun Self;
  const std::map<std::string, std::string> Addresses;
  TimerService &Timers;
  const RecordLimits Limits;
  EntryPort &Port;
  RequestRecords Records;
  KeeperSet Set;
  std::map<std::string, Outgoing> To;
  std::set<EntryRun> Received; // Have handed over in this epoch.
  std::set<EntryRun> Noted;    // Losses that were counted in.
  Instant IncompleteUntil;
  uint64_t Numbers = 0;
};

} // namespace mimosashunt

#endif
