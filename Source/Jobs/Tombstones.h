// Ids of jobs that were cancelled before a submission of them was accepted.
// Expected fault: a submission that is held up on its way, by a frozen entry VM
// or by the network, and is read after the cancellation was acknowledged. Each
// tombstone keeps its id from being accepted until it ends. Replicated, so that
// it outlives a change of leader; the time at which tombstones end is part of
// the commands, so that all replicas end the same ones.

#ifndef MIMOSASHUNT_JOBS_TOMBSTONES_H
#define MIMOSASHUNT_JOBS_TOMBSTONES_H

#include "Jobs/JobTypes.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mimosashunt {

/// The time in the log: milliseconds that leaders have spent, by their steady
/// clocks, as commands carry it. It never decreases and is the same on all
/// replicas that have applied the same commands. It stands still while nobody
/// leads, so what ends by it never ends early.
using LogMillis = int64_t;

/// Whose job of an id a tombstone is for.
struct JobOwner {
  std::string Queue;
  std::string Organisation; // Empty on public queues, for any caller there.
  auto operator<=>(const JobOwner &) const = default; // NOLINT

  /// Returns true if this owner may cancel jobs that \p Submitter submits to
  /// \p OtherQueue.
  bool covers(const std::string &OtherQueue,
              const std::string &Submitter) const {
    return Queue == OtherQueue &&
           (Organisation.empty() || Organisation == Submitter);
  }

  static void describe(auto &Self, auto Field) {
    Field("queue", Self.Queue);
    Field("org", Self.Organisation);
  }
};

struct Tombstone {
  JobOwner Owner;
  JobId Job;
  LogMillis EndsAt = 0;
  bool operator==(const Tombstone &) const = default;

  static void describe(auto &Self, auto Field) {
    Field("owner", Self.Owner);
    Field("job", Self.Job);
    Field("ends", Self.EndsAt);
  }
};

class Tombstones {
public:
  using EndsByJob = std::map<JobId, LogMillis>;

  Tombstones() = default;
  Tombstones(const Tombstones &) = delete;
  Tombstones &operator=(const Tombstones &) = delete;
  Tombstones(Tombstones &&) = default;
  Tombstones &operator=(Tombstones &&) = default;
  ~Tombstones() = default;

  /// Adds a tombstone, or prolongs the one that its owner has for the id. Does
  /// nothing if it has ended already.
  void add(const Tombstone &Added);
  /// Ends all tombstones whose time has come. Earlier times change nothing.
  void advance(LogMillis To);

  /// Returns true if a submission of \p Job must not be accepted.
  bool covers(const JobId &Job, const std::string &Queue,
              const std::string &Organisation) const;
  /// Returns when the tombstone ends, or nothing if there is none.
  std::optional<LogMillis> endOf(const JobOwner &Owner, const JobId &Job) const;
  /// Returns when the next tombstone may end, or nothing if there is none.
  std::optional<LogMillis> nextEnd() const;
  LogMillis now() const { return Now; }
  size_t size() const { return Count; }
  size_t countOf(const std::string &Organisation) const;

  const std::map<JobOwner, EndsByJob> &byOwner() const { return Owners; }

private:
  /// Where a tombstone is held.
  struct Place {
    std::map<JobOwner, EndsByJob>::iterator Owner;
    EndsByJob::iterator Job;
  };

  std::map<JobOwner, EndsByJob> Owners;
  /// By the time at which they were to end when they were added or prolonged. A
  /// prolonged tombstone has several entries; the last one ends it.
  std::multimap<LogMillis, Place> Ends;
  std::map<std::string, size_t> CountByOrganisation;
  size_t Count = 0;
  LogMillis Now = 0;
};

} // namespace mimosashunt

#endif
