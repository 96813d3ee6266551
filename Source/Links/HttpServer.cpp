#include "Links/HttpServer.h"

#include <algorithm>
#include <new>
#include <utility>

namespace mimosashunt {

namespace {

std::string toString(h2o_iovec_t Bytes) { return {Bytes.base, Bytes.len}; }

// Allocated in the request's h2o memory pool, which disposes of it with the
// request.
struct ExchangeHolder {
  std::shared_ptr<HttpExchange> Exchange;
};

constexpr size_t MaxAcceptsPerTurn = 64;
// Most stream data that is buffered for a slow client.
constexpr size_t MaxStreamBacklogBytes = 4 << 20;
// Makes h2o match the host regardless of the port in the request.
constexpr uint16_t AnyPort = 65535;

} // namespace

HttpExchange::HttpExchange(HttpServer &Server, h2o_req_t *Native)
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

void HttpExchange::setResponseHead(const HttpResponse &Response) {
  HasResponse = true;
  Native->res.status = Response.Status;
  Native->res.reason = "-";
  for (const HttpHeader &Header : Response.Headers)
    h2o_add_header_by_str(
        &Native->pool, &Native->res.headers,
        h2o_strdup(&Native->pool, Header.Name.data(), Header.Name.size()).base,
        Header.Name.size(), 1, nullptr,
        h2o_strdup(&Native->pool, Header.Value.data(), Header.Value.size())
            .base,
        Header.Value.size());
  if (Server.IsShuttingDown)
    Native->http1_is_persistent = 0;
}

void HttpExchange::respond(const HttpResponse &Response) {
  if (gone() || HasResponse)
    return;
  setResponseHead(Response);
  Native->res.content_length = Response.Body.size();
  h2o_send_inline(Native, Response.Body.data(), Response.Body.size());
}

void HttpExchange::startStream(const HttpResponse &Head) {
  if (gone() || HasResponse)
    return;
  setResponseHead(Head);
  Generator.Super.proceed = onProceed;
  Generator.Super.stop = onStop;
  Generator.Owner = this;
  h2o_start_response(Native, &Generator.Super);
  flushStream();
}

void HttpExchange::write(const std::string &Chunk) {
  // A client that falls behind by this much is disconnected; it may reconnect.
  if (BufferedBytes.size() > MaxStreamBacklogBytes)
    IsEnding = true;
  else
    BufferedBytes += Chunk;
  flushStream();
}

void HttpExchange::endStream() {
  IsEnding = true;
  flushStream();
}

void HttpExchange::flushStream() {
  if (gone() || IsSending || (BufferedBytes.empty() && !IsEnding))
    return;
  IsSending = true;
  BytesInFlight = std::exchange(BufferedBytes, {});
  h2o_iovec_t Bytes =
      h2o_iovec_init(BytesInFlight.data(), BytesInFlight.size());
  auto State = IsEnding ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS;
  h2o_send(Native, &Bytes, BytesInFlight.empty() ? 0 : 1, State);
}

void HttpExchange::onProceed(h2o_generator_t *Self, h2o_req_t *) {
  HttpExchange *Owner = reinterpret_cast<StreamGenerator *>(Self)->Owner;
  Owner->IsSending = false;
  Owner->flushStream();
}

void HttpExchange::onStop(h2o_generator_t *, h2o_req_t *) {}

HttpServer::HttpServer(EventLoop &Loop, Handler Handle,
                       HttpServerOptions Options)
    : Loop(Loop), Handle(std::move(Handle)) {
  h2o_config_init(&Config);
  Config.max_request_entity_size = Options.MaxBodyBytes;
  Config.http1.req_timeout =
      static_cast<uint64_t>(toMillis(Options.ReadTimeout));
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

std::error_code HttpServer::listen(const SocketAddress &Address) {
  int Descriptor = -1;
  if (std::error_code Error = Address.listen(Descriptor))
    return Error;
  Listener = h2o_evloop_socket_create(Loop.native(), Descriptor,
                                      H2O_SOCKET_FLAG_DONT_READ);
  Listener->data = this;
  h2o_socket_read_start(Listener, onAccept);
  return {};
}

void HttpServer::beginShutdown() {
  if (IsShuttingDown)
    return;
  IsShuttingDown = true;
  if (Listener != nullptr) {
    h2o_socket_read_stop(Listener);
    h2o_socket_close(Listener);
    Listener = nullptr;
  }
  h2o_context_request_shutdown(&Context);
}

void HttpServer::onAccept(h2o_socket_t *Listener, const char *Error) {
  if (Error != nullptr)
    return;
  auto *Self = static_cast<HttpServer *>(Listener->data);
  for (size_t I = 0; I < MaxAcceptsPerTurn; ++I) {
    h2o_socket_t *Socket = h2o_evloop_socket_accept(Listener);
    if (Socket == nullptr)
      return;
    ++Self->OpenConnectionCount;
    Socket->on_close.cb = onClose;
    Socket->on_close.data = Self;
    h2o_accept(&Self->AcceptContext, Socket);
  }
}

void HttpServer::onClose(void *Self) {
  --static_cast<HttpServer *>(Self)->OpenConnectionCount;
}

void HttpServer::onRequestDisposed(void *Holder) {
  auto *TypedHolder = static_cast<ExchangeHolder *>(Holder);
  std::shared_ptr<HttpExchange> Exchange = std::move(TypedHolder->Exchange);
  TypedHolder->~ExchangeHolder();
  --Exchange->Server.PendingExchangeCount;
  Exchange->Native = nullptr;
  std::function<void()> OnDisconnect =
      std::exchange(Exchange->DisconnectCallback, {});
  if (OnDisconnect && !Exchange->HasResponse)
    OnDisconnect();
}

int HttpServer::onRequest(h2o_handler_t *Handler, h2o_req_t *Native) {
  HttpServer *Self = reinterpret_cast<RequestHandler *>(Handler)->Owner;
  auto Exchange = std::make_shared<HttpExchange>(*Self, Native);
  void *Memory = h2o_mem_alloc_shared(&Native->pool, sizeof(ExchangeHolder),
                                      onRequestDisposed);
  new (Memory) ExchangeHolder{Exchange};
  ++Self->PendingExchangeCount;
  Self->Loop.refresh();
  Self->Handle(std::move(Exchange));
  return 0;
}

} // namespace mimosashunt
