// Messages between the daemons of the job path on entry and control VMs, other
// than Raft messages.

#ifndef MIMOSASHUNT_FLEET_INTERNALMESSAGES_H
#define MIMOSASHUNT_FLEET_INTERNALMESSAGES_H

#include "Fleet/Compression.h"
#include "Jobs/JobTypes.h"
#include "Links/HttpTypes.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mimosashunt {

/// An entry VM's periodic request for the leader, the version of the
/// configuration and the number of pending jobs.
struct SyncRequest {
  std::string Vm;

  static void describe(auto &Self, auto Field) { Field("vm", Self.Vm); }
};

/// A control VM's reply to SyncRequest.
struct SyncReply {
  /// True only from a leader that cannot have been replaced yet.
  bool IsLeader = false;
  std::string Leader; // Internal address, if known.
  std::vector<std::string>
      MemberAddresses;  // Internal addresses of all control VMs.
  uint64_t Version = 0; // Of the configuration in force.
  std::map<std::string, uint64_t> PendingJobs; // Counts by queue.

  static void describe(auto &Self, auto Field) {
    Field("leads", Self.IsLeader);
    Field("leader", Self.Leader);
    Field("members", Self.MemberAddresses);
    Field("version", Self.Version);
    Field("pending", Self.PendingJobs);
  }
};

/// The configuration in force. It is requested separately from SyncReply
/// because its transfer over a slow link may take longer than an entry VM may
/// go without a successful sync.
struct ConfigurationReply {
  uint64_t Version = 0;
  CompressedText Text;

  static void describe(auto &Self, auto Field) {
    Field("version", Self.Version);
    Field("text", Self.Text);
  }
};

/// HTTP paths of the internal messages.
namespace internal_path {
inline constexpr const char *Consensus = "/internal/consensus";
inline constexpr const char *Offer = "/internal/offer";
inline constexpr const char *Join = "/internal/join";
inline constexpr const char *Sync = "/internal/sync";
inline constexpr const char *Configuration = "/internal/configuration";
inline constexpr const char *Call = "/internal/call";
// The number changes with the format: a control VM of another version answers
// 404 and carries nothing.
inline constexpr const char *Orders = "/internal/orders/2";
inline constexpr const char *Results = "/internal/results/2";
} // namespace internal_path

/// Delay after which a caller that was refused for lack of a leader may retry:
/// a change of leader takes about as long.
inline constexpr int64_t LeaderChangeRetryMs = 500;

/// Builds a request between the system's own processes.
inline HttpRequest internalRequest(const char *Path, std::string Body) {
  HttpRequest Result;
  Result.Method = "POST";
  Result.Path = Path;
  Result.Headers.push_back({"content-type", "application/cbor"});
  Result.Body = std::move(Body);
  return Result;
}

} // namespace mimosashunt

#endif
