#include "Links/HttpServer.h"

#include <cerrno>
#include <cstdlib>
#include <new>
#include <set>
#include <utility>
#include <vector>

namespace mimosashunt {

namespace {

std::string toString(h2o_iovec_t Bytes) { return {Bytes.base, Bytes.len}; }

// Allocated in the request's h2o memory pool, which disposes of it with the
// request.
struct ExchangeHolder {
  std::shared_ptr<HttpExchange> Exchange;
};

constexpr int TooLarge = 413;
constexpr int Unavailable = 503;
constexpr size_t MaxAcceptsPerTurn = 64;
// Most stream data that is buffered for a slow client.
constexpr size_t MaxStreamBacklogBytes = 4 << 20;
// Makes h2o match the host regardless of the port in the request.
constexpr uint16_t AnyPort = 65535;
// Time without accepting once the process has no free descriptor.
constexpr Duration AcceptPause = milliseconds(100);
// h2o would count its timeout from the first byte of a request; the limits of
// ServerConnections end a connection earlier.
constexpr uint64_t NoTimeoutMillis = uint64_t(20) * 24 * 3600 * 1000;
// A body without an announced length may pass the limit by the bytes of one
// read before its length is known.
constexpr size_t BodyOverrunBytes = 1 << 20;

void addHeaders(h2o_req_t *Native, const std::vector<HttpHeader> &Headers) {
  for (const HttpHeader &Header : Headers)
    h2o_add_header_by_str(
        &Native->pool, &Native->res.headers,
        h2o_strdup(&Native->pool, Header.Name.data(), Header.Name.size()).base,
        Header.Name.size(), 1, nullptr,
        h2o_strdup(&Native->pool, Header.Value.data(), Header.Value.size())
            .base,
        Header.Value.size());
}

bool hasNoDescriptor(int Error) {
  return Error == EMFILE || Error == ENFILE || Error == ENOBUFS ||
         Error == ENOMEM;
}

} // namespace

/// What h2o refers to while a connection is open. It outlives its server until
/// the last connection is closed.
struct HttpServerState {
  HttpServerState(EventLoop &Loop, HttpServer::Handler Handle,
                  const HttpServerOptions &Options);
  ~HttpServerState();
  HttpServerState(const HttpServerState &) = delete;
  HttpServerState &operator=(const HttpServerState &) = delete;

  std::error_code listen(const SocketAddress &Address);
  void beginShutdown();
  /// Called when the server is destroyed; frees this object, at once or after
  /// the last connection.
  void release();

  struct RequestHandler {
    // The first member, since h2o passes the handler as a pointer to it.
    h2o_handler_t Super;
    HttpServerState *Owner;
  };

  static int onRequest(h2o_handler_t *Self, h2o_req_t *Native);
  static void onAccept(h2o_socket_t *Listener, const char *Error);
  static void onRequestDisposed(void *Holder);
  /// Refuses a whole request that no handler has seen and ends its connection.
  int refuse(h2o_req_t *Native, int Status) const;
  void acceptPending();
  /// A listener without a free descriptor would stay readable.
  void pauseAccepting();
  void setLimits(const ClientLimits &Limits);
  void onLastClosed();

  EventLoop &Loop;
  HttpServer::Handler Handle;
  h2o_globalconf_t Config{};
  h2o_context_t Context{};
  h2o_accept_ctx_t AcceptContext{};
  h2o_socket_t *Listener = nullptr;
  bool IsShuttingDown = false;
  bool IsReleased = false; // The server is destroyed.
  const SocketBuffers Buffers;
  ServerConnections Connections;
  std::set<HttpExchange *> PendingExchanges;
  TimerId AcceptTimer = 0; // While accepting is paused.
};

HttpExchange::HttpExchange(HttpServerState &Server, h2o_req_t *Native)
    : Server(Server), Native(Native) {
  Request.Method = toString(Native->input.method);
  std::string Path = toString(Native->input.path);
  size_t QueryAt = Path.find('?');
  Request.Path = Path.substr(0, QueryAt);
  if (QueryAt != std::string::npos)
    Request.Query = Path.substr(QueryAt + 1);
  Request.Host = toString(Native->input.authority);
  for (size_t I = 0; I < Native->headers.size; ++I) {
    const h2o_header_t &Header = Native->headers.entries[I];
    Request.Headers.push_back({toString(*Header.name), toString(Header.value)});
  }
  Request.Body = toString(Native->entity);
}

h2o_socket_t *HttpExchange::socket() const {
  return Native->conn->callbacks->get_socket(Native->conn);
}

bool HttpExchange::reserve(int64_t Bytes) {
  return gone() || Server.Connections.reserve(socket(), Bytes);
}

void HttpExchange::setResponseHead(const HttpResponse &Response) {
  HasResponse = true;
  Native->res.status = Response.Status;
  Native->res.reason = "-";
  addHeaders(Native, Response.Headers);
  if (Server.IsShuttingDown)
    Native->http1_is_persistent = 0;
}

void HttpExchange::respond(const HttpResponse &Response) {
  if (gone() || HasResponse)
    return;
  setResponseHead(Response);
  Native->res.content_length = Response.Body.size();
  h2o_socket_t *Socket = socket();
  // The parser has a copy, and the socket what the kernel has not taken.
  Server.Connections.beginSending(
      Socket, 2 * static_cast<int64_t>(Response.Body.size()));
  h2o_send_inline(Native, Response.Body.data(), Response.Body.size());
  Server.Connections.follow(Socket);
}

void HttpExchange::startStream(const HttpResponse &Head) {
  if (gone() || HasResponse)
    return;
  setResponseHead(Head);
  IsStream = true;
  Generator.Super.proceed = onProceed;
  Generator.Super.stop = onStop;
  Generator.Owner = this;
  h2o_start_response(Native, &Generator.Super);
  Server.Connections.beginStream(socket());
  flushStream();
  Server.Connections.follow(socket());
}

void HttpExchange::write(const std::string &Chunk) {
  // A client that falls behind by this much is disconnected; it may reconnect.
  if (BufferedBytes.size() > MaxStreamBacklogBytes)
    IsEnding = true;
  else
    BufferedBytes += Chunk;
  if (!gone())
    Server.Connections.beginSending(
        socket(), static_cast<int64_t>(BufferedBytes.capacity() +
                                       BytesInFlight.capacity()));
  flushStream();
  if (!gone())
    Server.Connections.follow(socket());
}

void HttpExchange::endStream() {
  IsEnding = true;
  flushStream();
}

void HttpExchange::abandon() {
  if (IsStream)
    endStream();
  else
    respond({Unavailable, {}, {}});
}

void HttpExchange::flushStream() {
  if (gone() || IsSending || (BufferedBytes.empty() && !IsEnding))
    return;
  IsSending = true;
  BytesInFlight = std::exchange(BufferedBytes, {});
  h2o_iovec_t Bytes =
      h2o_iovec_init(BytesInFlight.data(), BytesInFlight.size());
  auto State = IsEnding ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS;
  h2o_socket_t *Socket = socket();
  h2o_send(Native, &Bytes, BytesInFlight.empty() ? 0 : 1, State);
  Server.Connections.follow(Socket);
}

void HttpExchange::onProceed(h2o_generator_t *Self, h2o_req_t *) {
  HttpExchange *Owner = reinterpret_cast<StreamGenerator *>(Self)->Owner;
  Owner->IsSending = false;
  Owner->flushStream();
}

void HttpExchange::onStop(h2o_generator_t *, h2o_req_t *) {}

HttpServerState::HttpServerState(EventLoop &Loop, HttpServer::Handler Handle,
                                 const HttpServerOptions &Options)
    : Loop(Loop), Handle(std::move(Handle)), Buffers(Options.Buffers),
      Connections(Loop, Options.Budget, Options.Limits, Options.RefusalHeaders,
                  [this] { onLastClosed(); }) {
  h2o_config_init(&Config);
  setLimits(Options.Limits);
  Config.http1.req_timeout = NoTimeoutMillis;
  Config.http1.upgrade_to_http2 = 0;
  h2o_hostconf_t *Host = h2o_config_register_host(
      &Config, h2o_iovec_init(H2O_STRLIT("default")), AnyPort);
  h2o_pathconf_t *Path = h2o_config_register_path(Host, "/", 0);
  auto *Native = reinterpret_cast<RequestHandler *>(
      h2o_create_handler(Path, sizeof(RequestHandler)));
  Native->Super.on_req = onRequest;
  Native->Owner = this;
  h2o_context_init(&Context, Loop.native(), &Config);
  AcceptContext.ctx = &Context;
  AcceptContext.hosts = Config.hosts;
}

HttpServerState::~HttpServerState() {
  Loop.timers().cancel(AcceptTimer);
  // Started by h2o_context_request_shutdown(); a context can be disposed of
  // only without running timers.
  h2o_timeout_unlink(&Context.http2._graceful_shutdown_timeout);
  h2o_multithread_queue_t *Queue = Context.queue;
  h2o_context_dispose(&Context);
#if H2O_LIBRARY_VERSION_MINOR == 13
  // h2o 2.2 destroys the queue's content but does not free the queue.
  std::free(Queue);
#endif
  h2o_config_dispose(&Config);
}

std::error_code HttpServerState::listen(const SocketAddress &Address) {
  int Descriptor = -1;
  if (std::error_code Error = Address.listen(Descriptor, Buffers))
    return Error;
  Listener = h2o_evloop_socket_create(Loop.native(), Descriptor,
                                      H2O_SOCKET_FLAG_DONT_READ);
  Listener->data = this;
  h2o_socket_read_start(Listener, onAccept);
  return {};
}

void HttpServerState::beginShutdown() {
  if (IsShuttingDown)
    return;
  IsShuttingDown = true;
  Loop.timers().cancel(std::exchange(AcceptTimer, 0));
  if (Listener != nullptr) {
    h2o_socket_read_stop(Listener);
    h2o_socket_close(Listener);
    Listener = nullptr;
  }
  h2o_context_request_shutdown(&Context);
}

void HttpServerState::release() {
  beginShutdown();
  IsReleased = true;
  std::vector<std::shared_ptr<HttpExchange>> Unanswered;
  for (HttpExchange *Exchange : PendingExchanges)
    Unanswered.push_back(Exchange->shared_from_this());
  for (const std::shared_ptr<HttpExchange> &Exchange : Unanswered) {
    Exchange->DisconnectCallback = {};
    Exchange->abandon();
  }
  if (Connections.size() == 0) {
    delete this;
    return;
  }
  // h2o closes an idle connection when the loop reads the end of the stream,
  // and the others after their response.
  Connections.endInput();
}

void HttpServerState::onAccept(h2o_socket_t *Listener, const char *Error) {
  if (Error == nullptr)
    static_cast<HttpServerState *>(Listener->data)->acceptPending();
}

void HttpServerState::acceptPending() {
  Loop.refresh();
  for (size_t I = 0; I < MaxAcceptsPerTurn; ++I) {
    h2o_socket_t *Socket = h2o_evloop_socket_accept(Listener);
    if (Socket == nullptr) {
      if (hasNoDescriptor(errno))
        pauseAccepting();
      return;
    }
    if (!Connections.add(Socket))
      continue;
    h2o_accept(&AcceptContext, Socket);
    Connections.follow(Socket);
  }
}

void HttpServerState::pauseAccepting() {
  Connections.countUnaccepted();
  h2o_socket_read_stop(Listener);
  AcceptTimer =
      Loop.timers().scheduleAt(Loop.timers().now() + AcceptPause, [this] {
        AcceptTimer = 0;
        h2o_socket_read_start(Listener, onAccept);
      });
}

void HttpServerState::setLimits(const ClientLimits &Limits) {
  Connections.setLimits(Limits);
  Config.max_request_entity_size = Limits.MaxBodyBytes + BodyOverrunBytes;
}

void HttpServerState::onLastClosed() {
  // Deferred, since h2o still removes the connection from the context's list.
  if (IsReleased)
    Loop.defer([this] { delete this; });
}

void HttpServerState::onRequestDisposed(void *Holder) {
  auto *TypedHolder = static_cast<ExchangeHolder *>(Holder);
  std::shared_ptr<HttpExchange> Exchange = std::move(TypedHolder->Exchange);
  TypedHolder->~ExchangeHolder();
  Exchange->Server.PendingExchanges.erase(Exchange.get());
  Exchange->Server.Connections.endRequest(Exchange->socket());
  Exchange->Native = nullptr;
  std::function<void()> OnDisconnect =
      std::exchange(Exchange->DisconnectCallback, {});
  if (OnDisconnect && !Exchange->HasResponse)
    OnDisconnect();
}

int HttpServerState::refuse(h2o_req_t *Native, int Status) const {
  Native->http1_is_persistent = 0;
  Native->res.status = Status;
  Native->res.reason = "-";
  Native->res.content_length = 0;
  addHeaders(Native, Connections.refusalHeaders(Status));
  h2o_send_inline(Native, "", 0);
  return 0;
}

int HttpServerState::onRequest(h2o_handler_t *Handler, h2o_req_t *Native) {
  HttpServerState *Self = reinterpret_cast<RequestHandler *>(Handler)->Owner;
  if (Self->IsReleased)
    return Self->refuse(Native, Unavailable);
  if (Native->entity.len > Self->Connections.limits().MaxBodyBytes)
    return Self->refuse(Native, TooLarge);
  // The handler has a copy of the request.
  auto CopyBytes = static_cast<int64_t>(
      Native->entity.len + Native->path.len +
      Native->headers.size * sizeof(HttpHeader) + sizeof(HttpExchange));
  h2o_socket_t *Socket = Native->conn->callbacks->get_socket(Native->conn);
  if (!Self->Connections.beginHandling(Socket, CopyBytes))
    return Self->refuse(Native, Unavailable);
  auto Exchange = std::make_shared<HttpExchange>(*Self, Native);
  void *Memory = h2o_mem_alloc_shared(&Native->pool, sizeof(ExchangeHolder),
                                      onRequestDisposed);
  new (Memory) ExchangeHolder{Exchange};
  Self->PendingExchanges.insert(Exchange.get());
  Self->Loop.refresh();
  Self->Handle(std::move(Exchange));
  return 0;
}

HttpServer::HttpServer(EventLoop &Loop, Handler Handle,
                       const HttpServerOptions &Options)
    : State(new HttpServerState(Loop, std::move(Handle), Options)) {}

HttpServer::~HttpServer() { State->release(); }

std::error_code HttpServer::listen(const SocketAddress &Address) {
  return State->listen(Address);
}

void HttpServer::setLimits(const ClientLimits &Limits) {
  State->setLimits(Limits);
}

void HttpServer::beginShutdown() { State->beginShutdown(); }

size_t HttpServer::openConnections() const { return State->Connections.size(); }

const ServerConnections &HttpServer::connections() const {
  return State->Connections;
}

size_t HttpServer::pendingExchanges() const {
  return State->PendingExchanges.size();
}

} // namespace mimosashunt
