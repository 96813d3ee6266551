// Backend servers whose slots this entry VM owns, by their announcements. It
// alone counts what runs on them, picks one for each attempt, and keeps the
// count of attempts whose answer was lost until they have provably ended.

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
  Duration Heartbeat = milliseconds(500);
  /// A session without an announcement for this long gets nothing new.
  Duration Lease = seconds(2);
  Duration MaxRun = seconds(30);
  /// An attempt that its backend server does not list after this time may have
  /// been lost with its connection.
  Duration SilentAfter = milliseconds(1500);
  /// Failures in a row after which a backend server is ejected.
  uint32_t EjectAfter = 5;
  /// At most this part of a service's backend servers is ejected, in percent.
  uint32_t MaxEjectedPercent = 34;
  Duration Probation = seconds(5);
};

/// An attempt whose place on its backend server has become free.
struct EndedAttempt {
  AttemptId Attempt;
  LocalRequestId Id = 0;
  std::string Team; // Empty for work without a key.
  /// True if the caller still waited for its answer.
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

  /// Takes an announcement. \p Ended receives the attempts that it proves
  /// ended.
  AnnouncementReply handleAnnouncement(const BackendAnnouncement &New,
                                       std::vector<EndedAttempt> &Ended);

  /// The backend server is being sent elsewhere: it gets nothing new here.
  void stopAssigning(const std::string &Backend);

  /// A backend server of the service with a free slot, if any. VMs in
  /// \p Draining and backends in \p Avoid are passed over.
  std::optional<BackendChoice>
  chooseBackend(const std::string &Service,
                const std::set<std::string> &Draining,
                const std::set<std::string> &Avoid) const;

  void startAttempt(const std::string &Backend, const AttemptId &Attempt,
                    LocalRequestId Id, const std::string &Team);

  /// The attempt has ended; its slot is free.
  std::optional<EndedAttempt> endAttempt(const AttemptId &Attempt);

  /// The attempt's answer was lost: its slot stays taken until it has provably
  /// ended.
  std::optional<LocalRequestId> markLost(const AttemptId &Attempt);

  void recordSuccess(const std::string &Backend);
  void recordFailure(const std::string &Backend);

  /// Drops sessions that are over and attempts that must have ended by now.
  std::vector<EndedAttempt> expireAttemptsAndSessions();

  ServiceLoad load(const std::string &Service,
                   const std::set<std::string> &Draining) const;
  std::vector<std::string> services() const;
  std::vector<BackendReport> backendReports() const;
  std::string backendOf(const AttemptId &Attempt) const;
  size_t runningAttempts() const { return BackendByAttempt.size(); }

private:
  struct Attempt {
    LocalRequestId Id = 0;
    std::string Team;
    uint64_t Epoch = 0;
    Instant Started;
    bool Lost = false;
    /// First announcement of a later session that does not list it.
    std::optional<Instant> AbsentSince;
  };
  struct Session {
    BackendAnnouncement Latest;
    Instant HeardAt;
    /// True once an announcement followed the answer to an earlier one. A
    /// single one may have waited in this process's socket while its sender
    /// died.
    bool Confirmed = false;
    bool RenewEpoch = false;
    uint32_t Failures = 0; // In a row.
    std::optional<Instant> EjectedAt;
    std::map<AttemptId, Attempt> Attempts; // At most Latest.Slots in flight.
  };

  bool live(const Session &Item) const;
  bool takesWork(const Session &Item) const;
  void reconcile(Session &Item, std::vector<EndedAttempt> &Ended);
  EndedAttempt release(Session &Item,
                       std::map<AttemptId, Attempt>::iterator At);

  TimerService &Timers;
  const SessionOptions Options;
  std::map<std::string, Session> Sessions; // By backend server.
  // Names the session of every attempt in Sessions.
  std::map<AttemptId, std::string> BackendByAttempt;
};

} // namespace mimosashunt

#endif
