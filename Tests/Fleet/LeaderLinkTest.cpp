// An entry VM's link to the leader: large configurations over slow links, and
// control VMs that name each other.

#include "Fleet/LeaderLink.h"
#include "Links/HttpServer.h"
#include "Support/ListeningPort.h"

#include <gtest/gtest.h>
#include <memory>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

/// Reads a version and nothing else.
class VersionReader : public ConfigurationReader {
public:
  std::optional<std::string> read(const std::string &Text,
                                  ServiceConfiguration &Result) const override {
    Result.Version = std::stoull(Text);
    Result.Text = Text;
    return std::nullopt;
  }
};

HttpResponse cbor(std::string Body) {
  return {200, {{"content-type", "application/cbor"}}, std::move(Body)};
}

/// A control VM that answers syncs at once and hands its configuration out
/// after a while, as over a slow link.
class FakeControl {
public:
  FakeControl(EventLoop &Loop, Duration FetchTakes)
      : Loop(Loop), FetchTakes(FetchTakes),
        Server(Loop, [this](const std::shared_ptr<HttpExchange> &Exchange) {
          answer(Exchange);
        }) {
    EXPECT_FALSE(Server.listen(Address));
  }

  EventLoop &Loop;
  Duration FetchTakes;
  HttpServer Server;
  const SocketAddress Address = freeAddress();
  SyncReply Reply;
  int Syncs = 0;

private:
  void answer(const std::shared_ptr<HttpExchange> &Exchange) {
    if (Exchange->request().Path == internal_path::Sync) {
      ++Syncs;
      return Exchange->respond(cbor(toCbor(Reply)));
    }
    ConfigurationReply Content{Reply.Version,
                               pack(std::to_string(Reply.Version))};
    Loop.timers().scheduleAt(
        Loop.timers().now() + FetchTakes,
        [Exchange, Content] { Exchange->respond(cbor(toCbor(Content))); });
  }
};

struct LinkFrame {
  void runUntil(const std::function<bool()> &Holds) {
    // A ceiling against hanging; what is asserted is the state alone.
    Instant Until = Loop.timers().now() + seconds(20);
    while (!Holds() && Loop.timers().now() < Until)
      Loop.runOnce();
  }

  // h2o cannot take a loop or a server down, so both live as long as the
  // process.
  EventLoop &Loop = *new EventLoop();
  VersionReader Reader;
  EventLog Events{"entry", "entry", "warn"};
};

TEST(LeaderLink, AConfigurationThatTakesLongerThanASyncComesInForce) {
  LinkFrame Frame;
  FakeControl &Leader = *new FakeControl(Frame.Loop, milliseconds(900));
  Leader.Reply.Leads = true;
  Leader.Reply.Version = 7;
  LeaderLink Link(Frame.Loop, "entry", {Leader.Address.text()}, Frame.Reader,
                  Frame.Events);
  Frame.runUntil([&] { return Link.configuration().Version == 7; });
  EXPECT_EQ(Link.configuration().Version, 7U);
  EXPECT_TRUE(Link.inTouch());
}

TEST(LeaderLink, AVmThatStaysBehindDoesNotServe) {
  LinkFrame Frame;
  FakeControl &Leader = *new FakeControl(Frame.Loop, milliseconds(1));
  Leader.Reply.Leads = true;
  Leader.Reply.Version = 7;
  LeaderLink Link(Frame.Loop, "entry", {Leader.Address.text()}, Frame.Reader,
                  Frame.Events);
  Frame.runUntil([&] { return Link.inTouch(); });
  ASSERT_TRUE(Link.inTouch());
  // The next version never arrives.
  Leader.FetchTakes = seconds(100);
  Leader.Reply.Version = 8;
  Frame.runUntil([&] { return !Link.inTouch(); });
  EXPECT_FALSE(Link.inTouch());
  EXPECT_EQ(Link.configuration().Version, 7U);
}

TEST(LeaderLink, TwoThatNameEachOtherAreNotAskedInQuickTurn) {
  LinkFrame Frame;
  FakeControl &First = *new FakeControl(Frame.Loop, milliseconds(1));
  FakeControl &Second = *new FakeControl(Frame.Loop, milliseconds(1));
  First.Reply.Leader = Second.Address.text();
  Second.Reply.Leader = First.Address.text();
  int Ticks = 0;
  Frame.Loop.timers().scheduleEvery(milliseconds(250), [&Ticks] { ++Ticks; });
  LeaderLink Link(Frame.Loop, "entry", {First.Address.text()}, Frame.Reader,
                  Frame.Events);
  Frame.runUntil([&] { return Ticks >= 8; });
  // One ask and two hints for each tick, and one tick more at either end.
  EXPECT_LE(First.Syncs + Second.Syncs, 3 * (Ticks + 2));
}

TEST(Packing, UnpacksWhatWasPackedAndNothingElse) {
  std::string Text(200000, 'a');
  PackedText Packed = pack(Text);
  EXPECT_LT(Packed.Bytes.size(), Text.size() / 10);
  std::string Back;
  EXPECT_TRUE(unpack(Packed, Back));
  EXPECT_EQ(Back, Text);
  Packed.Size -= 1;
  EXPECT_FALSE(unpack(Packed, Back));
  Packed.Size = uint64_t{1} << 40;
  EXPECT_FALSE(unpack(Packed, Back));
  EXPECT_FALSE(unpack({"no packed text", 100}, Back));
  EXPECT_TRUE(unpack(pack(""), Back));
  EXPECT_EQ(Back, "");
}

} // namespace
