// Tests of the decisions about connections: who gives way under pressure, and
// that limits hold after any sequence of events.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "Links/ClientLimits.h"
#include "Links/ConnectionBudget.h"
#include "Links/ConnectionPlan.h"
#include "Links/RequestHead.h"

#include <algorithm>
#include <map>
#include <string>

namespace mimosashunt::test {
namespace {

constexpr int64_t Mb = 1 << 20;

/// A budget beside an account of its own, which is checked against it.
struct DrawnConnections {
  explicit DrawnConnections(ConnectionLimits Limits) : Budget(Limits) {}

  struct Expected {
    ConnectionPhase Phase = ConnectionPhase::Idle;
    int64_t Bytes = ConnectionBaseBytes;
  };

  void closeAll(const std::vector<ConnectionId> &Ids) {
    for (ConnectionId Id : Ids) {
      auto It = Open.find(Id);
      if (It != Open.end()) {
        RC_ASSERT(It->second.Phase != ConnectionPhase::Handling);
        Open.erase(It);
      }
    }
  }

  void open() {
    ConnectionId Id = ++LastId;
    auto Closed = Budget.open(Id, Now);
    if (std::find(Closed.begin(), Closed.end(), Id) == Closed.end())
      Open[Id] = {};
    closeAll(Closed);
  }

  void receive(ConnectionId Id, int64_t Bytes) {
    if (Open[Id].Phase == ConnectionPhase::Handling)
      return;
    Open[Id].Phase = ConnectionPhase::Receiving;
    Open[Id].Bytes = ConnectionBaseBytes + Bytes;
    Budget.setPhase(Id, ConnectionPhase::Receiving, Now);
    closeAll(Budget.setHeldBytes(Id, Bytes, Now));
  }

  void handle(ConnectionId Id, int64_t Bytes) {
    auto Closed = Budget.reserve(Id, Bytes, Now);
    if (!Closed)
      return;
    Open[Id].Phase = ConnectionPhase::Handling;
    Open[Id].Bytes += Bytes;
    closeAll(*Closed);
  }

  void end(ConnectionId Id) {
    Budget.close(Id);
    Open.erase(Id);
  }

  void check() const {
    int64_t Bytes = 0;
    bool MayClose = false;
    for (const auto &[Id, Item] : Open) {
      Bytes += Item.Bytes;
      MayClose |= Item.Phase != ConnectionPhase::Handling;
    }
    RC_ASSERT(Budget.usedBytes() == Bytes);
    RC_ASSERT(Budget.connections() == Open.size());
    RC_ASSERT(Open.size() <= Budget.limits().Connections);
    RC_ASSERT(Bytes <= Budget.limits().Bytes || !MayClose);
  }

  ConnectionBudget Budget;
  std::map<ConnectionId, Expected> Open;
  ConnectionId LastId = 0;
  Instant Now{};
};

// Guards against connections that together outgrow their part, and against the
// end of a request that is under way.
RC_GTEST_PROP(ConnectionBudget, NeverExceedsItsLimits, ()) {
  DrawnConnections Drawn({2 * Mb, 20});
  int Steps = *rc::gen::inRange(1, 300);
  for (int I = 0; I < Steps; ++I) {
    Drawn.Now += milliseconds(*rc::gen::inRange(0, 3000));
    int Event = *rc::gen::inRange(0, 5);
    if (Event == 0 || Drawn.Open.empty()) {
      Drawn.open();
    } else {
      auto It =
          std::next(Drawn.Open.begin(),
                    *rc::gen::inRange(0, static_cast<int>(Drawn.Open.size())));
      ConnectionId Id = It->first;
      if (Event <= 2)
        Drawn.receive(Id, *rc::gen::inRange<int64_t>(0, Mb));
      else if (Event == 3)
        Drawn.handle(Id, *rc::gen::inRange<int64_t>(0, Mb / 2));
      else
        Drawn.end(Id);
    }
    Drawn.check();
  }
}

/// Opens a connection that holds part of a request of this size.
ConnectionId receivePart(ConnectionBudget &Budget, ConnectionId Id,
                         int64_t Bytes, Instant Now) {
  EXPECT_TRUE(Budget.open(Id, Now).empty());
  Budget.setPhase(Id, ConnectionPhase::Receiving, Now);
  EXPECT_TRUE(Budget.setHeldBytes(Id, Bytes, Now).empty());
  return Id;
}

// Guards against a crowd with parts of large bodies that leaves no room for
// ordinary requests.
TEST(ConnectionBudget, SmallRequestsKeepAReserve) {
  ConnectionBudget Budget({4 * Mb, 1000});
  Instant Now{};
  ConnectionId Id = 0;
  std::vector<ConnectionId> Closed;
  for (int I = 0; I < 100; ++I) {
    EXPECT_TRUE(Budget.open(++Id, Now).empty());
    Budget.setPhase(Id, ConnectionPhase::Receiving, Now);
    for (ConnectionId Each : Budget.setHeldBytes(Id, Mb / 4, Now))
      Closed.push_back(Each);
  }
  EXPECT_FALSE(Closed.empty());
  for (int I = 0; I < 20; ++I)
    receivePart(Budget, ++Id, 8 << 10, Now);
}

// Guards against a client that stays for ever since it sends a byte now and
// then: the oldest and largest request gives way first.
TEST(ConnectionBudget, TheOldestOfTheLargestGivesWay) {
  ConnectionBudget Budget({2 * Mb, 1000});
  Instant Start{};
  receivePart(Budget, 1, Mb / 2, Start);
  receivePart(Budget, 2, Mb / 2, Start + seconds(5));
  Instant Now = Start + seconds(10);
  Budget.setHeldBytes(1, Mb / 2 + 1, Now);
  EXPECT_TRUE(Budget.open(3, Now).empty());
  Budget.setPhase(3, ConnectionPhase::Receiving, Now);
  EXPECT_EQ(Budget.setHeldBytes(3, 3 * Mb / 4, Now),
            std::vector<ConnectionId>{1});
}

// Guards against callers whose request is accepted and never answered.
TEST(ConnectionBudget, AWholeRequestIsNotClosed) {
  ConnectionBudget Budget({2 * Mb, 2});
  Instant Now{};
  for (ConnectionId Id : {1, 2}) {
    EXPECT_TRUE(Budget.open(Id, Now).empty());
    EXPECT_TRUE(Budget.reserve(Id, 8 << 10, Now));
  }
  EXPECT_EQ(Budget.open(3, Now + seconds(60)), std::vector<ConnectionId>{3});
  EXPECT_FALSE(Budget.reserve(1, 3 * Mb, Now));
}

// Guards against idle connections that take all descriptors.
TEST(ConnectionBudget, TheOldestIdleConnectionGivesWayToANewOne) {
  ConnectionBudget Budget({64 * Mb, 3});
  Instant Now{};
  receivePart(Budget, 1, 1000, Now);
  EXPECT_TRUE(Budget.open(2, Now + seconds(1)).empty());
  EXPECT_TRUE(Budget.open(3, Now + seconds(2)).empty());
  EXPECT_EQ(Budget.open(4, Now + seconds(3)), std::vector<ConnectionId>{2});
  EXPECT_EQ(Budget.open(5, Now + seconds(4)), std::vector<ConnectionId>{3});
}

TEST(ConnectionBudget, LargeBodiesAreRefusedUnderPressureAlone) {
  ConnectionBudget Budget({4 * Mb, 1000});
  Instant Now{};
  EXPECT_TRUE(Budget.admitsLargeBody(Now));
  for (ConnectionId Id = 1; Id <= 4; ++Id)
    receivePart(Budget, Id, Mb / 2, Now);
  EXPECT_FALSE(Budget.admitsLargeBody(Now + milliseconds(1999)));
  // Old requests would give way.
  EXPECT_TRUE(Budget.admitsLargeBody(Now + seconds(2)));
}

TEST(ClientLimits, TheTimeoutsCountFromTheLastPiece) {
  ClientLimits Limits{.HeadTimeout = seconds(3), .IdleTimeout = seconds(15)};
  Instant Start{};
  ConnectionTiming Timing{ConnectionPhase::Idle, Start, Start, false};
  EXPECT_FALSE(isOverdue(Timing, Limits, Start + seconds(15)));
  EXPECT_TRUE(isOverdue(Timing, Limits, Start + milliseconds(15001)));
  // Pieces of a head do not prolong its time.
  Timing.Phase = ConnectionPhase::Receiving;
  Timing.LastProgress = Start + seconds(3);
  EXPECT_FALSE(isOverdue(Timing, Limits, Start + seconds(3)));
  EXPECT_TRUE(isOverdue(Timing, Limits, Start + milliseconds(3001)));
  // A body may take as long as it goes on.
  Timing.HasWholeHead = true;
  Timing.LastProgress = Start + seconds(3600);
  EXPECT_FALSE(isOverdue(Timing, Limits, Start + seconds(3615)));
  EXPECT_TRUE(isOverdue(Timing, Limits, Start + milliseconds(3615001)));
  Timing.Phase = ConnectionPhase::Handling;
  EXPECT_FALSE(isOverdue(Timing, Limits, Start + seconds(100000)));
  Timing.Phase = ConnectionPhase::Sending;
  EXPECT_TRUE(isOverdue(Timing, Limits, Start + seconds(100000)));
}

TEST(ConnectionPlan, PartsAreOfTheMemoryAndTheDescriptors) {
  EXPECT_EQ(connectionBytes(48, 12, 50, 2 * Mb), 18 * Mb);
  EXPECT_EQ(connectionBytes(8, 12, 50, 2 * Mb), 2 * Mb);
  ConnectionLimits Limits = limitsOf({100 * Mb, 1000}, {90, 60});
  EXPECT_EQ(Limits, (ConnectionLimits{90 * Mb, 600}));
  // No more connections than there is memory for.
  EXPECT_EQ(limitsOf({Mb, 1000}, {100, 60}).Connections,
            static_cast<size_t>(Mb / ConnectionBaseBytes));
  EXPECT_GT(limitsOf({1000, 10}, {5, 3}).Connections, 0U);
}

/// Scans a request whose bytes arrive in pieces of this size.
RequestHead scanInPieces(const std::string &Bytes, size_t Piece) {
  RequestHead Head;
  for (size_t Size = 0; Size < Bytes.size();) {
    Size = std::min(Size + Piece, Bytes.size());
    Head.scan(std::string_view(Bytes).substr(0, Size));
  }
  return Head;
}

TEST(RequestHead, FindsTheEndAndTheLengthInAnyPieces) {
  std::string Text = "\r\nPOST / HTTP/1.1\r\nContent-Length:  262144\r\n\r\n";
  for (size_t Piece : {1, 2, 3, 1000}) {
    RequestHead Head = scanInPieces(Text + "\r\n\r\nbody", Piece);
    EXPECT_TRUE(Head.isComplete());
    EXPECT_EQ(Head.size(), Text.size());
    EXPECT_EQ(Head.contentLength(), 262144U);
  }
  EXPECT_FALSE(scanInPieces(Text.substr(0, Text.size() - 1), 5).isComplete());
}

TEST(RequestHead, LengthsThatDoNotFitAreTheLargest) {
  auto LengthOf = [](const std::string &Value) {
    return scanInPieces("GET / HTTP/1.1\nContent-length:" + Value + "\n\n", 7)
        .contentLength();
  };
  EXPECT_EQ(LengthOf("99999999999999999999999"), UINT64_MAX);
  EXPECT_EQ(LengthOf(" 12\r\ncontent-length: 900"), 900U);
  EXPECT_EQ(LengthOf(" -5"), 0U);
  EXPECT_EQ(LengthOf(""), 0U);
}

} // namespace
} // namespace mimosashunt::test
