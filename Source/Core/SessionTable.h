// Sessions of the backend servers that this entry VM owns, built from their
// announcements. The owner alone counts what runs on them and chooses one for
// each attempt. An attempt whose answer was lost stays counted until it has
// provably ended.

#ifndef MIMOSASHUNT_CORE_SESSIONTABLE_H
#define MIMOSASHUNT_CORE_SESSIONTABLE_H

#include "Core/EntryTypes.h"
#include "Core/SyncTypes.h"
#include "Core/TimerService.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

struct SessionOptions {
  Duration HeartbeatInterval = milliseconds(500);
  /// A session without an announcement for this long gets no new attempts.
  Duration LeaseDuration = seconds(2);
  Duration MaxRunTime = seconds(30);
  /// An attempt of this age that its backend server does not list as running
  /// may have been lost with its connection.
  Duration MissingAttemptTimeout = milliseconds(1500);
  /// Consecutive failures after which a backend server is ejected.
  uint32_t EjectionThreshold = 5;
  /// Largest part of a service's backend servers that is ejected at once.
  uint32_t MaxEjectedPercent = 34;
  /// How long an ejected backend server gets no attempt. After that, one
  /// attempt at a time is sent to it until one succeeds.
  Duration EjectionDuration = seconds(5);
};

/// An attempt whose slot on its backend server has become free.
struct EndedAttempt {
  AttemptId Attempt;
  LocalRequestId Id = 0;
  std::string Team; // Empty for a request without a key.
  /// True unless the attempt's answer had been reported as lost before.
  bool WasInFlight = false;
};

struct BackendChoice {
  std::string Backend;
  std::string Address;
  uint64_t Epoch = 0;
};

class SessionTable {
public:
  SessionTable(TimerService &Timers, SessionOptions Options)
      : Timers(Timers), Options(Options) {}

  /// Creates or updates the backend server's session. Adds to \p Ended the
  /// attempts that the announcement proves ended. An announcement of an
  /// earlier session changes nothing.
  AnnouncementReply handleAnnouncement(const BackendAnnouncement &New,
                                       std::vector<EndedAttempt> &Ended);

  /// Assigns nothing new to the backend server, which is being sent to another
  /// owner.
  void stopAssigning(const std::string &Backend);

  /// Returns the least loaded backend server of the service with a free slot,
  /// or none. VMs in \p Draining and backend servers in \p Avoid are skipped.
  std::optional<BackendChoice>
  chooseBackend(const std::string &Service,
                const std::set<std::string> &Draining,
                const std::set<std::string> &Avoid) const;

  /// Takes a slot of the backend server, which must have a session here.
  void startAttempt(const std::string &Backend, const AttemptId &Attempt,
                    LocalRequestId Id, const std::string &Team);

  /// Frees the slot of an attempt that has ended. Returns none if the attempt
  /// is unknown.
  std::optional<EndedAttempt> endAttempt(const AttemptId &Attempt);

  /// Marks an attempt whose answer was lost. Its slot stays taken until the
  /// attempt has provably ended. Returns the attempt's request; none if the
  /// attempt is unknown or marked already.
  std::optional<LocalRequestId> markLost(const AttemptId &Attempt);

  /// Ends an ejection and resets the count of consecutive failures.
  void recordSuccess(const std::string &Backend);
  /// Counts a failure and ejects the backend server at the threshold.
  void recordFailure(const std::string &Backend);

  /// Ends the attempts that must be over by now, even if nothing was heard of
  /// them, and erases expired sessions without attempts.
  std::vector<EndedAttempt> expireAttemptsAndSessions();

  /// Returns the slots of the service and how many are taken. Ejected and
  /// leaving backend servers and VMs in \p Draining are not counted.
  ServiceLoad load(const std::string &Service,
                   const std::set<std::string> &Draining) const;
  /// Returns the services that have a live session, sorted.
  std::vector<std::string> services() const;
  /// Returns a report of each live and confirmed session.
  std::vector<BackendReport> backendReports() const;
  /// Returns the backend server of an attempt; empty if it is unknown.
  std::string backendOf(const AttemptId &Attempt) const;
  size_t runningAttempts() const { return BackendByAttempt.size(); }

private:
  struct Attempt {
    LocalRequestId Id = 0;
    std::string Team;
    uint64_t Epoch = 0;
    Instant StartedAt;
    bool Lost = false;
    /// When a later session first announced itself without listing it.
    std::optional<Instant> AbsentSince;
  };
  struct Session {
    BackendAnnouncement Latest;
    Instant HeardAt;
    /// True once an announcement has followed the reply to an earlier one. A
    /// single one may have waited in this process's socket while its sender
    /// died.
    bool Confirmed = false;
    bool RenewEpoch = false;
    uint32_t ConsecutiveFailures = 0;
    std::optional<Instant> EjectedAt;
    std::map<AttemptId, Attempt> Attempts; // At most Latest.Slots in flight.
  };

  bool isLive(const Session &S) const;
  bool acceptsAttempts(const Session &S) const;
  /// Compares the attempts with those that the latest announcement lists.
  void reconcileAttempts(Session &S, std::vector<EndedAttempt> &Ended);
  EndedAttempt eraseAttempt(Session &S,
                            std::map<AttemptId, Attempt>::iterator At);

  TimerService &Timers;
  const SessionOptions Options;
  std::map<std::string, Session> Sessions; // By backend server.
  // Holds every attempt in Sessions.
  std::map<AttemptId, std::string> BackendByAttempt;
};

} // namespace mimosashunt

#endif
