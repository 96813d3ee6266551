#include "Entry/RequestHeaders.h"

#include "Daemon/Secrets.h"

#include <charconv>

namespace mimosashunt {

namespace {

constexpr size_t MaxRequestIdBytes = 200;

bool isIdempotentMethod(const std::string &Method) {
  return Method == "GET" || Method == "HEAD" || Method == "PUT" ||
         Method == "DELETE" || Method == "OPTIONS";
}

/// Parses a leading decimal number. Returns 0 if there is none or it does not
/// fit.
uint64_t parseNumber(const std::string &Text) {
  uint64_t Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Parsed.ec == std::errc() ? Value : 0;
}

/// Parses the hop header. Any unknown value counts as a caller's request.
Hop parseHop(const std::string &Name) {
  if (Name == "home")
    return Hop::Keeper;
  if (Name == "owner")
    return Hop::Owner;
  return Hop::Caller;
}

} // namespace

bool parseQueuePath(const std::string &Path, QueuePath &Result) {
  static const std::string Prefix = "/v1/queues/";
  if (Path.rfind(Prefix, 0) != 0)
    return false;
  size_t End = Path.find('/', Prefix.size());
  Result.Queue = Path.substr(Prefix.size(), End - Prefix.size());
  Result.Rest = End == std::string::npos ? "/" : Path.substr(End);
  return !Result.Queue.empty();
}

EntryRequest readWork(const HttpRequest &Request, const QueuePath &Path,
                      bool FromPeer) {
  const auto &Headers = Request.Headers;
  EntryRequest Result;
  Result.Queue = Path.Queue;
  std::string Credentials = headerValue(Headers, headers::Authorization);
  // Credentials of another scheme count as a wrong key, not as a missing one.
  if (!Credentials.empty())
    Result.Digest = sha256Hex(bearerKey(Credentials));
  Result.ClaimedTeam = headerValue(Headers, headers::Team);
  Result.RequestId =
      headerValue(Headers, headers::RequestId).substr(0, MaxRequestIdBytes);
  Result.Idempotent = isIdempotentMethod(Request.Method) ||
                      headerValue(Headers, headers::Idempotent) == "true";
  Result.FirstSend = headerValue(Headers, headers::FirstSend) == "true";
  uint64_t TimeoutMillis =
      parseNumber(headerValue(Headers, headers::TimeoutMillis));
  constexpr uint64_t MaxTimeoutMillis = 3600000;
  if (TimeoutMillis > 0 && TimeoutMillis <= MaxTimeoutMillis)
    Result.Timeout = milliseconds(static_cast<int64_t>(TimeoutMillis));
  if (FromPeer)
    Result.Via = parseHop(headerValue(Headers, headers::Hop));
  return Result;
}

BackendResponse answerOf(const HttpResponse &Response) {
  return {Response.Status, headerValue(Response.Headers, headers::ContentType),
          Response.Body};
}

} // namespace mimosashunt
