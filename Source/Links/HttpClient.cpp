#include "Links/HttpClient.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace mimosashunt {

namespace {

// Backstop for a socket that blocks for good; each call has its own timeout.
constexpr uint64_t IoTimeoutMillis = 120000;
constexpr Duration SweepPeriod = seconds(2);

bool hasLength(const std::vector<HttpHeader> &Headers, int Status) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Status == NoContent || Status == NotModified ||
         !headerValue(Headers, "content-length").empty() ||
         headerValue(Headers, "transfer-encoding") == "chunked";
}

std::string wireForm(const SocketAddress &Address, const HttpRequest &Request) {
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
  std::string Bytes;
  h2o_iovec_t Buffer;
  bool IsHead;
  Callback Done;
  Guard MayLeave;
  TimerId Timer = 0;
  h2o_http1client_t *Native = nullptr;
  std::shared_ptr<Pool> Using; // Set while it has a place in its lane.
  bool MayHaveLeft = false;
  HttpResponse Response;
};

HttpClient::HttpClient(EventLoop &Loop, HttpClientOptions Options)
    : Loop(Loop), Options(Options) {
  h2o_timeout_init(Loop.native(), &IoTimeout, IoTimeoutMillis);
  Context.loop = Loop.native();
  Context.getaddr_receiver = Loop.resolver();
  Context.io_timeout = &IoTimeout;
  SweepTimer = Loop.timers().scheduleEvery(SweepPeriod, [this] { sweep(); });
}

HttpClient::~HttpClient() {
  Loop.timers().cancel(SweepTimer);
  for (auto &[Id, Entry] : Calls) {
    Loop.timers().cancel(Entry->Timer);
    if (Entry->Native != nullptr)
      h2o_http1client_cancel(Entry->Native);
  }
  for (auto &[Target, Own] : Lanes)
    if (Own.Connections)
      h2o_socketpool_dispose(&Own.Connections->Native);
  for (const std::shared_ptr<Pool> &Item : Retired)
    h2o_socketpool_dispose(&Item->Native);
}

std::shared_ptr<HttpClient::Pool>
HttpClient::makePool(const SocketAddress &Address) {
  auto Made = std::make_shared<Pool>();
  sockaddr_in Native = Address.native();
  h2o_socketpool_init_by_address(
      &Made->Native, reinterpret_cast<sockaddr *>(&Native), sizeof(Native), 0,
      Options.ConnectionsPerAddress);
  h2o_socketpool_set_timeout(
      &Made->Native, Loop.native(),
      static_cast<uint64_t>(toMillis(Options.IdleTimeout)));
  return Made;
}

void HttpClient::connect(uint64_t Id) {
  auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  Call &Entry = *Found->second;
  Lane &Own = Lanes[Entry.Target.text()];
  if (Own.UnderWay >= Options.ConnectionsPerAddress) {
    Own.Waiting.push_back(Id);
    return;
  }
  if (!Own.Connections)
    Own.Connections = makePool(Entry.Target);
  ++Own.UnderWay;
  Entry.Using = Own.Connections;
  ++Entry.Using->InUse;
  Entry.Using->LastUsed = Loop.timers().now();
  h2o_http1client_t *Native = nullptr;
  h2o_http1client_connect_with_pool(&Native, &Entry, &Context,
                                    &Entry.Using->Native, onConnect);
  Found = Calls.find(Id);
  if (Found != Calls.end())
    Found->second->Native = Native;
}

void HttpClient::leave(const Call &Ended) {
  if (!Ended.Using)
    return;
  --Ended.Using->InUse;
  Ended.Using->LastUsed = Loop.timers().now();
  Lane &Own = Lanes[Ended.Target.text()];
  --Own.UnderWay;
  // Once h2o has taken this call's connection back.
  if (!Own.Waiting.empty())
    Loop.defer([this, Target = Ended.Target.text()] { admit(Target); });
}

void HttpClient::admit(const std::string &Target) {
  auto Found = Lanes.find(Target);
  while (Found != Lanes.end() && !Found->second.Waiting.empty() &&
         Found->second.UnderWay < Options.ConnectionsPerAddress) {
    uint64_t Next = Found->second.Waiting.front();
    Found->second.Waiting.pop_front();
    connect(Next);
    Found = Lanes.find(Target);
  }
}

void HttpClient::retirePool(const std::string &Target) {
  auto Found = Lanes.find(Target);
  if (Found == Lanes.end() || !Found->second.Connections)
    return;
  // Calls under way return their connections to it; what idles there is closed
  // after the idle timeout.
  Retired.push_back(std::exchange(Found->second.Connections, nullptr));
}

void HttpClient::sweep() {
  Instant Before = Loop.timers().now() - Options.IdleTimeout - SweepPeriod;
  auto Unused = [Before](const std::shared_ptr<Pool> &Item) {
    return Item && Item->InUse == 0 && Item->LastUsed < Before;
  };
  for (auto &[Target, Own] : Lanes)
    if (Unused(Own.Connections) && Own.Waiting.empty())
      Retired.push_back(std::exchange(Own.Connections, nullptr));
  std::erase_if(Lanes, [](const auto &Item) {
    const Lane &Own = Item.second;
    return !Own.Connections && Own.UnderWay == 0 && Own.Waiting.empty();
  });
  for (const std::shared_ptr<Pool> &Item : Retired)
    if (Unused(Item))
      h2o_socketpool_dispose(&Item->Native);
  std::erase_if(Retired, Unused);
}

void HttpClient::send(const SocketAddress &Address, const HttpRequest &Request,
                      Duration Timeout, Callback Done, Guard MayLeave) {
  uint64_t Id = ++LastCall;
  auto Made = std::make_unique<Call>();
  Made->Owner = this;
  Made->Id = Id;
  Made->Target = Address;
  Made->Bytes = wireForm(Address, Request);
  Made->Buffer = h2o_iovec_init(Made->Bytes.data(), Made->Bytes.size());
  Made->IsHead = Request.Method == "HEAD";
  Made->Done = std::move(Done);
  Made->MayLeave = std::move(MayLeave);
  Call *Entry = Made.get();
  Calls.emplace(Id, std::move(Made));
  Instant Due = Loop.timers().now() + Timeout;
  Entry->Timer = Loop.timers().scheduleAt(Due, [this, Id] { expire(Id); });
  // Connecting starts on the loop's next turn, so that a pooled connection
  // cannot call back before send() has returned.
  Loop.defer([this, Id] { connect(Id); });
}

void HttpClient::finish(uint64_t Id, HttpResult Result) {
  auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  std::unique_ptr<Call> Entry = std::move(Found->second);
  Calls.erase(Found);
  Loop.timers().cancel(Entry->Timer);
  Loop.refresh();
  leave(*Entry);
  Entry->Done(std::move(Result));
  // h2o may still refer to the request's bytes until this turn has ended.
  Loop.defer([Kept = std::shared_ptr<Call>(std::move(Entry))] {});
}

void HttpClient::expire(uint64_t Id) {
  auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  Call &Entry = *Found->second;
  if (Entry.Native != nullptr)
    h2o_http1client_cancel(std::exchange(Entry.Native, nullptr));
  if (Entry.MayHaveLeft) {
    // Something between the two ends may have lost track of the connections to
    // this address, so later calls get new ones.
    retirePool(Entry.Target.text());
    finish(Id, HttpLost{"no whole answer in time"});
  } else
    finish(Id, HttpNotSent{"no connection in time"});
}

h2o_http1client_head_cb HttpClient::onConnect(h2o_http1client_t *Native,
                                              const char *Error,
                                              h2o_iovec_t **Buffers,
                                              size_t *BufferCount,
                                              int *MethodIsHead) {
  Call *Entry = static_cast<Call *>(Native->data);
  if (Error != nullptr) {
    Entry->Native = nullptr;
    Entry->Owner->finish(Entry->Id, HttpNotSent{Error});
    return nullptr;
  }
  Entry->Owner->Loop.refresh();
  if (Entry->MayLeave && !Entry->MayLeave()) {
    Entry->Native = nullptr;
    Entry->Owner->finish(Entry->Id, HttpNotSent{"no longer allowed"});
    return nullptr;
  }
  Entry->Native = Native;
  Entry->MayHaveLeft = true;
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
  bool IsWhole = Error == h2o_http1client_error_is_eos;
  if (Error != nullptr && !IsWhole) {
    Entry->Native = nullptr;
    Entry->Owner->finish(Entry->Id, HttpLost{Error});
    return nullptr;
  }
  Entry->Response.Status = Status;
  for (size_t I = 0; I < HeaderCount; ++I)
    Entry->Response.Headers.push_back(
        {std::string(Headers[I].name->base, Headers[I].name->len),
         std::string(Headers[I].value.base, Headers[I].value.len)});
  // A body without a length ends with the connection and cannot be told from
  // a truncated one.
  bool Truncatable =
      !Entry->IsHead && !hasLength(Entry->Response.Headers, Status);
  if (IsWhole || Truncatable) {
    Entry->Native = nullptr;
    HttpResult Result = std::move(Entry->Response);
    if (Truncatable)
      Result = HttpLost{"answer without a length"};
    Entry->Owner->finish(Entry->Id, std::move(Result));
    return nullptr;
  }
  return onBody;
}

int HttpClient::onBody(h2o_http1client_t *Native, const char *Error) {
  Call *Entry = static_cast<Call *>(Native->data);
  bool IsWhole = Error == h2o_http1client_error_is_eos;
  if (Error != nullptr && !IsWhole) {
    Entry->Native = nullptr;
    Entry->Owner->finish(Entry->Id, HttpLost{Error});
    return -1;
  }
  h2o_buffer_t **Input = &Native->sock->input;
  Entry->Response.Body.append((*Input)->bytes, (*Input)->size);
  h2o_buffer_consume(Input, (*Input)->size);
  if (Entry->Response.Body.size() > Entry->Owner->Options.MaxBodyBytes) {
    Entry->Native = nullptr;
    Entry->Owner->finish(Entry->Id, HttpLost{"answer too large"});
    return -1;
  }
  if (IsWhole) {
    Entry->Native = nullptr;
    Entry->Owner->finish(Entry->Id, std::move(Entry->Response));
  }
  return 0;
}

} // namespace mimosashunt
