// Blocking HTTP client of the administration interface, used by the command
// line. It tries the control VMs in turn, follows redirects to the leader, and
// retries a change with the same operation id so that it takes effect once.

#ifndef MIMOSASHUNT_CTL_CTLCLIENT_H
#define MIMOSASHUNT_CTL_CTLCLIENT_H

#include "Core/JsonFields.h"
#include "Daemon/Tracing.h"
#include "Links/EventLoop.h"
#include "Links/HttpClient.h"

#include <string>
#include <vector>

namespace mimosashunt {

/// The last answer to a call, after redirects and retries.
struct CtlReply {
  /// HTTP status; zero if no control VM answered.
  int Status = 0;
  /// Parsed body; a discarded value if the body is not JSON.
  Json Body;
};

/// Sends requests to the control VMs and blocks until one answers.
class CtlClient {
public:
  /// \p Timeout limits the time of each call including all its retries. \p Key
  /// is the operator's key.
  CtlClient(std::vector<SocketAddress> ControlVms, std::string Key,
            Duration Timeout, const Tracing &Tracer);

  /// Reads the resource at \p Path.
  CtlReply get(const std::string &Path);

  /// Sends a change with \p OperationId as its idempotency key. \p
  /// ExpectedRevision is the revision sent as If-Match; if it is empty, the
  /// header is left out.
  CtlReply sendChange(const std::string &Method, const std::string &Path,
                      const std::string &Body, const std::string &OperationId,
                      const std::string &ExpectedRevision);

  /// Creates the control group. Sends to the first control VM only and never
  /// moves on to another one.
  CtlReply bootstrap(const std::string &Body);

private:
  /// Retries until a control VM gives a final answer or the timeout expires.
  CtlReply sendWithRetries(const HttpRequest &Request, bool FirstOnly);
  /// Sends one attempt and blocks until its result arrives.
  HttpResult sendOnce(const SocketAddress &Address, HttpRequest Request,
                      const opentracing::Span &ParentSpan);

  EventLoop Loop;
  HttpClient Client;
  const std::vector<SocketAddress> ControlVms;
  const std::string Key;
  const Duration Timeout;
  const Tracing &Tracer;
  /// Index of the control VM that the next call tries first.
  size_t NextControlVm = 0;
};

} // namespace mimosashunt

#endif
