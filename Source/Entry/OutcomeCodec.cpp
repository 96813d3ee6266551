#include "Entry/OutcomeCodec.h"

#include "Core/JsonFields.h"
#include "Entry/RequestHeaders.h"

#include <array>
#include <exception>

namespace mimosashunt {

namespace {

/// How a refusal is written in a problem response.
struct RefusalDescription {
  Refusal Reason;
  const char *Name;
  int Status;
  const char *Detail;
};

constexpr std::array<RefusalDescription, 11> Refusals = {{
    {Refusal::UnknownQueue, "unknown-queue", 404, "No such queue."},
    {Refusal::KeyRequired, "key-required", 401, "This queue needs a key."},
    {Refusal::KeyRefused, "key-refused", 401, "The key is not granted."},
    {Refusal::TeamMismatch, "team-mismatch", 403,
     "The key does not belong to this request's team."},
    {Refusal::LeaseExpired, "lease-lapsed", 503,
     "Keys cannot be checked at present."},
    {Refusal::NoBackendServer, "no-backend-server", 503,
     "No backend server can take the request."},
    {Refusal::QueueFull, "queue-full", 503, "The queue is full."},
    {Refusal::DeadlineUnreachable, "deadline-unreachable", 503,
     "The request would wait beyond its deadline."},
    {Refusal::DeadlinePassed, "deadline-passed", 504,
     "The request waited until its deadline."},
    {Refusal::KeeperUnreachable, "home-unreachable", 503,
     "The record of this request id cannot be reached."},
    {Refusal::Cancelled, "cancelled", 499, "The caller hung up."},
}};

const RefusalDescription &describeRefusal(Refusal Reason) {
  for (const RefusalDescription &Description : Refusals)
    if (Description.Reason == Reason)
      return Description;
  return Refusals.front();
}

constexpr int64_t MillisPerSecond = 1000;

HttpResponse problemResponse(int Status, const std::string &OutcomeName,
                             const std::string &Reason,
                             const std::string &Detail,
                             std::optional<Duration> RetryAfter) {
  Json Body = {{"title", Reason},
               {"status", Status},
               {"detail", Detail},
               {"outcome", OutcomeName}};
  if (RetryAfter)
    Body["retryAfterMillis"] = toMillis(*RetryAfter);
  HttpResponse Response = jsonResponse(Status, toText(Body));
  Response.Headers.push_back({headers::Outcome, OutcomeName});
  if (RetryAfter) {
    int64_t Seconds =
        (toMillis(*RetryAfter) + MillisPerSecond - 1) / MillisPerSecond;
    Response.Headers.push_back({headers::RetryAfter, std::to_string(Seconds)});
  }
  return Response;
}

struct OutcomeEncoder {
  HttpResponse operator()(const Answered &Result) const {
    HttpResponse Response;
    Response.Status = Result.Response.Status;
    if (!Result.Response.ContentType.empty())
      Response.Headers.push_back(
          {headers::ContentType, Result.Response.ContentType});
    Response.Headers.push_back({headers::Outcome, "answered"});
    Response.Body = Result.Response.Body;
    return Response;
  }
  HttpResponse operator()(const NotRun &Result) const {
    const RefusalDescription &Description = describeRefusal(Result.Reason);
    // "not-run" states that the request never ran. If an earlier sending may
    // have run, that holds for this sending only.
    const char *Name =
        Result.EarlierMayHaveRun ? "this-sending-not-run" : "not-run";
    return problemResponse(Description.Status, Name, Description.Name,
                           Description.Detail, Result.RetryAfter);
  }
  HttpResponse operator()(const RanAndFailed &Result) const {
    constexpr int BadGateway = 502;
    return problemResponse(BadGateway, "ran-and-failed", "ran-and-failed",
                           Result.Detail, std::nullopt);
  }
  HttpResponse operator()(const OutcomeUnknown &Result) const {
    constexpr int GatewayTimeout = 504;
    return problemResponse(GatewayTimeout, "unknown", "outcome-unknown",
                           Result.Detail, std::nullopt);
  }
};

std::optional<Outcome> decodeNotRun(const Json &Body, bool EarlierMayHaveRun) {
  std::string Reason = Body.at("title").get<std::string>();
  for (const RefusalDescription &Description : Refusals) {
    if (Reason != Description.Name)
      continue;
    NotRun Result{Description.Reason, std::nullopt, EarlierMayHaveRun};
    if (Body.contains("retryAfterMillis"))
      Result.RetryAfter =
          milliseconds(Body.at("retryAfterMillis").get<int64_t>());
    return Result;
  }
  return std::nullopt;
}

} // namespace

std::string refusalName(Refusal Reason) { return describeRefusal(Reason).Name; }

HttpResponse encodeOutcome(const Outcome &Result) {
  return std::visit(OutcomeEncoder{}, Result);
}

std::optional<Outcome> decodeOutcome(const HttpResponse &Response) {
  std::string Name = headerValue(Response.Headers, headers::Outcome);
  if (Name == "answered")
    return Answered{answerOf(Response)};
  try {
    Json Body = Json::parse(Response.Body);
    if (Name == "not-run" || Name == "this-sending-not-run")
      return decodeNotRun(Body, Name != "not-run");
    std::string Detail = Body.at("detail").get<std::string>();
    if (Name == "ran-and-failed")
      return RanAndFailed{Detail};
    if (Name == "unknown")
      return OutcomeUnknown{Detail};
  } catch (const std::exception &) {
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace mimosashunt
