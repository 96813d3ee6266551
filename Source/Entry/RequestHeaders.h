// Names and parsing of the HTTP headers that callers, entry VMs and backend
// servers exchange, and of the queue paths.

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
/// "true" if the caller never sent this request id before.
inline constexpr const char *FirstSend = "mimosashunt-first-send";
inline constexpr const char *TimeoutMillis = "mimosashunt-timeout-ms";
/// Set by a forwarding entry VM: "home" or "owner", see Hop.
inline constexpr const char *Hop = "mimosashunt-hop";
inline constexpr const char *Outcome = "mimosashunt-outcome";
inline constexpr const char *Attempt = "mimosashunt-attempt";
/// Session of the backend server that the attempt belongs to.
inline constexpr const char *Epoch = "mimosashunt-epoch";
inline constexpr const char *RunTimeoutMillis = "mimosashunt-run-timeout-ms";
/// Set by a backend server: "refused" if it ran nothing, "stopped" if it
/// stopped the run.
inline constexpr const char *Run = "mimosashunt-run";
inline constexpr const char *Queue = "mimosashunt-queue";
} // namespace headers

/// The parts of a request path "/v1/queues/QUEUE/REST".
struct QueuePath {
  std::string Queue;
  std::string Rest; // Starts with a slash; "/" if the path ends at the queue.
};

/// Splits \p Path. Returns false if it is not a queue path or the queue's name
/// is empty.
bool parseQueuePath(const std::string &Path, QueuePath &Result);

/// Builds a request from its path, method and headers. Headers that only entry
/// VMs may set are ignored unless \p FromPeer is true. Request ids are cut to
/// 200 bytes; timeouts that are invalid, zero or longer than an hour are
/// ignored.
EntryRequest readWork(const HttpRequest &Request, const QueuePath &Path,
                      bool FromPeer);

/// Reduces a backend server's HTTP response to what callers see: its status,
/// content type and body.
BackendResponse answerOf(const HttpResponse &Response);

} // namespace mimosashunt

#endif
