// HTTP client over h2o with a pool of connections for each address. Its results
// tell whether a byte of the request may have left, since a request that was
// never sent may be sent again.

#ifndef MIMOSASHUNT_LINKS_HTTPCLIENT_H
#define MIMOSASHUNT_LINKS_HTTPCLIENT_H

#include "Links/EventLoop.h"
#include "Links/HttpTypes.h"
#include "Links/SocketAddress.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

/// The connection could not be made: the other end saw nothing.
struct HttpNotSent {
  std::string Message;
};

/// The request may have been received, but no whole answer came.
struct HttpLost {
  std::string Message;
};

using HttpResult = std::variant<HttpResponse, HttpNotSent, HttpLost>;

struct HttpClientOptions {
  /// Pooled connections for each address.
  size_t ConnectionsPerAddress = 64;
  /// Idle connections are closed sooner than servers close theirs, so that a
  /// request rarely meets a connection that the server is closing.
  Duration IdleTimeout = seconds(2);
  size_t MaxBodyBytes = 16 << 20;
};

class HttpClient {
public:
  using Callback = std::function<void(HttpResult)>;
  /// Asked when the connection stands, just before the first byte leaves.
  using Guard = std::function<bool()>;

  explicit HttpClient(EventLoop &Loop, HttpClientOptions Options = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends a request; \p Done runs once, on the loop's thread, and never
  /// before send() has returned. Without a whole answer within \p Timeout
  /// the connection is dropped. If \p MayLeave says no, nothing is sent.
  void send(const SocketAddress &Address, const HttpRequest &Request,
            Duration Timeout, Callback Done, Guard MayLeave = {});

  size_t pendingCalls() const { return Calls.size(); }

private:
  struct Call;

  static h2o_http1client_head_cb
  onConnect(h2o_http1client_t *Native, const char *Error, h2o_iovec_t **Buffers,
            size_t *BufferCount, int *MethodIsHead);
  static h2o_http1client_body_cb onHead(h2o_http1client_t *Native,
                                        const char *Error, int MinorVersion,
                                        int Status, h2o_iovec_t Reason,
                                        struct st_h2o_header_t *Headers,
                                        size_t HeaderCount, int ReceivedLength);
  static int onBody(h2o_http1client_t *Native, const char *Error);

  void finish(uint64_t Id, HttpResult Result);
  void expire(uint64_t Id);
  h2o_socketpool_t *pool(const SocketAddress &Address);
  void retirePool(const std::string &Target);

  EventLoop &Loop;
  HttpClientOptions Options;
  h2o_timeout_t IoTimeout{};
  h2o_http1client_ctx_t Context{};
  std::map<std::string, std::unique_ptr<h2o_socketpool_t>> Pools;
  std::vector<std::unique_ptr<h2o_socketpool_t>> Retired;
  std::map<uint64_t, std::unique_ptr<Call>> Calls;
  uint64_t LastCall = 0;
};

} // namespace mimosashunt

#endif
