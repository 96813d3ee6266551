#include "Links/HttpClient.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace mimosashunt {

namespace {

// Limit for a socket that never becomes ready; each call also has its own
// timeout.
constexpr uint64_t IoTimeoutMillis = 120000;
constexpr Duration IdlePoolCheckInterval = seconds(2);

/// True if the end of the body can be told from the headers or status.
bool isBodyDelimited(const std::vector<HttpHeader> &Headers, int Status) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Status == NoContent || Status == NotModified ||
         !headerValue(Headers, "content-length").empty() ||
         headerValue(Headers, "transfer-encoding") == "chunked";
}

std::string encodeRequest(const SocketAddress &Address,
                          const HttpRequest &Request) {
  std::string Text = Request.Method + " " + Request.Path;
  if (!Request.Query.empty())
    Text += "?" + Request.Query;
  Text += " HTTP/1.1\r\nhost: " + Address.text() + "\r\n";
  for (const HttpHeader &Header : Request.Headers)
    Text += Header.Name + ": " + Header.Value + "\r\n";
  bool IsRead = Request.Method == "GET" || Request.Method == "HEAD";
  if (!IsRead || !Request.Body.empty())
    Text += "content-length: " + std::to_string(Request.Body.size()) + "\r\n";
  return Text + "\r\n" + Request.Body;
}

} // namespace

struct HttpClient::Call {
  HttpClient *Owner;
  uint64_t Id;
  SocketAddress Target;
  std::string RequestBytes;
  h2o_iovec_t Buffer;
  bool IsHead;
  Callback OnDone;
  Guard MaySend;
  TimerId Timer = 0;
  h2o_http1client_t *Native = nullptr;
  std::shared_ptr<Pool> Connections; // Set once the call is in flight.
  bool MayHaveBeenSent = false;
  HttpResponse Response;
};

HttpClient::HttpClient(EventLoop &Loop, HttpClientOptions Options)
    : Loop(Loop), Options(Options) {
  h2o_timeout_init(Loop.native(), &IoTimeout, IoTimeoutMillis);
  Context.loop = Loop.native();
  Context.getaddr_receiver = Loop.resolver();
  Context.io_timeout = &IoTimeout;
  IdlePoolTimer = Loop.timers().scheduleEvery(IdlePoolCheckInterval,
                                              [this] { disposeIdlePools(); });
}

HttpClient::~HttpClient() {
  Loop.timers().cancel(IdlePoolTimer);
  for (auto &[Id, Entry] : Calls) {
    Loop.timers().cancel(Entry->Timer);
    if (Entry->Native != nullptr)
      h2o_http1client_cancel(Entry->Native);
  }
  for (auto &[Target, Dest] : Destinations)
    if (Dest.Connections)
      h2o_socketpool_dispose(&Dest.Connections->Native);
  for (const std::shared_ptr<Pool> &Candidate : RetiredPools)
    h2o_socketpool_dispose(&Candidate->Native);
  h2o_timeout_dispose(Loop.native(), &IoTimeout);
}

std::shared_ptr<HttpClient::Pool>
HttpClient::makePool(const SocketAddress &Address) {
  auto Result = std::make_shared<Pool>();
  sockaddr_in Native = Address.native();
  h2o_socketpool_init_by_address(
      &Result->Native, reinterpret_cast<sockaddr *>(&Native), sizeof(Native), 0,
      Options.ConnectionsPerAddress);
  // h2o_socketpool_set_timeout() would add a timer for each pool, which every
  // iteration of the event loop visits. Without it, h2o closes connections that
  // have been idle for too long when the pool is used next, and
  // disposeIdlePools() closes those of unused pools.
  Result->Native.timeout = static_cast<uint64_t>(toMillis(Options.IdleTimeout));
  Result->Native._interval_cb.loop = Loop.native();
  h2o_linklist_init_anchor(&Result->Native._interval_cb.timeout._link);
  h2o_linklist_init_anchor(&Result->Native._interval_cb.timeout._entries);
  return Result;
}

void HttpClient::startCall(uint64_t Id) {
  auto It = Calls.find(Id);
  if (It == Calls.end())
    return;
  Call &Entry = *It->second;
  // h2o ends the process if it is given an address that is not set.
  if (Entry.Target.text().empty())
    return finishCall(Id, HttpNotSent{"no address"});
  Destination &Dest = Destinations[Entry.Target.text()];
  if (Dest.CallsInFlight >= Options.ConnectionsPerAddress) {
    Dest.WaitingCalls.push_back(Id);
    return;
  }
  if (!Dest.Connections)
    Dest.Connections = makePool(Entry.Target);
  ++Dest.CallsInFlight;
  Entry.Connections = Dest.Connections;
  ++Entry.Connections->CallsInFlight;
  Entry.Connections->LastUsed = Loop.timers().now();
  h2o_http1client_t *Native = nullptr;
  h2o_http1client_connect_with_pool(&Native, &Entry, &Context,
                                    &Entry.Connections->Native, onConnect);
  It = Calls.find(Id);
  if (It != Calls.end())
    It->second->Native = Native;
}

void HttpClient::releaseConnection(const Call &Ended) {
  if (!Ended.Connections)
    return;
  --Ended.Connections->CallsInFlight;
  Ended.Connections->LastUsed = Loop.timers().now();
  Destination &Dest = Destinations[Ended.Target.text()];
  --Dest.CallsInFlight;
  // Deferred until h2o has taken back this call's connection.
  if (!Dest.WaitingCalls.empty())
    Loop.defer(
        [this, Target = Ended.Target.text()] { startWaitingCalls(Target); });
}

void HttpClient::startWaitingCalls(const std::string &Target) {
  auto It = Destinations.find(Target);
  while (It != Destinations.end() && !It->second.WaitingCalls.empty() &&
         It->second.CallsInFlight < Options.ConnectionsPerAddress) {
    uint64_t Next = It->second.WaitingCalls.front();
    It->second.WaitingCalls.pop_front();
    startCall(Next);
    It = Destinations.find(Target);
  }
}

void HttpClient::retirePool(const std::string &Target) {
  auto It = Destinations.find(Target);
  if (It == Destinations.end() || !It->second.Connections)
    return;
  // Calls in flight return their connections to the retired pool, where idle
  // connections are closed after the idle timeout.
  RetiredPools.push_back(std::exchange(It->second.Connections, nullptr));
}

bool HttpClient::isExpired(const Pool &Candidate, Duration MaxIdleTime) const {
  return Candidate.CallsInFlight == 0 &&
         Loop.timers().now() - Candidate.LastUsed > MaxIdleTime;
}

void HttpClient::disposeIdlePools() {
  auto IsIdle = [this](const std::shared_ptr<Pool> &Candidate) {
    return Candidate &&
           isExpired(*Candidate, Options.IdleTimeout + IdlePoolCheckInterval);
  };
  for (auto &[Target, Dest] : Destinations)
    if (IsIdle(Dest.Connections) && Dest.WaitingCalls.empty())
      RetiredPools.push_back(std::exchange(Dest.Connections, nullptr));
  std::erase_if(Destinations, [](const auto &Entry) {
    const Destination &Dest = Entry.second;
    return !Dest.Connections && Dest.CallsInFlight == 0 &&
           Dest.WaitingCalls.empty();
  });
  for (const std::shared_ptr<Pool> &Candidate : RetiredPools)
    if (IsIdle(Candidate))
      h2o_socketpool_dispose(&Candidate->Native);
  std::erase_if(RetiredPools, IsIdle);
}

void HttpClient::send(const SocketAddress &Address, const HttpRequest &Request,
                      Duration Timeout, Callback OnDone, Guard MaySend) {
  uint64_t Id = ++LastCallId;
  auto NewCall = std::make_unique<Call>();
  NewCall->Owner = this;
  NewCall->Id = Id;
  NewCall->Target = Address;
  NewCall->RequestBytes = encodeRequest(Address, Request);
  NewCall->Buffer = h2o_iovec_init(NewCall->RequestBytes.data(),
                                   NewCall->RequestBytes.size());
  NewCall->IsHead = Request.Method == "HEAD";
  NewCall->OnDone = std::move(OnDone);
  NewCall->MaySend = std::move(MaySend);
  Call *Entry = NewCall.get();
  Calls.emplace(Id, std::move(NewCall));
  Instant Deadline = Loop.timers().now() + Timeout;
  Entry->Timer = Loop.timers().scheduleAt(
      Deadline, [this, Id] { abandonCall(Id, "no whole answer in time"); });
  // Connecting is deferred so that a pooled connection cannot invoke the
  // callback before send() has returned.
  Loop.defer([this, Id] { startCall(Id); });
}

void HttpClient::finishCall(uint64_t Id, HttpResult Result) {
  auto It = Calls.find(Id);
  if (It == Calls.end())
    return;
  std::unique_ptr<Call> Entry = std::move(It->second);
  Calls.erase(It);
  Loop.timers().cancel(Entry->Timer);
  Loop.refresh();
  releaseConnection(*Entry);
  Entry->OnDone(std::move(Result));
  // h2o may refer to the request's bytes until this iteration has ended.
  Loop.defer([KeepAlive = std::shared_ptr<Call>(std::move(Entry))] {});
}

void HttpClient::cancelAll() {
  std::vector<uint64_t> Ids;
  for (const auto &[Id, Entry] : Calls)
    Ids.push_back(Id);
  for (uint64_t Id : Ids)
    abandonCall(Id, "cancelled");
}

void HttpClient::setSocketOptions(h2o_socket_t *Socket) const {
  int Descriptor = h2o_socket_get_fd(Socket);
  if (Options.ResetOnClose) {
    linger Reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  }
  if (Options.DeliveryTimeout > Duration::zero()) {
    auto Millis = static_cast<unsigned>(toMillis(Options.DeliveryTimeout));
    setsockopt(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &Millis,
               sizeof(Millis));
  }
}

void HttpClient::abandonCall(uint64_t Id, const char *Reason) {
  auto It = Calls.find(Id);
  if (It == Calls.end())
    return;
  Call &Entry = *It->second;
  if (Entry.Native != nullptr)
    h2o_http1client_cancel(std::exchange(Entry.Native, nullptr));
  if (Entry.MayHaveBeenSent) {
    // A device on the path may have dropped its state for the connections to
    // this address, so later calls use new ones.
    retirePool(Entry.Target.text());
    finishCall(Id, HttpLost{Reason});
  } else
    finishCall(Id, HttpNotSent{Reason});
}

h2o_http1client_head_cb HttpClient::onConnect(h2o_http1client_t *Native,
                                              const char *Error,
                                              h2o_iovec_t **Buffers,
                                              size_t *BufferCount,
                                              int *MethodIsHead) {
  Call *Entry = static_cast<Call *>(Native->data);
  if (Error != nullptr) {
    Entry->Native = nullptr;
    Entry->Owner->finishCall(Entry->Id, HttpNotSent{Error});
    return nullptr;
  }
  Entry->Owner->Loop.refresh();
  if (Entry->MaySend && !Entry->MaySend()) {
    Entry->Native = nullptr;
    Entry->Owner->finishCall(Entry->Id, HttpNotSent{"no longer allowed"});
    return nullptr;
  }
  Entry->Owner->setSocketOptions(Native->sock);
  Entry->Native = Native;
  Entry->MayHaveBeenSent = true;
  *Buffers = &Entry->Buffer;
  *BufferCount = 1;
  *MethodIsHead = Entry->IsHead ? 1 : 0;
  return onHead;
}

h2o_http1client_body_cb HttpClient::onHead(h2o_http1client_t *Native,
                                           const char *Error, int, int Status,
                                           h2o_iovec_t, h2o_header_t *Headers,
                                           size_t HeaderCount, int) {
  Call *Entry = static_cast<Call *>(Native->data);
  bool IsComplete = Error == h2o_http1client_error_is_eos;
  if (Error != nullptr && !IsComplete) {
    Entry->Native = nullptr;
    Entry->Owner->finishCall(Entry->Id, HttpLost{Error});
    return nullptr;
  }
  Entry->Response.Status = Status;
  for (size_t I = 0; I < HeaderCount; ++I)
    Entry->Response.Headers.push_back(
        {std::string(Headers[I].name->base, Headers[I].name->len),
         std::string(Headers[I].value.base, Headers[I].value.len)});
  // A body without a length ends with the connection, so a complete one cannot
  // be told from a truncated one.
  bool MayBeTruncated =
      !Entry->IsHead && !isBodyDelimited(Entry->Response.Headers, Status);
  if (IsComplete || MayBeTruncated) {
    Entry->Native = nullptr;
    HttpResult Result = std::move(Entry->Response);
    if (MayBeTruncated)
      Result = HttpLost{"answer without a length"};
    Entry->Owner->finishCall(Entry->Id, std::move(Result));
    return nullptr;
  }
  return onBody;
}

int HttpClient::onBody(h2o_http1client_t *Native, const char *Error) {
  Call *Entry = static_cast<Call *>(Native->data);
  bool IsComplete = Error == h2o_http1client_error_is_eos;
  if (Error != nullptr && !IsComplete) {
    Entry->Native = nullptr;
    Entry->Owner->finishCall(Entry->Id, HttpLost{Error});
    return -1;
  }
  h2o_buffer_t **Input = &Native->sock->input;
  Entry->Response.Body.append((*Input)->bytes, (*Input)->size);
  h2o_buffer_consume(Input, (*Input)->size);
  if (Entry->Response.Body.size() > Entry->Owner->Options.MaxBodyBytes) {
    Entry->Native = nullptr;
    Entry->Owner->finishCall(Entry->Id, HttpLost{"answer too large"});
    return -1;
  }
  if (IsComplete) {
    Entry->Native = nullptr;
    Entry->Owner->finishCall(Entry->Id, std::move(Entry->Response));
  }
  return 0;
}

} // namespace mimosashunt
