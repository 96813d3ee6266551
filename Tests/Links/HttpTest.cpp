// Tests of the HTTP server and client: complete responses, lost responses, and
// requests that were never sent.

#include <gtest/gtest.h>

#include "Links/HttpClient.h"
#include "Links/HttpServer.h"
#include "Support/ListeningPort.h"

#include <algorithm>
#include <cerrno>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

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
                        HttpServerOptions Options = {}) {
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
  Options.MaxBodyBytes = 1000;
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

} // namespace
} // namespace mimosashunt::test
