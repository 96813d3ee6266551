#include "Entry/OutcomeCodec.h"

#include "Core/JsonFields.h"
#include "Entry/RequestHeaders.h"

#include <array>
#include <exception>

namespace mimosashunt {

namespace {

struct RefusalEntry {
  Refusal Why;
  const char *Name;
  int Status;
  const char *Sentence;
};

constexpr std::array<RefusalEntry, 11> Refusals = {{
    {Refusal::UnknownQueue, "unknown-queue", 404, "No such queue."},
    {Refusal::KeyRequired, "key-required", 401, "This queue needs a key."},
    {Refusal::KeyRefused, "key-refused", 401, "The key is not granted."},
    {Refusal::TeamMismatch, "team-mismatch", 403,
     "The key does not belong to this request's team."},
    {Refusal::LeaseLapsed, "lease-lapsed", 503,
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

const RefusalEntry &entryOf(Refusal Why) {
  for (const RefusalEntry &Entry : Refusals)
    if (Entry.Why == Why)
      return Entry;
  return Refusals.front();
}

constexpr int64_t MillisPerSecond = 1000;

HttpResponse problem(int Status, const std::string &OutcomeName,
                     const std::string &Reason, const std::string &Detail,
                     std::optional<Duration> RetryAfter) {
  Json Body = {{"title", Reason},
               {"status", Status},
               {"detail", Detail},
               {"outcome", OutcomeName}};
  if (RetryAfter)
    Body["retryAfterMillis"] = toMillis(*RetryAfter);
  HttpResponse Response = jsonResponse(Status, Body.dump());
  Response.Headers.push_back({headers::Outcome, OutcomeName});
  if (RetryAfter) {
    int64_t Seconds =
        (toMillis(*RetryAfter) + MillisPerSecond - 1) / MillisPerSecond;
    Response.Headers.push_back({headers::RetryAfter, std::to_string(Seconds)});
  }
  return Response;
}

struct Encoder {
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
    const RefusalEntry &Entry = entryOf(Result.Reason);
    // "not-run" speaks of the request; where an earlier sending may have run,
    // only this sending is spoken of.
    const char *Name =
        Result.EarlierMayHaveRun ? "this-sending-not-run" : "not-run";
    return problem(Entry.Status, Name, Entry.Name, Entry.Sentence,
                   Result.RetryAfter);
  }
  HttpResponse operator()(const RanAndFailed &Result) const {
    constexpr int BadGateway = 502;
    return problem(BadGateway, "ran-and-failed", "ran-and-failed",
                   Result.Detail, std::nullopt);
  }
  HttpResponse operator()(const OutcomeUnknown &Result) const {
    constexpr int GatewayTimeout = 504;
    return problem(GatewayTimeout, "unknown", "outcome-unknown", Result.Detail,
                   std::nullopt);
  }
};

std::optional<Outcome> decodeNotRun(const Json &Body, bool EarlierMayHaveRun) {
  std::string Reason = Body.at("title").get<std::string>();
  for (const RefusalEntry &Entry : Refusals) {
    if (Reason != Entry.Name)
      continue;
    NotRun Result{Entry.Why, std::nullopt, EarlierMayHaveRun};
    if (Body.contains("retryAfterMillis"))
      Result.RetryAfter =
          milliseconds(Body.at("retryAfterMillis").get<int64_t>());
    return Result;
  }
  return std::nullopt;
}

} // namespace

std::string refusalName(Refusal Why) { return entryOf(Why).Name; }

HttpResponse encodeOutcome(const Outcome &Result) {
  return std::visit(Encoder{}, Result);
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
