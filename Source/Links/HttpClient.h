// HTTP client over h2o with a connection pool for each address. Its results
// tell whether any byte of the request may have been sent, since only a request
// that was certainly not sent is safe to retry.

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

/// No byte of the request was sent: the connection failed or timed out, or the
/// guard refused.
struct HttpNotSent {
  std::string Message;
};

/// The server may have received the request, but no complete response arrived.
struct HttpLost {
  std::string Message;
};

using HttpResult = std::variant<HttpResponse, HttpNotSent, HttpLost>;

struct HttpClientOptions {
  /// Maximum number of connections, and so of calls in flight, for each
  /// address. Further calls wait in order of arrival; their timeouts keep
  /// running.
  size_t ConnectionsPerAddress = 64;
  /// A connection that has been idle for this time is not used again. It is
  /// shorter than the servers' idle timeouts, so that a request is rarely sent
  /// on a connection that the server is closing.
  Duration IdleTimeout = seconds(2);
  /// Connections are reset when they are closed, by whatever end of the call or
  /// of the process. Bytes that the kernel has not delivered are then discarded
  /// instead of arriving after an interruption of the network.
  bool ResetOnClose = false;
  /// The kernel resets a connection on which sent bytes stay unacknowledged for
  /// this long, also while the process is suspended. Zero for the system's
  /// default of many minutes.
  Duration DeliveryTimeout{};
  /// A call whose response body is larger ends with HttpLost.
  size_t MaxBodyBytes = 16 << 20;
};

class HttpClient {
public:
  using Callback = std::function<void(HttpResult)>;
  /// Called once the connection is established, just before the first byte is
  /// sent; false cancels the request.
  using Guard = std::function<bool()>;

  explicit HttpClient(EventLoop &Loop, HttpClientOptions Options = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends a request. \p OnDone runs exactly once, on the loop's thread and
  /// after send() has returned. If no complete response arrives within \p
  /// Timeout, the connection is closed. If \p MaySend returns false, nothing is
  /// sent and the result is HttpNotSent.
  void send(const SocketAddress &Address, const HttpRequest &Request,
            Duration Timeout, Callback OnDone, Guard MaySend = {});

  /// Ends all calls that have no result yet, with HttpNotSent or HttpLost.
  void cancelAll();

  /// Calls that have no result yet, waiting ones included.
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

  /// Ends the call and passes its result to its callback.
  void finishCall(uint64_t Id, HttpResult Result);
  /// Ends a call without a response and closes its connection.
  void abandonCall(uint64_t Id, const char *Reason);
  void setSocketOptions(h2o_socket_t *Socket) const;
  /// Connections to one address; replaced when a call on them times out.
  struct Pool {
    h2o_socketpool_t Native{};
    size_t CallsInFlight = 0; // Each holds one connection.
    Instant LastUsed;
  };
  /// Calls and connections of one address.
  struct Destination {
    std::shared_ptr<Pool> Connections;
    size_t CallsInFlight = 0;
    std::deque<uint64_t> WaitingCalls; // Call ids; some may have expired.
  };

  std::shared_ptr<Pool> makePool(const SocketAddress &Address);
  /// Connects the call, or queues it if its address has no free connection.
  void startCall(uint64_t Id);
  /// Returns the call's connection to its address.
  void releaseConnection(const Call &Ended);
  /// Starts waiting calls while the address has free connections.
  void startWaitingCalls(const std::string &Target);
  /// True if the pool has no calls and has had none for that long.
  bool isExpired(const Pool &Candidate, Duration MaxIdleTime) const;
  /// Makes later calls to the address use a new pool.
  void retirePool(const std::string &Target);
  /// Disposes of pools that have been unused for long, so that addresses no
  /// longer in use cost neither descriptors nor time in each loop iteration.
  void disposeIdlePools();

  EventLoop &Loop;
  HttpClientOptions Options;
  h2o_timeout_t IoTimeout{};
  h2o_http1client_ctx_t Context{};
  std::map<std::string, Destination> Destinations; // By address.
  std::vector<std::shared_ptr<Pool>> RetiredPools;
  TimerId IdlePoolTimer = 0;
  std::map<uint64_t, std::unique_ptr<Call>> Calls;
  uint64_t LastCallId = 0;
};

} // namespace mimosashunt

#endif
