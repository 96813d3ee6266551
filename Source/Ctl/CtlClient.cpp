#include "Ctl/CtlClient.h"

#include "Links/SystemTime.h"

#include <chrono>
#include <optional>
#include <thread>
#include <utility>

namespace mimosashunt {

namespace {

constexpr Duration AttemptTimeout = seconds(3);
constexpr Duration RetryBackoff = milliseconds(200);
constexpr int TemporaryRedirect = 307;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

/// Returns the address that a redirect's Location header names, or nothing if
/// the header is missing or not an http URL with an IP address and a port.
std::optional<SocketAddress> parseRedirect(const HttpResponse &Response) {
  static const std::string Scheme = "http://";
  std::string Target = headerValue(Response.Headers, "location");
  if (Target.rfind(Scheme, 0) != 0)
    return std::nullopt;
  std::string Rest = Target.substr(Scheme.size());
  SocketAddress Address;
  if (SocketAddress::parse(Rest.substr(0, Rest.find('/')), Address))
    return std::nullopt;
  return Address;
}

} // namespace

CtlClient::CtlClient(std::vector<SocketAddress> ControlVms, std::string Key,
                     Duration Timeout, const Tracing &Tracer)
    : Client(Loop), ControlVms(std::move(ControlVms)), Key(std::move(Key)),
      Timeout(Timeout), Tracer(Tracer) {}

HttpResult CtlClient::sendOnce(const SocketAddress &Address,
                               HttpRequest Request,
                               const opentracing::Span &ParentSpan) {
  SpanPtr Span = Tracer.start("ctl.attempt", Tracer.traceParent(ParentSpan));
  Span->SetTag("to", Address.text());
  Request.Headers.push_back({TraceParentHeader, Tracer.traceParent(*Span)});
  std::optional<HttpResult> Received;
  Client.send(Address, Request, AttemptTimeout,
              [&](HttpResult Result) { Received = std::move(Result); });
  while (!Received)
    Loop.runOnce();
  return *Received;
}

CtlReply CtlClient::sendWithRetries(const HttpRequest &Request,
                                    bool FirstOnly) {
  SpanPtr Span = Tracer.start("ctl.call", {});
  Span->SetTag("path", Request.Path);
  Instant Deadline = bootNow() + Timeout;
  SocketAddress Target = ControlVms[FirstOnly ? 0 : NextControlVm];
  CtlReply LastReply;
  while (bootNow() < Deadline) {
    HttpResult Result = sendOnce(Target, Request, *Span);
    const auto *Response = std::get_if<HttpResponse>(&Result);
    if (Response != nullptr && Response->Status == TemporaryRedirect) {
      if (auto Leader = parseRedirect(*Response)) {
        Target = *Leader;
        continue;
      }
    }
    bool IsFinal = Response != nullptr &&
                   Response->Status != ServiceUnavailable &&
                   Response->Status != GatewayTimeout;
    if (Response != nullptr) {
      LastReply.Status = Response->Status;
      LastReply.Body = Json::parse(Response->Body, nullptr, false);
    }
    if (IsFinal)
      return LastReply;
    if (!FirstOnly) {
      NextControlVm = (NextControlVm + 1) % ControlVms.size();
      Target = ControlVms[NextControlVm];
    }
    std::this_thread::sleep_for(RetryBackoff);
  }
  return LastReply;
}

CtlReply CtlClient::get(const std::string &Path) {
  HttpRequest Request{"GET", Path, {}, {}, {}};
  Request.Headers.push_back({"authorization", "Bearer " + Key});
  return sendWithRetries(Request, /*FirstOnly=*/false);
}

CtlReply CtlClient::sendChange(const std::string &Method,
                               const std::string &Path, const std::string &Body,
                               const std::string &OperationId,
                               const std::string &ExpectedRevision) {
  HttpRequest Request{Method, Path, {}, {}, Body};
  Request.Headers.push_back({"authorization", "Bearer " + Key});
  Request.Headers.push_back({"idempotency-key", OperationId});
  Request.Headers.push_back({"content-type", "application/json"});
  if (!ExpectedRevision.empty())
    Request.Headers.push_back({"if-match", ExpectedRevision});
  return sendWithRetries(Request, /*FirstOnly=*/false);
}

CtlReply CtlClient::bootstrap(const std::string &Body) {
  HttpRequest Request{"POST", "/v1/bootstrap", {}, {}, Body};
  return sendWithRetries(Request, /*FirstOnly=*/true);
}

} // namespace mimosashunt
