// Requests, outcomes and backend server announcements as the decision logic of
// an entry VM sees them.

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

/// An entry VM as named in the settings. Every entry VM has the same list.
struct EntryVm {
  std::string Vm;
  std::string DataCentre;
  std::string PeerAddress;
  bool operator==(const EntryVm &) const = default;
};

/// Identifies a request inside one entry VM.
using LocalRequestId = uint64_t;

/// Identifies one attempt to run a request on a backend server. Never reused,
/// not even after a restart.
using AttemptId = std::string;

/// The sender from which a request reaches this entry VM.
enum class Hop : uint8_t {
  Caller = 0, // A caller.
  Keeper = 1, // An entry VM that forwards to the keeper of the request id.
  Owner = 2,  // An entry VM that forwards to an owner of backend servers.
};

struct EntryRequest {
  std::string Queue;
  /// Digest of the key that came with the request; empty without a key.
  KeyDigest Digest;
  /// Team that the caller states; empty if it states none.
  std::string ClaimedTeam;
  /// Request id chosen by the caller; resends carry the same.
  std::string RequestId;
  bool Idempotent = false;
  /// True if the caller states that it has not sent this id before.
  bool FirstSend = false;
  /// Zero selects the queue's own deadline.
  Duration Timeout = Duration::zero();
  Hop Via = Hop::Caller;

  /// Returns true if the outcome must be recorded so that resends find it.
  bool needsRecord() const {
    return !RequestId.empty() && !Idempotent && Via != Hop::Owner;
  }
  bool operator==(const EntryRequest &) const = default;
};

/// The complete HTTP response of a backend server.
struct BackendResponse {
  int Status = 0;
  std::string ContentType;
  std::string Body;
  bool operator==(const BackendResponse &) const = default;
};

/// Why a request was not run.
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

/// The request ran and its response is complete.
struct Answered {
  BackendResponse Response;
  bool operator==(const Answered &) const = default;
};

/// This sending of the request did not run, not even in part.
struct NotRun {
  Refusal Reason = Refusal::NoBackendServer;
  /// Delay after which a retry may succeed; none if a retry cannot help.
  std::optional<Duration> RetryAfter;
  /// True if an earlier sending under the same id may have run. Otherwise the
  /// request has not run at all.
  bool EarlierMayHaveRun = false;
  bool operator==(const NotRun &) const = default;
};

/// The request ran, at least in part, and has no response.
struct RanAndFailed {
  std::string Detail;
  bool operator==(const RanAndFailed &) const = default;
};

/// The request may have run, may still be running, or may not have run.
struct OutcomeUnknown {
  std::string Detail;
  bool operator==(const OutcomeUnknown &) const = default;
};

/// The final outcome that a caller receives.
using Outcome = std::variant<Answered, NotRun, RanAndFailed, OutcomeUnknown>;

/// The backend server refused the attempt before running anything.
struct AttemptRefused {
  bool operator==(const AttemptRefused &) const = default;
};
/// No byte of the attempt was sent.
struct AttemptNotSent {
  bool operator==(const AttemptNotSent &) const = default;
};
/// The attempt may have reached the backend server, but no complete response
/// came back.
struct AttemptLost {
  bool operator==(const AttemptLost &) const = default;
};
/// The backend server stopped the run at its timeout.
struct AttemptStopped {
  bool operator==(const AttemptStopped &) const = default;
};

using AttemptResult = std::variant<Answered, AttemptRefused, AttemptNotSent,
                                   AttemptLost, AttemptStopped>;

/// No byte of the forwarded request was sent to the other entry VM.
struct ForwardNotSent {
  bool operator==(const ForwardNotSent &) const = default;
};
/// The forwarded request may have arrived, but no complete reply came back.
struct ForwardLost {
  bool operator==(const ForwardLost &) const = default;
};
using ForwardResult = std::variant<Outcome, ForwardNotSent, ForwardLost>;

/// A backend server's announcement of itself, which is also its heartbeat.
struct BackendAnnouncement {
  std::string Name;
  std::string Service;
  std::string Vm;
  std::string Address;
  uint32_t Slots = 0;
  bool Leaving = false;
  /// Increases with each session; the backend server refuses attempts of
  /// earlier sessions.
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
  /// Address to which the backend server sends its next announcements.
  std::string Owner;
  uint32_t HeartbeatMillis = 0;
  /// The session ends this long after the last answered announcement.
  uint32_t LeaseMillis = 0;
  /// Asks the backend server for a new session. What it does not list as
  /// running after that has ended, which resolves lost attempts.
  bool RenewEpoch = false;
  /// True if a leaving backend server has nothing left to run for this owner.
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
