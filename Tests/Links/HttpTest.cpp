// The HTTP server and client: what is whole, what is lost, what was never sent.

#include <gtest/gtest.h>

#include "Links/HttpClient.h"
#include "Links/HttpServer.h"
#include "Support/ListeningPort.h"

#include <algorithm>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace mimosashunt::test {
namespace {

/// One loop with a client, living as long as the process.
struct Fixture {
  EventLoop &Loop = *new EventLoop();
  HttpClient &Client = *new HttpClient(Loop);

  HttpResult call(const SocketAddress &To, const HttpRequest &Request,
                  Duration Timeout = seconds(5),
                  HttpClient::Guard MayLeave = {}) {
    std::optional<HttpResult> Result;
    Client.send(
        To, Request, Timeout, [&](HttpResult Got) { Result = std::move(Got); },
        std::move(MayLeave));
    while (!Result)
      Loop.runOnce();
    return *Result;
  }
};

HttpServer &serve(Fixture &Of, const SocketAddress &At,
                  HttpServer::Handler Handle, HttpServerOptions Options = {}) {
  auto *Server = new HttpServer(Of.Loop, std::move(Handle), Options);
  EXPECT_FALSE(Server->listen(At));
  return *Server;
}

/// A peer that sends fixed bytes to whoever connects, and closes.
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

TEST(Http, AnAnswerComesBackWhole) {
  Fixture Of;
  SocketAddress At = freeAddress();
  serve(Of, At, [](const auto &Exchange) {
    const HttpRequest &Request = Exchange->request();
    Exchange->respond(
        {201, {{"x-path", Request.Path + "?" + Request.Query}}, Request.Body});
  });
  std::string Body(300000, 'b');
  HttpResult Result = Of.call(At, {"POST", "/a/b", "c=d", {}, Body});
  const auto *Response = std::get_if<HttpResponse>(&Result);
  ASSERT_NE(Response, nullptr);
  EXPECT_EQ(Response->Status, 201);
  EXPECT_EQ(Response->Body, Body);
  EXPECT_EQ(headerValue(Response->Headers, "x-path"), "/a/b?c=d");
}

TEST(Http, ARefusedConnectionWasNotSent) {
  Fixture Of;
  HttpResult Result = Of.call(freeAddress(), Get);
  EXPECT_TRUE(std::holds_alternative<HttpNotSent>(Result));
}

TEST(Http, AGuardThatSaysNoSendsNothing) {
  Fixture Of;
  SocketAddress At = freeAddress();
  bool Reached = false;
  serve(Of, At, [&](const auto &Exchange) {
    Reached = true;
    Exchange->respond({200, {}, ""});
  });
  HttpResult Result = Of.call(At, Get, seconds(5), [] { return false; });
  EXPECT_TRUE(std::holds_alternative<HttpNotSent>(Result));
  Of.call(At, Get);
  EXPECT_TRUE(Reached);
}

TEST(Http, ASilentServerIsLostAtTheTimeout) {
  Fixture Of;
  SocketAddress At = freeAddress();
  std::vector<std::shared_ptr<HttpExchange>> Held;
  serve(Of, At, [&](const auto &Exchange) { Held.push_back(Exchange); });
  HttpResult Result = Of.call(At, Get, milliseconds(100));
  EXPECT_TRUE(std::holds_alternative<HttpLost>(Result));
  EXPECT_EQ(Held.size(), 1U);
}

/// True if a peer that sends \p Bytes and closes gave no answer.
bool isLost(const std::string &Bytes) {
  Fixture Of;
  RawPeer Peer(Bytes);
  return std::holds_alternative<HttpLost>(Of.call(Peer.Address, Get));
}

TEST(Http, ATruncatedAnswerIsLost) {
  EXPECT_TRUE(isLost("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort"));
}

TEST(Http, AnAnswerWithoutALengthIsLost) {
  EXPECT_TRUE(isLost("HTTP/1.1 200 OK\r\n\r\nperhaps whole"));
}

TEST(Http, GarbageIsLost) { EXPECT_TRUE(isLost("no protocol at all\r\n\r\n")); }

TEST(Http, AnOversizedBodyIsRefused) {
  Fixture Of;
  SocketAddress At = freeAddress();
  HttpServerOptions Options;
  Options.MaxBodyBytes = 1000;
  bool Reached = false;
  serve(
      Of, At, [&](const auto &) { Reached = true; }, Options);
  HttpResult Result =
      Of.call(At, {"POST", "/x", "", {}, std::string(2000, 'x')});
  const auto *Response = std::get_if<HttpResponse>(&Result);
  EXPECT_TRUE(Response == nullptr || Response->Status == 413);
  EXPECT_FALSE(Reached);
}

TEST(Http, AnAnswerToACallerThatHungUpIsDropped) {
  Fixture Of;
  SocketAddress At = freeAddress();
  std::shared_ptr<HttpExchange> Held;
  serve(Of, At, [&](const auto &Exchange) { Held = Exchange; });
  Of.call(At, Get, milliseconds(50));
  // h2o does not read from a connection while its request is answered, so the
  // end of the connection shows when the answer is written.
  Held->respond({200, {}, "too late"});
  while (!Held->gone())
    Of.Loop.runOnce();
  Held->respond({200, {}, "again"});
}

TEST(Http, AShutdownAnswersWhatIsPendingAndClosesTheRest) {
  Fixture Of;
  SocketAddress At = freeAddress();
  std::shared_ptr<HttpExchange> Held;
  HttpServer &Server =
      serve(Of, At, [&](const auto &Exchange) { Held = Exchange; });
  std::optional<HttpResult> Result;
  Of.Client.send(At, Get, seconds(5),
                 [&](HttpResult Got) { Result = std::move(Got); });
  while (!Held)
    Of.Loop.runOnce();
  Server.beginShutdown();
  EXPECT_EQ(Server.pendingExchanges(), 1U);
  Held->respond({200, {}, "whole"});
  while (!Result || Server.openConnections() > 0)
    Of.Loop.runOnce();
  const auto *Response = std::get_if<HttpResponse>(&*Result);
  ASSERT_NE(Response, nullptr);
  EXPECT_EQ(Response->Body, "whole");
  EXPECT_TRUE(std::holds_alternative<HttpNotSent>(Of.call(At, Get)));
}

TEST(SocketAddress, ParsesOnlyIpAndPort) {
  SocketAddress Address;
  EXPECT_FALSE(SocketAddress::parse("10.0.0.1:80", Address));
  for (const char *Bad : {"", "localhost:80", "10.0.0.1", "10.0.0.1:",
                          "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:8x"})
    EXPECT_TRUE(SocketAddress::parse(Bad, Address)) << Bad;
}

TEST(HttpClient, KeepsToItsConnectionsAndClosesIdleOnes) {
  // Bursts of orders to many workers, each of which may go and never close.
  EventLoop &Loop = *new EventLoop();
  HttpClient &Client = *new HttpClient(
      Loop, {.ConnectionsPerAddress = 4, .IdleTimeout = seconds(1)});
  SocketAddress Address = freeAddress();
  size_t Most = 0;
  HttpServer *Server = nullptr;
  Server =
      new HttpServer(Loop, [&](const std::shared_ptr<HttpExchange> &Exchange) {
        Most = std::max(Most, Server->openConnections());
        Loop.timers().scheduleAt(Loop.timers().now() + milliseconds(5),
                                 [Exchange] {
                                   Exchange->respond({200, {}, "ok"});
                                 });
      });
  ASSERT_FALSE(Server->listen(Address));
  constexpr int Calls = 50;
  int Answered = 0;
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/";
  for (int I = 0; I < Calls; ++I)
    Client.send(Address, Request, seconds(10), [&](const HttpResult &Result) {
      Answered += std::holds_alternative<HttpResponse>(Result) ? 1 : 0;
    });
  Instant Until = Loop.timers().now() + seconds(20);
  auto Goes = [&] { return Loop.timers().now() < Until; };
  while (Answered < Calls && Goes())
    Loop.runOnce();
  EXPECT_EQ(Answered, Calls);
  EXPECT_LE(Most, 4U);
  Loop.timers().scheduleEvery(milliseconds(100), [] {});
  while (Server->openConnections() > 0 && Goes())
    Loop.runOnce();
  EXPECT_EQ(Server->openConnections(), 0U);
}

} // namespace
} // namespace mimosashunt::test
