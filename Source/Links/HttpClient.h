// HTTP client over h2o with a pool of connections for each address. Its results
// tell whether a byte of the request may have left, since a request that was
// never sent may be sent again.

#ifndef MIMOSASHUNT_LINKS_HTTPCLIENT_H
#define MIMOSASHUNT_LINKS_HTTPCLIENT_H

#include "Links/EventLoop.h"
#include "Links/HttpTypes.h"
#include "Links/SocketAddress.h"

#include <deque>
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
  /// Most connections, and so most calls under way, for each address; further
  /// calls wait in order of arrival, within their own timeouts.
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
  /// Connections to one address; replaced when they seem to have gone silent.
  struct Pool {
    h2o_socketpool_t Native{};
    size_t InUse = 0; // Calls that hold one of its connections.
    Instant LastUsed;
  };
  struct Lane {
    std::shared_ptr<Pool> Connections;
    size_t UnderWay = 0;
    std::deque<uint64_t> Waiting; // Calls, by id; some may have expired.
  };

  std::shared_ptr<Pool> makePool(const SocketAddress &Address);
  void connect(uint64_t Id);
  /// Gives the call's place in its lane back.
  void leave(const Call &Ended);
  /// Begins calls that wait while there are places.
  void admit(const std::string &Target);
  void retirePool(const std::string &Target);
  /// Disposes of what has not been used for long, so that addresses which are
  /// gone cost neither descriptors nor time in each turn of the loop.
  void sweep();

  EventLoop &Loop;
  HttpClientOptions Options;
  h2o_timeout_t IoTimeout{};
  h2o_http1client_ctx_t Context{};
  std::map<std::string, Lane> Lanes; // By address.
  std::vector<std::shared_ptr<Pool>> Retired;
  TimerId SweepTimer = 0;
  std::map<uint64_t, std::unique_ptr<Call>> Calls;
  uint64_t LastCall = 0;
};

} // namespace mimosashunt

#endif
