// What entry and control VMs of the job path say to each other, beside the
// consensus messages.

#ifndef MIMOSASHUNT_FLEET_INTERNALMESSAGES_H
#define MIMOSASHUNT_FLEET_INTERNALMESSAGES_H

#include "Fleet/Packing.h"
#include "Jobs/JobTypes.h"
#include "Links/HttpTypes.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mimosashunt {

/// An entry VM asks for what is new.
struct SyncRequest {
  std::string Vm;

  static void describe(auto &Self, auto Field) { Field("vm", Self.Vm); }
};

struct SyncReply {
  /// True only from a leader that no other can have replaced.
  bool Leads = false;
  std::string Leader;               // Internal address, if known.
  std::vector<std::string> Members; // Internal addresses of all control VMs.
  uint64_t Version = 0;             // Of the configuration in force.
  std::map<std::string, uint64_t> Pending; // Jobs that wait, by queue.

  static void describe(auto &Self, auto Field) {
    Field("leads", Self.Leads);
    Field("leader", Self.Leader);
    Field("members", Self.Members);
    Field("version", Self.Version);
    Field("pending", Self.Pending);
  }
};

/// The configuration, asked for apart from SyncReply: it may take longer over a
/// slow link than an entry VM may be out of touch.
struct ConfigurationReply {
  uint64_t Version = 0;
  PackedText Text;

  static void describe(auto &Self, auto Field) {
    Field("version", Self.Version);
    Field("text", Self.Text);
  }
};

namespace internal_path {
inline constexpr const char *Consensus = "/internal/consensus";
inline constexpr const char *Offer = "/internal/offer";
inline constexpr const char *Join = "/internal/join";
inline constexpr const char *Sync = "/internal/sync";
inline constexpr const char *Configuration = "/internal/configuration";
inline constexpr const char *Call = "/internal/call";
} // namespace internal_path

/// When a caller may come again that was refused for want of a leader: a change
/// of leader takes about as long.
inline constexpr int64_t RetrySoonMs = 500;

/// A request between the system's own processes.
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
