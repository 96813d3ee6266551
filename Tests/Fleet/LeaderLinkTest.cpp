// Tests of an entry VM's link to the leader: large configurations over slow
// links, and control VMs that name each other as leader.

#include "Fleet/LeaderLink.h"
#include "Links/HttpServer.h"
#include "Support/ListeningPort.h"
#include "Support/TestLoop.h"

#include <gtest/gtest.h>
#include <memory>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

/// Reads a configuration that consists of its version only.
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

/// A control VM that replies to syncs at once and sends its configuration after
/// a delay, as over a slow link.
class FakeControlVm {
public:
  FakeControlVm(EventLoop &Loop, Duration FetchDelay)
      : Loop(Loop), FetchDelay(FetchDelay),
        Server(Loop, [this](const std::shared_ptr<HttpExchange> &Exchange) {
          handleRequest(Exchange);
        }) {
    EXPECT_FALSE(Server.listen(Address));
  }

  EventLoop &Loop;
  Duration FetchDelay;
  HttpServer Server;
  const SocketAddress Address = freeAddress();
  SyncReply Reply;
  int Syncs = 0;

private:
  void handleRequest(const std::shared_ptr<HttpExchange> &Exchange) {
    if (Exchange->request().Path == internal_path::Sync) {
      ++Syncs;
      return Exchange->respond(cbor(toCbor(Reply)));
    }
    ConfigurationReply Configuration{
        Reply.Version, compressText(std::to_string(Reply.Version))};
    Loop.timers().scheduleAt(Loop.timers().now() + FetchDelay,
                             [Exchange, Configuration] {
                               Exchange->respond(cbor(toCbor(Configuration)));
                             });
  }
};

struct LinkHarness {
  void runUntil(const std::function<bool()> &Condition) {
    // Ends a test that would hang; the tests assert the state, not the time.
    Instant Deadline = Loop.timers().now() + seconds(20);
    while (!Condition() && Loop.timers().now() < Deadline)
      Loop.runOnce();
  }

  TestLoop Lasting; // Destroyed last.
  EventLoop &Loop = Lasting.Loop;
  VersionReader Reader;
  EventLog Events{"entry", "entry", "warn"};
};

// Guards against fetching the configuration within the time limit of a sync,
// which a large configuration over a slow link exceeds.
TEST(LeaderLink, AppliesConfigurationThatTakesLongerThanASync) {
  LinkHarness Harness;
  FakeControlVm Leader(Harness.Loop, milliseconds(900));
  Leader.Reply.IsLeader = true;
  Leader.Reply.Version = 7;
  LeaderLink Link(Harness.Loop, "entry", {Leader.Address.text()},
                  Harness.Reader, Harness.Events);
  Harness.runUntil([&] { return Link.configuration().Version == 7; });
  EXPECT_EQ(Link.configuration().Version, 7U);
  EXPECT_TRUE(Link.isUpToDate());
}

TEST(LeaderLink, IsNotUpToDateWhileConfigurationLagsBehind) {
  LinkHarness Harness;
  FakeControlVm Leader(Harness.Loop, milliseconds(1));
  Leader.Reply.IsLeader = true;
  Leader.Reply.Version = 7;
  LeaderLink Link(Harness.Loop, "entry", {Leader.Address.text()},
                  Harness.Reader, Harness.Events);
  Harness.runUntil([&] { return Link.isUpToDate(); });
  ASSERT_TRUE(Link.isUpToDate());
  // The next version never arrives.
  Leader.FetchDelay = seconds(100);
  Leader.Reply.Version = 8;
  Harness.runUntil([&] { return !Link.isUpToDate(); });
  EXPECT_FALSE(Link.isUpToDate());
  EXPECT_EQ(Link.configuration().Version, 7U);
}

// Guards against a loop of syncs between two control VMs that name each other
// as leader during an election.
TEST(LeaderLink, LimitsSyncsToControlVmsThatNameEachOther) {
  LinkHarness Harness;
  FakeControlVm First(Harness.Loop, milliseconds(1));
  FakeControlVm Second(Harness.Loop, milliseconds(1));
  First.Reply.Leader = Second.Address.text();
  Second.Reply.Leader = First.Address.text();
  int Ticks = 0;
  TimerId Ticker = Harness.Loop.timers().scheduleEvery(milliseconds(250),
                                                       [&Ticks] { ++Ticks; });
  LeaderLink Link(Harness.Loop, "entry", {First.Address.text()}, Harness.Reader,
                  Harness.Events);
  Harness.runUntil([&] { return Ticks >= 8; });
  Harness.Loop.timers().cancel(Ticker);
  // One sync and two hints for each tick, and one more tick at either end.
  EXPECT_LE(First.Syncs + Second.Syncs, 3 * (Ticks + 2));
}

// Guards against an entry VM that finds no leader any more after a control VM
// with an old disk has named only members that are gone.
TEST(LeaderLink, AnOldMemberListDoesNotHideTheMembersOfTheLeader) {
  LinkHarness Harness;
  FakeControlVm Present(Harness.Loop, milliseconds(1));
  Present.Reply.IsLeader = true;
  Present.Reply.Version = 7;
  Present.Reply.MemberAddresses = {Present.Address.text()};
  FakeControlVm Old(Harness.Loop, milliseconds(1));
  Old.Reply.MemberAddresses = {Old.Address.text()};
  LeaderLink Link(Harness.Loop, "entry", {Present.Address.text()},
                  Harness.Reader, Harness.Events);
  Harness.runUntil([&] { return Link.isUpToDate(); });
  ASSERT_TRUE(Link.isUpToDate());
  // For a moment nobody leads, and the settings name only the old one.
  Link.setSeeds({Old.Address.text()});
  Present.Reply.IsLeader = false;
  Harness.runUntil([&] { return Old.Syncs >= 2; });
  Present.Reply.IsLeader = true;
  int Before = Present.Syncs;
  Harness.runUntil([&] { return Present.Syncs > Before + 1; });
  EXPECT_GT(Present.Syncs, Before + 1);
  EXPECT_TRUE(Link.isUpToDate());
}

TEST(Compression, DecompressesOnlyCompressedText) {
  std::string Text(200000, 'a');
  CompressedText Compressed = compressText(Text);
  EXPECT_LT(Compressed.Bytes.size(), Text.size() / 10);
  std::string Decompressed;
  EXPECT_TRUE(decompressText(Compressed, Decompressed));
  EXPECT_EQ(Decompressed, Text);
  Compressed.Size -= 1;
  EXPECT_FALSE(decompressText(Compressed, Decompressed));
  Compressed.Size = uint64_t{1} << 40;
  EXPECT_FALSE(decompressText(Compressed, Decompressed));
  EXPECT_FALSE(decompressText({"no packed text", 100}, Decompressed));
  EXPECT_TRUE(decompressText(compressText(""), Decompressed));
  EXPECT_EQ(Decompressed, "");
}

} // namespace
