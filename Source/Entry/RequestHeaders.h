// Names of the headers between callers, entry VMs and backend servers.

#ifndef MIMOSASHUNT_ENTRY_REQUESTHEADERS_H
#define MIMOSASHUNT_ENTRY_REQUESTHEADERS_H

#include "Core/EntryTypes.h"
#include "Links/HttpTypes.h"

namespace mimosashunt {

namespace headers {
inline constexpr const char *Authorization = "authorization";
inline constexpr const char *ContentType = "content-type";
inline constexpr const char *RequestId = "idempotency-key";
inline constexpr const char *RetryAfter = "retry-after";
inline constexpr const char *Team = "mimosashunt-team";
inline constexpr const char *Idempotent = "mimosashunt-idempotent";
inline constexpr const char *FirstSend = "mimosashunt-first-send";
inline constexpr const char *TimeoutMillis = "mimosashunt-timeout-ms";
inline constexpr const char *Hop = "mimosashunt-hop";
inline constexpr const char *Outcome = "mimosashunt-outcome";
inline constexpr const char *Attempt = "mimosashunt-attempt";
inline constexpr const char *Epoch = "mimosashunt-epoch";
inline constexpr const char *RunTimeoutMillis = "mimosashunt-run-timeout-ms";
inline constexpr const char *Run = "mimosashunt-run";
inline constexpr const char *Queue = "mimosashunt-queue";
} // namespace headers

/// A caller's path "/v1/queues/QUEUE/REST".
struct QueuePath {
  std::string Queue;
  std::string Rest; // Begins with a slash.
};

/// Returns false for another path.
bool parseQueuePath(const std::string &Path, QueuePath &Result);

/// Reads a request's headers. \p FromPeer allows the headers that only entry
/// VMs may set.
EntryRequest readWork(const HttpRequest &Request, const QueuePath &Path,
                      bool FromPeer);

/// Headers of a backend server's answer that callers see.
BackendResponse answerOf(const HttpResponse &Response);

} // namespace mimosashunt

#endif
