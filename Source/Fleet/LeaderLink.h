// An entry VM's link to the control VM that leads: finds it from the seeds and
// from what each answer tells, keeps the configuration up to date, and carries
// callers' calls.

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

class LeaderLink {
public:
  using Answer = std::function<void(const JobResponse &)>;

  LeaderLink(EventLoop &Loop, std::string Vm, std::vector<std::string> Seeds,
             const ConfigurationReader &Reader, EventLog &Events);
  ~LeaderLink();

  /// True while what this VM knows is what the leader had a moment ago.
  bool inTouch() const;
  const ServiceConfiguration &configuration() const { return Configuration; }
  /// Jobs of the queue that wait, as the leader last told.
  uint64_t pendingOf(const std::string &Queue) const;

  /// Carries a call to the leader. \p Done runs once: with the answer, with
  /// NotRun if nothing was sent, or with Uncertain.
  void call(const JobRequest &Call, Duration Timeout, Answer Done);
  /// The settings name other seeds now.
  void seeds(std::vector<std::string> Addresses);

private:
  void sync();
  void synced(const std::string &Asked, const HttpResult &Result);
  void followHint(const SyncReply &Reply, const std::string &Asked);
  void fetch(uint64_t Newest);
  void fetched(const HttpResult &Result);
  void nextCandidate();
  void callAt(const std::string &Address, const std::string &Body,
              Instant Until, int Redirects, Answer Done);

  EventLoop &Loop;
  HttpClient Client;
  const std::string Vm;
  std::vector<std::string> Seeds;
  const ConfigurationReader &Reader;
  EventLog &Events;

  ServiceConfiguration Configuration; // Its version never decreases.
  std::vector<std::string> Members;
  std::string Leader;    // Whom calls go to; empty while unknown.
  std::string Candidate; // Whom the next sync asks.
  size_t NextSeed = 0;
  std::map<std::string, uint64_t> Pending;
  Instant SyncedAt;
  bool EverSynced = false;
  bool SyncUnderWay = false;
  int HintsFollowed = 0; // Since the last tick.
  bool FetchUnderWay = false;
  /// Since when the leader has had a newer configuration than this VM.
  std::optional<Instant> BehindSince;
  TimerId SyncTimer = 0;
};

} // namespace mimosashunt

#endif
