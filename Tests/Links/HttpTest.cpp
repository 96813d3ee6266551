// Tests of the HTTP server and client: complete responses, lost responses, and
// requests that were never sent.

#include <gtest/gtest.h>

#include "Links/HttpClient.h"
#include "Links/HttpServer.h"
#include "Support/ListeningPort.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <memory>
#include <optional>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace mimosashunt::test {
namespace {

/// An event loop with a client. Both live as long as the process, since h2o
/// cannot destroy an event loop.
struct HttpFixture {
  explicit HttpFixture(HttpClientOptions Options = {})
      : Client(*new HttpClient(Loop, Options)) {}

  EventLoop &Loop = *new EventLoop();
  HttpClient &Client;

  HttpResult call(const SocketAddress &Address, const HttpRequest &Request,
                  Duration Timeout = seconds(5),
                  HttpClient::Guard MaySend = {}) {
    std::optional<HttpResult> Result;
    Client.send(
        Address, Request, Timeout,
        [&](HttpResult Received) { Result = std::move(Received); },
        std::move(MaySend));
    while (!Result)
      Loop.runOnce();
    return *Result;
  }
};

HttpServer &startServer(HttpFixture &Env, const SocketAddress &Address,
                        HttpServer::Handler Handle,
                        const HttpServerOptions &Options = {}) {
  auto *Server = new HttpServer(Env.Loop, std::move(Handle), Options);
  EXPECT_FALSE(Server->listen(Address));
  return *Server;
}

/// A peer that accepts one connection, reads from it, sends fixed bytes and
/// closes it.
class RawPeer {
public:
  explicit RawPeer(std::string Bytes) : Address(freeAddress()) {
    EXPECT_FALSE(Address.listen(Listener));
    Thread = std::thread([this, Bytes = std::move(Bytes)] {
      int Socket = -1;
      while ((Socket = accept(Listener, nullptr, nullptr)) < 0)
        std::this_thread::yield();
      char Buffer[4096];
      EXPECT_GT(read(Socket, Buffer, sizeof(Buffer)), 0);
      EXPECT_EQ(write(Socket, Bytes.data(), Bytes.size()),
                static_cast<ssize_t>(Bytes.size()));
      close(Socket);
      close(Listener);
    });
  }
  ~RawPeer() { Thread.join(); }
  const SocketAddress Address;

private:
  int Listener = -1;
  std::thread Thread;
};

const HttpRequest Get{"GET", "/x", "", {}, ""};

TEST(Http, TheCompleteResponseIsDelivered) {
  HttpFixture Env;
  SocketAddress Address = freeAddress();
  startServer(Env, Address, [](const auto &Exchange) {
    const HttpRequest &Request = Exchange->request();
    Exchange->respond(
        {201, {{"x-path", Request.Path + "?" + Request.Query}}, Request.Body});
  });
  std::string Body(300000, 'b');
  HttpResult Result = Env.call(Address, {"POST", "/a/b", "c=d", {}, Body});
  const auto *Response = std::get_if<HttpResponse>(&Result);
  ASSERT_NE(Response, nullptr);
  EXPECT_EQ(Response->Status, 201);
  EXPECT_EQ(Response->Body, Body);
  EXPECT_EQ(headerValue(Response->Headers, "x-path"), "/a/b?c=d");
}

TEST(Http, ARequestOnARefusedConnectionIsNotSent) {
  HttpFixture Env;
  HttpResult Result = Env.call(freeAddress(), Get);
  EXPECT_TRUE(std::holds_alternative<HttpNotSent>(Result));
}

TEST(Http, NothingIsSentIfTheGuardRefuses) {
  HttpFixture Env;
  SocketAddress Address = freeAddress();
  bool IsHandlerCalled = false;
  startServer(Env, Address, [&](const auto &Exchange) {
    IsHandlerCalled = true;
    Exchange->respond({200, {}, ""});
  });
  HttpResult Result = Env.call(Address, Get, seconds(5), [] { return false; });
  EXPECT_TRUE(std::holds_alternative<HttpNotSent>(Result));
  Env.call(Address, Get);
  EXPECT_TRUE(IsHandlerCalled);
}

TEST(Http, ATimeoutAfterSendingIsLost) {
  HttpFixture Env;
  SocketAddress Address = freeAddress();
  std::vector<std::shared_ptr<HttpExchange>> PendingExchanges;
  startServer(Env, Address, [&](const auto &Exchange) {
    PendingExchanges.push_back(Exchange);
  });
  HttpResult Result = Env.call(Address, Get, milliseconds(100));
  EXPECT_TRUE(std::holds_alternative<HttpLost>(Result));
  EXPECT_EQ(PendingExchanges.size(), 1U);
}

/// A peer behind a network that holds up what it is sent.
class HeldUpPeer {
public:
  HeldUpPeer() : Address(freeAddress()) {
    EXPECT_FALSE(Address.listen(Listener));
  }
  ~HeldUpPeer() {
    close(Socket);
    close(Listener);
  }
  void acceptConnection() {
    while ((Socket = accept(Listener, nullptr, nullptr)) < 0)
      std::this_thread::yield();
  }
  /// Waits for the end of the connection. Returns true if the sender has reset
  /// it, in which case the network discards what it holds.
  bool isReset() const {
    pollfd Event{Socket, POLLRDHUP, 0};
    while (poll(&Event, 1, -1) < 0) {
    }
    int Error = 0;
    socklen_t Size = sizeof(Error);
    getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
    return Error == ECONNRESET;
  }
  const SocketAddress Address;

private:
  int Listener = -1;
  int Socket = -1;
};

TEST(Http, AnOrderThatIsGivenUpIsDiscarded) {
  HttpFixture Env({.ResetOnClose = true});
  HeldUpPeer Peer;
  HttpResult Result = Env.call(Peer.Address, Get, milliseconds(100));
  EXPECT_TRUE(std::holds_alternative<HttpLost>(Result));
  Peer.acceptConnection();
  EXPECT_TRUE(Peer.isReset());
}

TEST(Http, CancelAllDiscardsWhatIsNotDelivered) {
  HttpFixture Env({.ResetOnClose = true});
  HeldUpPeer Peer;
  std::optional<HttpResult> Result;
  Env.Client.send(Peer.Address, Get, seconds(60),
                  [&](HttpResult Received) { Result = std::move(Received); });
  // The timer ends the loop's wait once the request has been written.
  bool IsWritten = false;
  Env.Loop.timers().scheduleAt(Env.Loop.timers().now() + milliseconds(100),
                               [&] { IsWritten = true; });
  while (!IsWritten)
    Env.Loop.runOnce();
  Env.Client.cancelAll();
  EXPECT_EQ(Env.Client.pendingCalls(), 0U);
  ASSERT_TRUE(Result);
  EXPECT_TRUE(std::holds_alternative<HttpLost>(*Result));
  Peer.acceptConnection();
  EXPECT_TRUE(Peer.isReset());
}

TEST(Http, TheKernelGivesUpBytesThatAreNotAcknowledged) {
  HttpFixture Env({.DeliveryTimeout = milliseconds(300)});
  HeldUpPeer Peer;
  // Larger than all buffers on the way, so that the peer's window closes.
  HttpRequest Large{"POST", "/x", "", {}, std::string(32 << 20, 'b')};
  HttpResult Result = Env.call(Peer.Address, Large, seconds(60));
  const auto *Lost = std::get_if<HttpLost>(&Result);
  ASSERT_NE(Lost, nullptr);
  EXPECT_NE(Lost->Message, "no whole answer in time");
}

/// True if the response \p Bytes, followed by the end of the connection, counts
/// as lost.
bool isLost(const std::string &Bytes) {
  HttpFixture Env;
  RawPeer Peer(Bytes);
  return std::holds_alternative<HttpLost>(Env.call(Peer.Address, Get));
}

TEST(Http, ATruncatedResponseIsLost) {
  EXPECT_TRUE(isLost("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort"));
}

TEST(Http, AResponseWithoutALengthIsLost) {
  EXPECT_TRUE(isLost("HTTP/1.1 200 OK\r\n\r\nperhaps whole"));
}

TEST(Http, AMalformedResponseIsLost) {
  EXPECT_TRUE(isLost("no protocol at all\r\n\r\n"));
}

TEST(Http, AnOversizedRequestBodyIsRefused) {
  HttpFixture Env;
  SocketAddress Address = freeAddress();
  HttpServerOptions Options;
  Options.Limits.MaxBodyBytes = 1000;
  bool IsHandlerCalled = false;
  startServer(
      Env, Address, [&](const auto &) { IsHandlerCalled = true; }, Options);
  HttpResult Result =
      Env.call(Address, {"POST", "/x", "", {}, std::string(2000, 'x')});
  const auto *Response = std::get_if<HttpResponse>(&Result);
  EXPECT_TRUE(Response == nullptr || Response->Status == 413);
  EXPECT_FALSE(IsHandlerCalled);
}

TEST(Http, AResponseToADisconnectedClientIsDropped) {
  HttpFixture Env;
  SocketAddress Address = freeAddress();
  std::shared_ptr<HttpExchange> PendingExchange;
  startServer(Env, Address,
              [&](const auto &Exchange) { PendingExchange = Exchange; });
  Env.call(Address, Get, milliseconds(50));
  // h2o does not read from a connection while a request on it is pending, so it
  // detects the end of the connection only when the response is written.
  PendingExchange->respond({200, {}, "too late"});
  while (!PendingExchange->gone())
    Env.Loop.runOnce();
  PendingExchange->respond({200, {}, "again"});
}

TEST(Http, AShutdownAnswersPendingRequestsAndClosesConnections) {
  HttpFixture Env;
  SocketAddress Address = freeAddress();
  std::shared_ptr<HttpExchange> PendingExchange;
  HttpServer &Server = startServer(
      Env, Address, [&](const auto &Exchange) { PendingExchange = Exchange; });
  std::optional<HttpResult> Result;
  Env.Client.send(Address, Get, seconds(5),
                  [&](HttpResult Received) { Result = std::move(Received); });
  while (!PendingExchange)
    Env.Loop.runOnce();
  Server.beginShutdown();
  EXPECT_EQ(Server.pendingExchanges(), 1U);
  PendingExchange->respond({200, {}, "whole"});
  while (!Result || Server.openConnections() > 0)
    Env.Loop.runOnce();
  const auto *Response = std::get_if<HttpResponse>(&*Result);
  ASSERT_NE(Response, nullptr);
  EXPECT_EQ(Response->Body, "whole");
  EXPECT_TRUE(std::holds_alternative<HttpNotSent>(Env.call(Address, Get)));
}

TEST(SocketAddress, ParsesOnlyIpAndPort) {
  SocketAddress Address;
  EXPECT_FALSE(SocketAddress::parse("10.0.0.1:80", Address));
  for (const char *Bad : {"", "localhost:80", "10.0.0.1", "10.0.0.1:",
                          "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:8x"})
    EXPECT_TRUE(SocketAddress::parse(Bad, Address)) << Bad;
  // Guards against lines that an address would add to a request's headers.
  EXPECT_TRUE(
      SocketAddress::parse(std::string("10.0.0.1\0\r\nx:80", 14), Address));
}

TEST(HttpClient, AnUnsetAddressDoesNotEndTheProcess) {
  HttpFixture Env;
  EXPECT_TRUE(
      std::holds_alternative<HttpNotSent>(Env.call(SocketAddress(), Get)));
}

TEST(HttpClient, LimitsConnectionsPerAddressAndClosesIdleOnes) {
  // Guards against descriptors that pile up when requests go in bursts to many
  // workers, any of which may vanish without closing its connections.
  EventLoop &Loop = *new EventLoop();
  HttpClient &Client = *new HttpClient(
      Loop, {.ConnectionsPerAddress = 4, .IdleTimeout = seconds(1)});
  SocketAddress Address = freeAddress();
  size_t MaxOpenConnections = 0;
  HttpServer *Server = nullptr;
  Server =
      new HttpServer(Loop, [&](const std::shared_ptr<HttpExchange> &Exchange) {
        MaxOpenConnections =
            std::max(MaxOpenConnections, Server->openConnections());
        Loop.timers().scheduleAt(Loop.timers().now() + milliseconds(5),
                                 [Exchange] {
                                   Exchange->respond({200, {}, "ok"});
                                 });
      });
  ASSERT_FALSE(Server->listen(Address));
  constexpr int CallCount = 50;
  int ResponseCount = 0;
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/";
  for (int I = 0; I < CallCount; ++I)
    Client.send(Address, Request, seconds(10), [&](const HttpResult &Result) {
      ResponseCount += std::holds_alternative<HttpResponse>(Result) ? 1 : 0;
    });
  Instant Deadline = Loop.timers().now() + seconds(20);
  auto IsBeforeDeadline = [&] { return Loop.timers().now() < Deadline; };
  while (ResponseCount < CallCount && IsBeforeDeadline())
    Loop.runOnce();
  EXPECT_EQ(ResponseCount, CallCount);
  EXPECT_LE(MaxOpenConnections, 4U);
  Loop.timers().scheduleEvery(milliseconds(100), [] {});
  while (Server->openConnections() > 0 && IsBeforeDeadline())
    Loop.runOnce();
  EXPECT_EQ(Server->openConnections(), 0U);
}

// Guards against a connection that refers to its server's configuration after
// the server is destroyed.
TEST(Http, AServerCanBeDestroyedWhileConnectionsAreOpen) {
  HttpFixture Env;
  SocketAddress Address = freeAddress();
  std::shared_ptr<HttpExchange> Pending;
  bool IsGoneReported = false;
  auto Server = std::make_unique<HttpServer>(
      Env.Loop, [&](const std::shared_ptr<HttpExchange> &Exchange) {
        if (Exchange->request().Path == "/x")
          return Exchange->respond({200, {}, ""});
        Exchange->onGone([&] { IsGoneReported = true; });
        Pending = Exchange;
      });
  ASSERT_FALSE(Server->listen(Address));
  std::optional<HttpResult> Result;
  Env.Client.send(Address, {"GET", "/pending", "", {}, ""}, seconds(5),
                  [&](const HttpResult &Received) { Result = Received; });
  Env.call(Address, Get); // Leaves an idle connection.
  while (!Pending)
    Env.Loop.runOnce();
  EXPECT_EQ(Server->openConnections(), 2U);
  Server.reset();
  EXPECT_TRUE(std::holds_alternative<HttpNotSent>(Env.call(Address, Get)));
  HttpServer(Env.Loop, [](const auto &) {}).beginShutdown();
  Pending->respond({200, {}, "late"});
  while (!Result || !Pending->gone())
    Env.Loop.runOnce();
  const auto *Response = std::get_if<HttpResponse>(&*Result);
  ASSERT_NE(Response, nullptr);
  EXPECT_EQ(Response->Status, 503);
  EXPECT_FALSE(IsGoneReported);
  EXPECT_EQ(Pending.use_count(), 1);
}

/// A client that sends bytes as they are and reads what comes back.
class RawClient {
public:
  RawClient(EventLoop &Loop, const SocketAddress &Address) : Loop(Loop) {
    Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Native = Address.native();
    EXPECT_EQ(
        connect(Socket, reinterpret_cast<sockaddr *>(&Native), sizeof(Native)),
        0);
    fcntl(Socket, F_SETFL, O_NONBLOCK);
  }
  ~RawClient() { close(Socket); }
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;

  /// Sends all bytes, or as many as the server takes.
  void send(const std::string &Bytes) {
    size_t Sent = 0;
    while (Sent < Bytes.size() && !HasEnded) {
      ssize_t Taken = ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent,
                             MSG_NOSIGNAL);
      if (Taken > 0)
        Sent += static_cast<size_t>(Taken);
      else if (errno != EAGAIN)
        HasEnded = true;
      turn();
    }
  }
  /// Returns the status of the next response, or 0 if the connection ends
  /// first.
  int status() {
    while (Received.find("\r\n\r\n") == std::string::npos && !HasEnded)
      turn();
    size_t End = Received.find("\r\n\r\n");
    if (End == std::string::npos)
      return 0;
    LastHead = Received.substr(0, End);
    Received.erase(0, End + 4);
    return std::stoi(LastHead.substr(LastHead.find(' ')));
  }
  const std::string &lastHead() const { return LastHead; }
  /// Waits until the server ends the connection.
  void awaitEnd() {
    while (!HasEnded)
      turn();
  }

private:
  void turn() {
    Loop.runOnce();
    char Buffer[4096];
    ssize_t Count = recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Count > 0)
      Received.append(Buffer, static_cast<size_t>(Count));
    else if (Count == 0 || errno != EAGAIN)
      HasEnded = true;
  }

  EventLoop &Loop;
  int Socket = -1;
  std::string Received;
  std::string LastHead;
  bool HasEnded = false;
};

/// A server that answers each request with 200 unless its path is /hold, and
/// keeps the loop turning.
struct LimitedServer {
  explicit LimitedServer(const HttpServerOptions &Options)
      : Server(startServer(
            Env, Address,
            [this](const auto &Exchange) {
              LastBodyBytes = Exchange->request().Body.size();
              if (Exchange->request().Path == "/hold")
                return Held.push_back(Exchange);
              Exchange->respond({200, {}, ""});
            },
            Options)) {
    Env.Loop.timers().scheduleEvery(milliseconds(1), [] {});
    // As in the daemons.
    std::signal(SIGPIPE, SIG_IGN);
  }

  uint64_t losses(ConnectionLoss Reason) const {
    return Server.connections().losses()[static_cast<size_t>(Reason)];
  }
  int statusOf(const std::string &Bytes) {
    RawClient Client(Env.Loop, Address);
    Client.send(Bytes);
    return Client.status();
  }

  HttpFixture Env;
  SocketAddress Address = freeAddress();
  HttpServer &Server;
  size_t LastBodyBytes = 0;
  std::vector<std::shared_ptr<HttpExchange>> Held;
};

constexpr size_t HeadLimit = 16384;
constexpr size_t BodyLimit = 262144;

HttpServerOptions smallLimits() {
  HttpServerOptions Options;
  Options.Limits.MaxHeadBytes = HeadLimit;
  Options.Limits.MaxBodyBytes = BodyLimit;
  return Options;
}

/// Returns a whole head of this length, with these fields.
std::string headOf(size_t Bytes, const std::string &Fields = "") {
  std::string Head = "POST /x HTTP/1.1\r\nhost: a\r\n" + Fields + "x-fill: ";
  return Head + std::string(Bytes - Head.size() - 4, 'f') + "\r\n\r\n";
}

std::string headWithLength(size_t Length) {
  return "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: " +
         std::to_string(Length) + "\r\n\r\n";
}

std::string chunkOf(size_t Bytes) {
  char Size[32];
  snprintf(Size, sizeof(Size), "%zx\r\n", Bytes);
  return Size + std::string(Bytes, 'b') + "\r\n";
}

const std::string ChunkedHead =
    "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";

TEST(HttpLimits, AHeadOfTheLimitIsServedAndOneByteMoreIsNot) {
  LimitedServer Env(smallLimits());
  EXPECT_EQ(Env.statusOf(headOf(HeadLimit, "content-length: 0\r\n")), 200);
  EXPECT_EQ(Env.statusOf(headOf(HeadLimit + 1, "content-length: 0\r\n")), 431);
  EXPECT_EQ(Env.losses(ConnectionLoss::HeadTooLarge), 1U);
}

TEST(HttpLimits, ABodyOfTheLimitIsServedAndOneByteMoreIsNot) {
  LimitedServer Env(smallLimits());
  EXPECT_EQ(
      Env.statusOf(headWithLength(BodyLimit) + std::string(BodyLimit, 'b')),
      200);
  EXPECT_EQ(Env.LastBodyBytes, BodyLimit);
  EXPECT_EQ(Env.statusOf(headWithLength(BodyLimit + 1)), 413);
  EXPECT_EQ(Env.statusOf(headWithLength(BodyLimit + 1) +
                         std::string(BodyLimit + 1, 'b')),
            413);
  EXPECT_EQ(Env.losses(ConnectionLoss::BodyTooLarge), 2U);
}

TEST(HttpLimits, AChunkedBodyOfTheLimitIsServedAndOneByteMoreIsNot) {
  LimitedServer Env(smallLimits());
  EXPECT_EQ(Env.statusOf(ChunkedHead + chunkOf(BodyLimit) + "0\r\n\r\n"), 200);
  EXPECT_EQ(Env.LastBodyBytes, BodyLimit);
  EXPECT_EQ(Env.statusOf(ChunkedHead + chunkOf(BodyLimit + 1) + "0\r\n\r\n"),
            413);
}

TEST(HttpLimits, ABodyInChunksOfOneByteIsServed) {
  LimitedServer Env(smallLimits());
  std::string Chunks;
  for (size_t I = 0; I < BodyLimit; ++I)
    Chunks += "1\r\nb\r\n";
  EXPECT_EQ(Env.statusOf(ChunkedHead + Chunks + "0\r\n\r\n"), 200);
  EXPECT_EQ(Env.LastBodyBytes, BodyLimit);
}

// Guards against a body whose chunk heads outweigh its bytes and that is read
// for ever.
TEST(HttpLimits, EndlessChunkHeadsEnd) {
  LimitedServer Env(smallLimits());
  RawClient Client(Env.Env.Loop, Env.Address);
  Client.send(ChunkedHead);
  std::string Chunk = "1;" + std::string(HeadLimit, 'x') + "\r\nb\r\n";
  for (size_t I = 0; I < 1000; ++I)
    Client.send(Chunk);
  EXPECT_EQ(Client.status(), 413);
}

// Guards against limits that hold for the first request of a connection alone,
// and against a large buffer that an idle connection keeps.
TEST(HttpLimits, HoldForEachRequestOfAConnection) {
  LimitedServer Env(smallLimits());
  RawClient Client(Env.Env.Loop, Env.Address);
  std::string Whole = headWithLength(BodyLimit) + std::string(BodyLimit, 'b');
  for (int I = 0; I < 3; ++I) {
    Client.send(Whole);
    EXPECT_EQ(Client.status(), 200);
    while (Env.Server.connections().heldBytes() > 2 * ConnectionBaseBytes)
      Env.Env.Loop.runOnce();
  }
  // Two requests at once, the second one too large.
  Client.send(headWithLength(3) + "abc" + headWithLength(BodyLimit + 1));
  EXPECT_EQ(Client.status(), 200);
  EXPECT_EQ(Client.status(), 413);
  Client.awaitEnd();
}

TEST(HttpLimits, ABodyAfterAnExpectedContinueIsServed) {
  LimitedServer Env(smallLimits());
  RawClient Client(Env.Env.Loop, Env.Address);
  Client.send("POST /x HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"
              "content-length: 262144\r\n\r\n");
  EXPECT_EQ(Client.status(), 100);
  Client.send(std::string(BodyLimit, 'b'));
  EXPECT_EQ(Client.status(), 200);
  Client.send(headWithLength(BodyLimit + 1));
  EXPECT_EQ(Client.status(), 413);
}

TEST(HttpLimits, ChangeForRequestsThatArriveLater) {
  LimitedServer Env(smallLimits());
  ClientLimits Limits = smallLimits().Limits;
  Limits.MaxBodyBytes = 10;
  Env.Server.setLimits(Limits);
  EXPECT_EQ(Env.statusOf(headWithLength(10) + "0123456789"), 200);
  EXPECT_EQ(Env.statusOf(headWithLength(11)), 413);
}

// A body that could never be held is refused for good, not until later.
TEST(HttpLimits, ABodyBeyondTheWholeBudgetIsTooLarge) {
  HttpServerOptions Options = smallLimits();
  Options.Limits.MaxBodyBytes = size_t(1) << 50;
  LimitedServer Env(Options);
  EXPECT_EQ(Env.statusOf(headWithLength(size_t(1) << 40)), 413);
}

// Guards against callers that cannot tell what a refusal promises.
TEST(HttpLimits, RefusalsCarryTheHeadersOfTheServer) {
  HttpServerOptions Options = smallLimits();
  Options.RefusalHeaders = {{"x-outcome", "not-run"}};
  LimitedServer Env(Options);
  for (const std::string &Bytes :
       {headOf(HeadLimit + 1), headWithLength(BodyLimit + 1),
        ChunkedHead + chunkOf(BodyLimit + 1) + "0\r\n\r\n"}) {
    RawClient Client(Env.Env.Loop, Env.Address);
    Client.send(Bytes);
    EXPECT_GE(Client.status(), 400);
    EXPECT_NE(Client.lastHead().find("x-outcome: not-run"), std::string::npos);
  }
}

// Guards against callers that wait for a response that cannot come.
TEST(HttpLimits, UnderPressureALargeBodyIsRefusedAtItsHead) {
  HttpServerOptions Options = smallLimits();
  Options.Budget = {6 << 20, 100};
  LimitedServer Env(Options);
  std::vector<std::unique_ptr<RawClient>> Crowd;
  while (Env.Held.size() < 3) {
    Crowd.push_back(std::make_unique<RawClient>(Env.Env.Loop, Env.Address));
    Crowd.back()->send("POST /hold HTTP/1.1\r\nhost: a\r\ncontent-length: " +
                       std::to_string(BodyLimit) + "\r\n\r\n" +
                       std::string(BodyLimit, 'b'));
    while (Env.Held.size() < Crowd.size())
      Env.Env.Loop.runOnce();
  }
  RawClient Late(Env.Env.Loop, Env.Address);
  Late.send(headWithLength(BodyLimit));
  EXPECT_EQ(Late.status(), 503);
  EXPECT_NE(Late.lastHead().find("retry-after: "), std::string::npos);
  Late.awaitEnd();
  EXPECT_EQ(Env.losses(ConnectionLoss::NoRoomForBody), 1U);
  EXPECT_EQ(Env.statusOf(headWithLength(3) + "abc"), 200);
  // Those that are under way are answered.
  for (const auto &Exchange : Env.Held)
    Exchange->respond({200, {}, ""});
  for (auto &Client : Crowd)
    EXPECT_EQ(Client->status(), 200);
}

// Guards against whole requests whose copies outgrow the budget.
TEST(HttpLimits, AWholeRequestWithoutRoomIsRefused) {
  HttpServerOptions Options = smallLimits();
  LimitedServer Env(Options);
  RawClient Client(Env.Env.Loop, Env.Address);
  Client.send("POST /hold HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nb");
  while (Env.Held.empty())
    Env.Env.Loop.runOnce();
  EXPECT_TRUE(Env.Held.front()->reserve(1 << 20));
  EXPECT_FALSE(Env.Held.front()->reserve(Options.Budget.Bytes));
  EXPECT_EQ(Env.losses(ConnectionLoss::NoRoomForRequest), 1U);
  Env.Held.front()->respond({503, {}, ""});
  EXPECT_EQ(Client.status(), 503);
}

// Guards against a client whose unread responses stay in memory.
TEST(HttpLimits, AClientThatReadsNoResponseIsClosed) {
  HttpServerOptions Options = smallLimits();
  Options.Limits.IdleTimeout = milliseconds(300);
  LimitedServer Env(Options);
  RawClient Client(Env.Env.Loop, Env.Address);
  std::string Requests;
  for (int I = 0; I < 1000; ++I)
    Requests += "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
  int Descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Native = Env.Address.native();
  ASSERT_EQ(connect(Descriptor, reinterpret_cast<sockaddr *>(&Native),
                    sizeof(Native)),
            0);
  while (Env.losses(ConnectionLoss::ResponseNotRead) == 0) {
    ::send(Descriptor, Requests.data(), Requests.size(),
           MSG_NOSIGNAL | MSG_DONTWAIT);
    Env.Env.Loop.runOnce();
  }
  close(Descriptor);
}

// Guards against streams whose clients read nothing and whose backlogs add up.
TEST(HttpLimits, BacklogsOfStreamsAreWithinTheBudget) {
  HttpServerOptions Options = smallLimits();
  Options.Budget = {2 << 20, 100};
  LimitedServer Env(Options);
  std::vector<std::unique_ptr<RawClient>> Crowd;
  for (size_t I = 0; I < 8; ++I) {
    Crowd.push_back(std::make_unique<RawClient>(Env.Env.Loop, Env.Address));
    Crowd.back()->send("GET /hold HTTP/1.1\r\nhost: a\r\n\r\n");
    while (Env.Held.size() <= I)
      Env.Env.Loop.runOnce();
    Env.Held.back()->startStream({200, {}, ""});
  }
  for (int I = 0; I < 100; ++I) {
    for (const auto &Exchange : Env.Held)
      Exchange->write(std::string(64 << 10, 's'));
    EXPECT_LE(Env.Server.connections().heldBytes(), Options.Budget.Bytes);
    Env.Env.Loop.runOnce();
  }
  EXPECT_GT(Env.losses(ConnectionLoss::ClosedForBytes), 0U);
}

// Guards against streams that take all connections of a listener.
TEST(HttpLimits, TheOldestStreamGivesWayToANewConnection) {
  HttpServerOptions Options = smallLimits();
  Options.Budget.Connections = 2;
  LimitedServer Env(Options);
  std::vector<std::unique_ptr<RawClient>> Streams;
  for (size_t I = 0; I < 2; ++I) {
    Streams.push_back(std::make_unique<RawClient>(Env.Env.Loop, Env.Address));
    Streams.back()->send("GET /hold HTTP/1.1\r\nhost: a\r\n\r\n");
    while (Env.Held.size() <= I)
      Env.Env.Loop.runOnce();
    Env.Held.back()->startStream({200, {}, ""});
    Env.Held.back()->write("event");
    EXPECT_EQ(Streams.back()->status(), 200);
  }
  EXPECT_EQ(Env.statusOf(headWithLength(0)), 200);
  Streams.front()->awaitEnd();
  EXPECT_TRUE(Env.Held.front()->gone());
  EXPECT_FALSE(Env.Held.back()->gone());
}

// Guards against requests that were sent ahead and count for less than others.
TEST(HttpLimits, ARequestThatWasSentAheadCountsInFull) {
  LimitedServer Env(smallLimits());
  RawClient Client(Env.Env.Loop, Env.Address);
  constexpr size_t BodyBytes = 200000;
  Client.send(
      "GET /x HTTP/1.1\r\nhost: a\r\n\r\n"
      "POST /hold HTTP/1.1\r\nhost: a\r\ncontent-length: 200000\r\n\r\n" +
      std::string(BodyBytes, 'b'));
  while (Env.Held.empty())
    Env.Env.Loop.runOnce();
  // The parser's bytes and the handler's.
  EXPECT_GE(Env.Server.connections().heldBytes(), 2 * BodyBytes);
  Env.Held.front()->respond({200, {}, ""});
  EXPECT_EQ(Client.status(), 200);
  EXPECT_EQ(Client.status(), 200);
}

// Guards against a listener that turns the loop without end when the process
// has no free descriptor.
TEST(HttpLimits, AcceptingPausesWithoutADescriptor) {
  LimitedServer Env(smallLimits());
  RawClient Client(Env.Env.Loop, Env.Address);
  Client.send("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
  EXPECT_EQ(Client.status(), 200);
  rlimit Before{};
  getrlimit(RLIMIT_NOFILE, &Before);
  int Waiting = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Native = Env.Address.native();
  ASSERT_EQ(
      connect(Waiting, reinterpret_cast<sockaddr *>(&Native), sizeof(Native)),
      0);
  rlimit None = Before;
  None.rlim_cur = 0;
  setrlimit(RLIMIT_NOFILE, &None);
  while (Env.losses(ConnectionLoss::NoDescriptor) == 0)
    Env.Env.Loop.runOnce();
  // An open connection is served meanwhile.
  Client.send("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
  EXPECT_EQ(Client.status(), 200);
  setrlimit(RLIMIT_NOFILE, &Before);
  while (Env.Server.openConnections() < 2)
    Env.Env.Loop.runOnce();
  close(Waiting);
}

} // namespace
} // namespace mimosashunt::test
