// The entry VM's decisions: who may send what, where it runs, what is tried
// again, and what the caller is told.

#ifndef MIMOSASHUNT_CORE_ENTRYCORE_H
#define MIMOSASHUNT_CORE_ENTRYCORE_H

#include "Core/ConfigurationLease.h"
#include "Core/EntryPort.h"
#include "Core/EntryStatistics.h"
#include "Core/FairQueue.h"
#include "Core/PeerTable.h"
#include "Core/RecordKeeper.h"
#include "Core/RetryBudget.h"
#include "Core/SessionTable.h"
#include "Core/SliceLedger.h"
#include "Core/SyncTypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt {

struct EntryOptions {
  SessionOptions Sessions;
  RecordLimits Records;
  QueuePolicy Queues = StartTimeFairQueueing{};
  size_t MaxQueued = 10000;
  uint32_t MaxTries = 3;
  double RetryRatio = 0.1;
  double RetryStore = 20;
  double RerouteRatio = 1.0;
  double RerouteStore = 200;
  /// Part of a service's slots that urgent work may take from waiting normal
  /// work, in percent.
  uint32_t UrgentPercent = 50;
  /// Other entry VMs' loads older than this are not relied on.
  Duration PeerFreshness = seconds(3);
  Duration Tick = milliseconds(100);
  /// How often, and how long, a request asks for the home of its id while the
  /// keepers change.
  Duration HomePause = milliseconds(100);
  Duration HomePatience = seconds(3);
  /// How long a request may be on its way from another entry VM.
  Duration StopLinger = milliseconds(300);
};

class EntryCore {
public:
  EntryCore(EntryVm Self, const std::vector<EntryVm> &All, uint64_t Incarnation,
            EntryOptions Options, TimerService &Timers, EntryPort &Port);
  ~EntryCore();
  EntryCore(const EntryCore &) = delete;
  EntryCore &operator=(const EntryCore &) = delete;

  /// Takes a request under an id of the daemon's choice, never used before.
  void submitRequest(LocalRequestId Id, const EntryRequest &Request);
  /// The caller hung up. What waits is dropped; what runs, runs on.
  void onCallerDisconnected(LocalRequestId Id);
  /// Asked at the last moment before an attempt's bytes leave: false if the
  /// key or the time has run out since its dispatch.
  bool maySendAttempt(LocalRequestId Id) const;
  void onAttemptDone(const AttemptId &Attempt, const AttemptResult &Result);
  void onForwardDone(LocalRequestId Id, const ForwardResult &Result);
  /// Takes records of request ids from another entry VM. False if this one
  /// does not know of the move yet.
  bool receiveRecords(const RecordPage &Page);
  void onTransferDone(const std::string &Vm, uint64_t Number, bool Taken) {
    Keeping.onTransferDone(Vm, Number, Taken);
  }

  /// Returns no reply while stopping: the backend server goes elsewhere.
  std::optional<AnnouncementReply>
  handleAnnouncement(const BackendAnnouncement &New);

  EntryReport makeReport() const;
  /// Takes the answer to a report that was sent at \p SentAt.
  void handleSyncReply(Instant SentAt, const EntryReply &Reply);

  /// Begins a stop: readiness fails and other entry VMs are told to send
  /// nothing here. Everything is still served.
  void beginStop() { Stopping = true; }
  /// Lets go of the backend servers, which announce themselves elsewhere.
  /// Requests that still come are served through other entry VMs.
  void releaseBackends() { LettingGo = true; }
  bool isIdle() const { return Items.empty(); }
  /// True once nothing is under way here, others keep the records that were
  /// kept here, and what other entry VMs sent before they knew has come in.
  bool mayStop() const;
  /// True while requests with keys can be taken.
  bool isReady() const { return !Stopping && Lease.isValid(); }

  /// What this entry VM may do about an id now.
  Duty recordCoverage(const std::string &RequestId) const {
    return Lease.isValid() ? Keeping.recordCoverage(RequestId) : Duty::None;
  }

  const ConfigurationLease &lease() const { return Lease; }
  const SliceLedger &ledger() const { return Ledger; }
  const SessionTable &sessions() const { return Sessions; }
  const EntryStatistics &statistics() const { return Statistics; }
  EntryRun run() const { return {Self.Vm, Incarnation}; }
  size_t queuedRequests() const;

private:
  struct Item {
    EntryRequest Request;
    std::string Service;
    std::string Flow;
    std::string Team; // Empty for work without a key.
    bool Urgent = false;
    Instant Deadline;
    TimerId DeadlineTimer = 0;
    // While the id's home is changing.
    std::optional<Instant> HomeSoughtSince;
    TimerId HomeTimer = 0;
    uint32_t Tries = 0;
    bool Queued = false;
    bool RecordChecked = false;
    bool Recorded = false;   // This sending is the one that the record names.
    bool MayHaveRun = false; // An attempt or a forward was lost.
    std::string ForwardedTo;
    AttemptId Running; // Empty unless dispatched.
    std::set<std::string> Avoid;
    Instant StartedAt;
  };
  struct ServiceState {
    explicit ServiceState(const EntryOptions &Options)
        : Queue(Options.Queues),
          Retries(Options.RetryRatio, Options.RetryStore),
          Reroutes(Options.RerouteRatio, Options.RerouteStore) {}
    FairQueue Queue;
    RetryBudget Retries;
    // For attempts that provably ran nothing; more of them do no harm.
    RetryBudget Reroutes;
    double MeanRunMicros = 50000; // Moving mean of answered runs.
    uint32_t UrgentRunning = 0;
  };

  /// Records the request here if this is its id's home, or sends it there.
  void seekHome(LocalRequestId Id);
  void waitForHome(LocalRequestId Id);
  void enterRecord(LocalRequestId Id, Duty Present);
  void route(LocalRequestId Id);
  void forwardTo(LocalRequestId Id, const std::string &Vm, Hop Via);
  void enqueue(LocalRequestId Id);
  void pump(const std::string &Service);
  void pumpAll();
  bool dispatchNext(const std::string &Service, ServiceState &State);
  void dispatch(LocalRequestId Id, const BackendChoice &Choice);
  /// Goes on after an attempt at \p At, a backend server or an entry VM.
  void attemptFailed(LocalRequestId Id, const std::string &At, bool MayHaveRun,
                     const char *Detail);
  void homeFailed(LocalRequestId Id, bool Lost);
  void retryOr(LocalRequestId Id, const Outcome &Otherwise, bool MayHaveRun);
  void deadlinePassed(LocalRequestId Id);
  void finish(LocalRequestId Id, Outcome Result);
  void finishOne(LocalRequestId Id, const Outcome &Result);
  void refuse(LocalRequestId Id, Refusal Why,
              std::optional<Duration> RetryAfter);
  /// Sends on what waits here for a service that has no backend server here
  /// any more, or gives it its final answer.
  void rerouteStranded();
  void ended(const std::vector<EndedAttempt> &List);
  void charge(const EndedAttempt &Done);
  void stopRunning(Item &Entry);
  void cancelTimers(const Item &Entry);
  Duration expectedWait(const std::string &Service, const std::string &Flow,
                        const std::string &Team) const;
  /// Refuses what can no longer be reached in time, since others came after
  /// it was taken. Returns whether there was any.
  bool shedHopeless(const std::string &Service, ServiceState &State);
  void onTick();
  ServiceState &service(const std::string &Name);

  const EntryVm Self;
  const std::map<std::string, std::string> Addresses; // By entry VM.
  uint64_t Incarnation;
  const EntryOptions Options;
  TimerService &Timers;
  EntryPort &Port;

  ConfigurationLease Lease;
  SliceLedger Ledger;
  SessionTable Sessions;
  RecordKeeper Keeping;
  std::map<std::string, ServiceState> Services;
  std::map<LocalRequestId, Item>
      Items; // Every request without a final outcome.
  PeerTable Peers;
  bool Stopping = false;
  std::optional<Instant> QuietSince; // Follows the tick.
  bool LettingGo = false;
  uint64_t Attempts = 0;
  TimerId TickTimer = 0;
  EntryStatistics Statistics;
};

} // namespace mimosashunt

#endif
