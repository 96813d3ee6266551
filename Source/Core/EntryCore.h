// Decision logic of an entry VM: checks who may send which request, chooses
// where it runs, retries failed attempts and determines the outcome that the
// caller receives.

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
  /// Queued requests of one service above which more are refused.
  size_t MaxQueued = 10000;
  /// Attempts and forwards of one request.
  uint32_t MaxTries = 3;
  /// Retries of attempts that may have run: tokens per request, and capacity
  /// of the token bucket of each service.
  double RetryTokensPerRequest = 0.1;
  double RetryCapacity = 20;
  /// The same for attempts that provably ran nothing.
  double RerouteTokensPerRequest = 1.0;
  double RerouteCapacity = 200;
  /// Part of a service's slots that urgent requests may take ahead of waiting
  /// normal ones.
  uint32_t UrgentPercent = 50;
  /// Other entry VMs' loads older than this are ignored while the
  /// configuration lease is valid.
  Duration MaxPeerLoadAge = seconds(3);
  Duration TickInterval = milliseconds(100);
  /// How often, and for how long, a request tries to reach the keeper of its
  /// id while the keepers change.
  Duration KeeperRetryInterval = milliseconds(100);
  Duration KeeperRetryTimeout = seconds(3);
  /// How long nothing must have been under way before the process may stop. It
  /// covers requests in transit from other entry VMs.
  Duration StopQuietPeriod = milliseconds(300);
};

class EntryCore {
public:
  EntryCore(EntryVm Self, const std::vector<EntryVm> &All, uint64_t Incarnation,
            EntryOptions Options, TimerService &Timers, EntryPort &Port);
  ~EntryCore();
  EntryCore(const EntryCore &) = delete;
  EntryCore &operator=(const EntryCore &) = delete;

  /// Accepts a request under an id that the daemon chooses and never reuses.
  /// The outcome is passed to EntryPort::finishRequest(), possibly before this
  /// returns.
  void submitRequest(LocalRequestId Id, const EntryRequest &Request);
  /// Cancels a queued request whose caller has disconnected. An attempt that
  /// is in flight continues.
  void onCallerDisconnected(LocalRequestId Id);
  /// Called just before the bytes of an attempt are sent. Returns false if the
  /// key is no longer accepted, or the deadline has passed, since the dispatch.
  bool maySendAttempt(LocalRequestId Id) const;
  void onAttemptDone(const AttemptId &Attempt, const AttemptResult &Result);
  void onForwardDone(LocalRequestId Id, const ForwardResult &Result);
  /// Imports records of request ids from another entry VM. Returns false if
  /// this VM is not at the epoch of the page.
  bool receiveRecords(const RecordPage &Page);
  void onTransferDone(const std::string &Vm, uint64_t Number, bool Accepted) {
    Keeper.onTransferDone(Vm, Number, Accepted);
  }

  /// Returns no reply after releaseBackends(), which makes the backend server
  /// choose another owner.
  std::optional<AnnouncementReply>
  handleAnnouncement(const BackendAnnouncement &New);

  EntryReport makeReport() const;
  /// Handles the leader's reply to a report that was sent at \p SentAt.
  void handleSyncReply(Instant SentAt, const EntryReply &Reply);

  /// Begins a stop: the VM is no longer ready, and the other entry VMs learn
  /// to forward nothing here. Requests that arrive are still served.
  void beginStop() { Stopping = true; }
  /// Refuses further announcements, so that the backend servers choose other
  /// owners. Requests that arrive are served through other entry VMs.
  void releaseBackends() { ReleasingBackends = true; }
  bool isIdle() const { return Requests.empty(); }
  /// Returns true once no request is in progress, other VMs keep all records
  /// that this one kept, and this has been so for StopQuietPeriod.
  bool mayStop() const;
  /// Returns true while requests with keys can be accepted.
  bool isReady() const { return !Stopping && Lease.isValid(); }

  /// Returns how far the local records cover the id now; None while the
  /// configuration lease has expired.
  RecordCoverage recordCoverage(const std::string &RequestId) const {
    return Lease.isValid() ? Keeper.recordCoverage(RequestId)
                           : RecordCoverage::None;
  }

  const ConfigurationLease &lease() const { return Lease; }
  const SliceLedger &ledger() const { return Ledger; }
  const SessionTable &sessions() const { return Sessions; }
  const EntryStatistics &statistics() const { return Statistics; }
  EntryRun run() const { return {Self.Vm, Incarnation}; }
  size_t queuedRequests() const;

private:
  struct PendingRequest {
    EntryRequest Request;
    std::string Service;
    std::string Flow;
    std::string Team; // Empty for a request without a key.
    bool Urgent = false;
    Instant Deadline;
    TimerId DeadlineTimer = 0;
    // Set while the keeper of the request id cannot be determined or reached.
    std::optional<Instant> KeeperRetrySince;
    TimerId KeeperRetryTimer = 0;
    uint32_t Tries = 0;
    bool Queued = false;
    bool RecordChecked = false;
    bool OwnsRecord = false; // The record was created for this sending.
    bool MayHaveRun = false; // An attempt or a forward was lost.
    std::string ForwardedTo;
    AttemptId RunningAttempt; // Empty unless dispatched.
    // Backend servers and entry VMs that failed this request.
    std::set<std::string> Avoid;
    Instant StartedAt;
  };
  struct ServiceState {
    explicit ServiceState(const EntryOptions &Options)
        : Queue(Options.Queues),
          Retries(Options.RetryTokensPerRequest, Options.RetryCapacity),
          Reroutes(Options.RerouteTokensPerRequest, Options.RerouteCapacity) {}
    FairQueue Queue;
    RetryBudget Retries;
    // For attempts that provably ran nothing. More of these are allowed, as
    // they do not add to the load of the service.
    RetryBudget Reroutes;
    double MeanRunMicros = 50000; // Moving mean of answered runs.
    uint32_t UrgentRunning = 0;
  };

  /// Records the request here if this VM keeps its id; otherwise forwards it to
  /// the keeper.
  void locateKeeper(LocalRequestId Id);
  /// Schedules another locateKeeper(), or refuses the request at the timeout.
  void retryKeeperLater(LocalRequestId Id);
  void recordRequest(LocalRequestId Id, RecordCoverage Coverage);
  /// Queues the request here or forwards it to a peer with free slots.
  void routeRequest(LocalRequestId Id);
  void forwardTo(LocalRequestId Id, const std::string &Vm, Hop Via);
  void enqueueRequest(LocalRequestId Id);
  /// Dispatches queued requests of the service while slots are free.
  void dispatchQueued(const std::string &Service);
  void dispatchAllQueued();
  /// Returns false if nothing could be taken from the queue.
  bool dispatchNext(const std::string &Service, ServiceState &State);
  void dispatchAttempt(LocalRequestId Id, const BackendChoice &Choice);
  /// Retries or finishes a request whose attempt failed at \p Target, a
  /// backend server or an entry VM.
  void handleFailedAttempt(LocalRequestId Id, const std::string &Target,
                           bool MayHaveRun, const char *Detail);
  void handleFailedKeeperForward(LocalRequestId Id, bool Lost);
  /// Routes the request again if deadline, tries and budget allow; otherwise
  /// finishes it with \p Fallback.
  void retryOrFinish(LocalRequestId Id, const Outcome &Fallback,
                     bool MayHaveRun);
  void onDeadline(LocalRequestId Id);
  /// Records the outcome if this sending owns the record, and passes it to
  /// every sending that waits for it.
  void finishRequest(LocalRequestId Id, Outcome Result);
  /// Passes the outcome to one caller only.
  void finishSending(LocalRequestId Id, const Outcome &Result);
  void refuseRequest(LocalRequestId Id, Refusal Reason,
                     std::optional<Duration> RetryAfter);
  /// Forwards queued requests of services that no longer have a backend server
  /// here, or refuses them.
  void rerouteStranded();
  void handleEndedAttempts(const std::vector<EndedAttempt> &Ended);
  /// Stops counting an attempt against its team's slice.
  void releaseTeamSlot(const EndedAttempt &Ended);
  void clearRunningAttempt(PendingRequest &Pending);
  void cancelTimers(const PendingRequest &Pending);
  Duration expectedWait(const std::string &Service, const std::string &Flow,
                        const std::string &Team) const;
  /// Refuses requests whose deadline has become unreachable because others
  /// were queued after them. Returns true if there was any.
  bool refuseUnreachable(const std::string &Service, ServiceState &State);
  void onTick();
  ServiceState &serviceState(const std::string &Name);

  const EntryVm Self;
  const std::map<std::string, std::string> Addresses; // By entry VM.
  uint64_t Incarnation;
  const EntryOptions Options;
  TimerService &Timers;
  EntryPort &Port;

  ConfigurationLease Lease;
  SliceLedger Ledger;
  SessionTable Sessions;
  RecordKeeper Keeper;
  std::map<std::string, ServiceState> Services;
  // Every request without a final outcome.
  std::map<LocalRequestId, PendingRequest> Requests;
  PeerTable Peers;
  bool Stopping = false;
  // Since when there have been no requests and no records to transfer; updated
  // by onTick().
  std::optional<Instant> QuietSince;
  bool ReleasingBackends = false;
  uint64_t AttemptCount = 0; // Numbers the attempts of this incarnation.
  TimerId TickTimer = 0;
  EntryStatistics Statistics;
};

} // namespace mimosashunt

#endif
