// An entry VM's link to the leader among the control VMs: finds the leader
// through the seeds and the hints in replies, keeps the configuration up to
// date and forwards callers' requests.

#ifndef MIMOSASHUNT_FLEET_LEADERLINK_H
#define MIMOSASHUNT_FLEET_LEADERLINK_H

#include "Fleet/Codecs.h"
#include "Fleet/EventLog.h"
#include "Fleet/InternalMessages.h"
#include "Links/HttpClient.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

/// Client of the leader; syncs with it periodically on the event loop.
class LeaderLink {
public:
  using ResponseHandler = std::function<void(const JobResponse &)>;

  LeaderLink(EventLoop &Loop, std::string Vm, std::vector<std::string> Seeds,
             const ConfigurationReader &Reader, EventLog &Events);
  ~LeaderLink();

  /// True while the last sync with the leader is recent and the configuration
  /// does not lag behind the leader's for too long. Otherwise the entry VM must
  /// not accept calls.
  bool isUpToDate() const;
  const ServiceConfiguration &configuration() const { return Configuration; }
  /// Number of pending jobs in the queue, as of the last sync with the leader.
  uint64_t pendingJobs(const std::string &Queue) const;

  /// Forwards a call to the leader. \p OnResponse runs once: with the leader's
  /// response, with NotRun if the call certainly had no effect, or with
  /// Uncertain if the leader may have handled it but sent no usable response.
  void forwardRequest(const JobRequest &Request, Duration Timeout,
                      ResponseHandler OnResponse);
  /// Replaces the seeds after a reload of the settings.
  void setSeeds(std::vector<std::string> Addresses);

private:
  /// Sends a sync request to the candidate unless one is in flight.
  void sync();
  void handleSyncResult(const std::string &Address, const HttpResult &Result);
  /// The leader's list of members replaces the known one. Lists of others may
  /// be of an old disk, so they only add to it.
  void learnMembers(const SyncReply &Reply);
  void followLeaderHint(const SyncReply &Reply, const std::string &Address);
  void fetchConfiguration(uint64_t LeaderVersion);
  void handleConfigurationResult(const HttpResult &Result);
  void selectNextCandidate();
  void sendRequest(const std::string &Address, const std::string &Body,
                   Instant Deadline, int RedirectsLeft,
                   ResponseHandler OnResponse);

  EventLoop &Loop;
  HttpClient Client;
  const std::string Vm;
  std::vector<std::string> Seeds;
  const ConfigurationReader &Reader;
  EventLog &Events;

  ServiceConfiguration Configuration; // Its version never decreases.
  std::vector<std::string> MemberAddresses;
  std::string Leader;    // Receives calls; empty while unknown.
  std::string Candidate; // Receives the next sync request.
  size_t NextCandidateIndex = 0;
  std::map<std::string, uint64_t> PendingJobs;
  Instant SyncedAt; // When the last sync that the leader answered was sent.
  bool HasSynced = false;
  bool SyncInFlight = false;
  int HintsFollowed = 0; // Since the last tick of SyncTimer.
  bool FetchInFlight = false;
  /// When this VM first learned that the leader has a newer configuration;
  /// unset while the configuration is up to date.
  std::optional<Instant> OutdatedSince;
  TimerId SyncTimer = 0;
};

} // namespace mimosashunt

#endif
