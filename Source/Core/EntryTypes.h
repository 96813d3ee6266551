// Requests, outcomes and sessions as the entry VM's decisions see them.

#ifndef MIMOSASHUNT_CORE_ENTRYTYPES_H
#define MIMOSASHUNT_CORE_ENTRYTYPES_H

#include "Core/FleetTypes.h"
#include "Core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// An entry VM as the settings name it; every entry VM has the same list.
struct EntryVm {
  std::string Vm;
  std::string DataCentre;
  std::string PeerAddress;
  bool operator==(const EntryVm &) const = default;
};

/// A request inside one entry VM.
using LocalRequestId = uint64_t;

/// One sending of a request to a backend server; never used twice, also not
/// across restarts.
using AttemptId = std::string;

/// Which part of the path a request reaches this entry VM on.
enum class Hop : uint8_t {
  Caller = 0, // From a caller.
  Keeper = 1, // From another entry VM, to the keeper of its request id.
  Owner = 2,  // From another entry VM, to an owner of backend servers.
};

struct EntryRequest {
  std::string Queue;
  /// Digest of the key that came with the request; empty without a key.
  KeyDigest Digest;
  /// Team that the caller says it acts for; empty if it does not say.
  std::string ClaimedTeam;
  /// The caller's name for the request; resends carry the same.
  std::string RequestId;
  bool Idempotent = false;
  /// True if the caller says that it never sent this id before.
  bool FirstSend = false;
  /// Zero takes the queue's own deadline.
  Duration Timeout = Duration::zero();
  Hop Via = Hop::Caller;

  /// True if resends must find what became of the first sending.
  bool needsRecord() const {
    return !RequestId.empty() && !Idempotent && Via != Hop::Owner;
  }
  bool operator==(const EntryRequest &) const = default;
};

/// A backend server's whole answer.
struct BackendResponse {
  int Status = 0;
  std::string ContentType;
  std::string Body;
  bool operator==(const BackendResponse &) const = default;
};

enum class Refusal : uint8_t {
  UnknownQueue,
  KeyRequired,
  KeyRefused,
  TeamMismatch,
  LeaseExpired,
  NoBackendServer,
  QueueFull,
  DeadlineUnreachable,
  DeadlinePassed,
  KeeperUnreachable,
  Cancelled,
};

struct Answered {
  BackendResponse Response;
  bool operator==(const Answered &) const = default;
};

/// Nothing of this sending ran.
struct NotRun {
  Refusal Reason = Refusal::NoBackendServer;
  /// When coming back can help; none if it cannot.
  std::optional<Duration> RetryAfter;
  /// True if an earlier sending under the same id may have run; otherwise the
  /// request has not run at all.
  bool EarlierMayHaveRun = false;
  bool operator==(const NotRun &) const = default;
};

/// The request ran, at least in part, and there is no answer to give.
struct RanAndFailed {
  std::string Detail;
  bool operator==(const RanAndFailed &) const = default;
};

/// The request may have run, may run still, or may not.
struct OutcomeUnknown {
  std::string Detail;
  bool operator==(const OutcomeUnknown &) const = default;
};

using Outcome = std::variant<Answered, NotRun, RanAndFailed, OutcomeUnknown>;

/// A backend server refused before running anything.
struct AttemptRefused {
  bool operator==(const AttemptRefused &) const = default;
};
/// No byte of the attempt left.
struct AttemptNotSent {
  bool operator==(const AttemptNotSent &) const = default;
};
/// The attempt may have arrived, and its whole answer did not.
struct AttemptLost {
  bool operator==(const AttemptLost &) const = default;
};
/// The backend server stopped the run.
struct AttemptStopped {
  bool operator==(const AttemptStopped &) const = default;
};

using AttemptResult = std::variant<Answered, AttemptRefused, AttemptNotSent,
                                   AttemptLost, AttemptStopped>;

/// What became of a request that was sent on to another entry VM.
struct ForwardNotSent {
  bool operator==(const ForwardNotSent &) const = default;
};
struct ForwardLost {
  bool operator==(const ForwardLost &) const = default;
};
using ForwardResult = std::variant<Outcome, ForwardNotSent, ForwardLost>;

/// A backend server's announcement, which is its heartbeat, too.
struct BackendAnnouncement {
  std::string Name;
  std::string Service;
  std::string Vm;
  std::string Address;
  uint32_t Slots = 0;
  bool Leaving = false;
  /// Grows with each session; older sessions' attempts are refused.
  uint64_t Epoch = 0;
  std::vector<AttemptId> Running;

  static void describe(auto &Self, auto Field) {
    Field("name", Self.Name);
    Field("service", Self.Service);
    Field("vm", Self.Vm);
    Field("address", Self.Address);
    Field("slots", Self.Slots);
    Field("leaving", Self.Leaving);
    Field("epoch", Self.Epoch);
    Field("running", Self.Running);
  }
  bool operator==(const BackendAnnouncement &) const = default;
};

struct AnnouncementReply {
  /// Where the backend server sends its next announcements.
  std::string Owner;
  uint32_t HeartbeatMillis = 0;
  /// The session ends this long after the last answered announcement.
  uint32_t LeaseMillis = 0;
  /// Asks for a new session, so that lost attempts can be told apart.
  bool RenewEpoch = false;
  /// True when a leaving backend server has nothing left to run here.
  bool Released = false;

  static void describe(auto &Self, auto Field) {
    Field("owner", Self.Owner);
    Field("heartbeatMillis", Self.HeartbeatMillis);
    Field("leaseMillis", Self.LeaseMillis);
    Field("renewEpoch", Self.RenewEpoch);
    Field("released", Self.Released);
  }
  bool operator==(const AnnouncementReply &) const = default;
};

} // namespace mimosashunt

#endif
