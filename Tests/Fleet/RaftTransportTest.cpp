// Tests of the transport between control VMs over real sockets.

#include "Agreement/RaftCodec.h"
#include "Fleet/HttpRaftTransport.h"
#include "Fleet/InternalMessages.h"
#include "Links/HttpServer.h"
#include "Support/ListeningPort.h"
#include "Support/TestLoop.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

/// A control VM that counts join requests and answers with a list of members.
class JoinCounter {
public:
  explicit JoinCounter(EventLoop &Loop)
      : Server(Loop, [this](const std::shared_ptr<HttpExchange> &Exchange) {
          if (Exchange->request().Path == internal_path::Join)
            ++Joins;
          Exchange->respond({200,
                             {{"content-type", "application/cbor"}},
                             encodeMembers(Known)});
        }) {
    EXPECT_FALSE(Server.listen(Address));
  }

  HttpServer Server;
  const SocketAddress Address = freeAddress();
  std::vector<Member> Known;
  int Joins = 0;
};

// The leader of five control VMs may be none of the three seeds. A VM that came
// back with an empty disk then never became a member, and the loss of two more
// disks lost what had been accepted (a fresh day of the large deployment).
TEST(RaftTransport, AJoinRequestReachesALeaderThatIsNoSeed) {
  TestLoop Lasting; // Destroyed last.
  EventLoop &Loop = Lasting.Loop;
  JoinCounter Seed(Loop);
  JoinCounter Leader(Loop);
  Seed.Known = {{1, "seed", Seed.Address.text()},
                {2, "leader", Leader.Address.text()}};
  HttpRaftTransport Transport(Loop, {Seed.Address.text()}, freeAddress().text(),
                              [](const RaftMessage &) {});
  Member Self{3, "self", "127.0.0.1:1"};
  int Sent = 0;
  constexpr int MaxJoins = 20;
  TimerId Sender = Loop.timers().scheduleEvery(milliseconds(20), [&] {
    ++Sent;
    Transport.sendJoinRequest(Self, {});
  });
  while (Leader.Joins == 0 && Sent < MaxJoins)
    Loop.runOnce();
  Loop.timers().cancel(Sender);
  EXPECT_GT(Seed.Joins, 0);
  EXPECT_GT(Leader.Joins, 0);
}

} // namespace
