// HTTP server for one listening address on an event loop. Handlers may respond
// asynchronously; a response to a client that has disconnected is dropped.

#ifndef MIMOSASHUNT_LINKS_HTTPSERVER_H
#define MIMOSASHUNT_LINKS_HTTPSERVER_H

#include "Links/EventLoop.h"
#include "Links/HttpTypes.h"
#include "Links/ServerConnections.h"
#include "Links/SocketAddress.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mimosashunt {

struct HttpServerState;

/// One request and the means to respond to it. Used on the loop's thread only.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
  HttpExchange(HttpServerState &Server, h2o_req_t *Native);
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  const HttpRequest &request() const { return Request; }

  /// True once the request has ended or its connection is closed; responses are
  /// then dropped.
  bool gone() const { return Native == nullptr; }

  /// Sets the callback that runs if the client disconnects before a response
  /// was started.
  void onGone(std::function<void()> Callback) {
    DisconnectCallback = std::move(Callback);
  }

  /// Counts memory that the handler takes for this request until it responds.
  /// Returns false if there is no room; the handler must then refuse it.
  bool reserve(int64_t Bytes);

  /// Sends the response; later calls are ignored.
  void respond(const HttpResponse &Response);

  /// Starts a response of unknown length, for server-sent events.
  void startStream(const HttpResponse &Head);
  /// Appends to the stream. A client that reads too slowly is disconnected.
  void write(const std::string &Chunk);
  /// Ends the stream once the buffered data is sent.
  void endStream();

private:
  friend struct HttpServerState;
  struct StreamGenerator {
    // The first member, since h2o passes the generator as a pointer to it.
    h2o_generator_t Super;
    HttpExchange *Owner;
  };

  static void onProceed(h2o_generator_t *Self, h2o_req_t *Native);
  static void onStop(h2o_generator_t *Self, h2o_req_t *Native);
  h2o_socket_t *socket() const;
  void setResponseHead(const HttpResponse &Response);
  /// Ends the request for a server that is destroyed.
  void abandon();
  /// Passes buffered stream data to h2o unless it still sends earlier data.
  void flushStream();

  HttpServerState &Server; // Only valid until the request has ended.
  h2o_req_t *Native;
  HttpRequest Request;
  bool HasResponse = false; // Started or sent.
  std::function<void()> DisconnectCallback;
  StreamGenerator Generator{};
  std::string BufferedBytes; // Not yet passed to h2o.
  std::string BytesInFlight; // Passed to h2o, which still refers to them.
  bool IsStream = false;     // Started as a stream.
  bool IsSending = false;    // h2o has not asked for more data yet.
  bool IsEnding = false;     // The next send is the last one.
};

struct HttpServerOptions {
  ClientLimits Limits;
  /// Of all connections together.
  ConnectionLimits Budget = {64 << 20, 1024};
  /// Headers of the responses with which the server itself refuses requests.
  std::vector<HttpHeader> RefusalHeaders = {};
  /// Sizes of the kernel's buffers of each connection.
  SocketBuffers Buffers = {16 << 10, 32 << 10};
};

class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop &Loop, Handler Handle,
             const HttpServerOptions &Options = {});
  /// Stops listening and ends all connections. Pending requests are answered
  /// with status 503, and their callbacks are not called any more. The loop
  /// frees what h2o refers to once all connections are closed.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts to accept connections. Fails with LinkError::CannotListen.
  std::error_code listen(const SocketAddress &Address);

  /// Applies to requests that arrive from now on.
  void setLimits(const ClientLimits &Limits);

  /// Stops accepting connections and closes each open one after its next
  /// response. Pending requests are still answered.
  void beginShutdown();

  /// Open connections, idle ones included.
  size_t openConnections() const;
  /// Requests that are not completely answered yet.
  size_t pendingExchanges() const;
  /// Limits, what is held, and what was refused and closed.
  const ServerConnections &connections() const;

private:
  HttpServerState *State; // Frees itself after the last connection.
};

} // namespace mimosashunt

#endif
