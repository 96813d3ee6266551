// Founding, joining and replacing control VMs, over an in-memory network in
// virtual time.

#include "Agreement/Replica.h"
#include "Agreement/RaftCodec.h"
#include "Support/MemoryLog.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>

using namespace mimosashunt;

namespace {

class Words : public ReplicatedState {
public:
  void apply(LogIndex, const std::string &Command) override {
    All.push_back(Command);
  }
  std::string snapshot() const override {
    std::string Text;
    for (const std::string &Word : All)
      Text += Word + "\n";
    return Text;
  }
  void restore(const std::string &Data) override {
    All.clear();
    size_t At = 0;
    for (size_t End; (End = Data.find('\n', At)) != std::string::npos;
         At = End + 1)
      All.push_back(Data.substr(At, End - At));
  }
  std::vector<std::string> All;
};

class Group;

struct Vm : RaftTransport {
  Vm(Group &Net, std::string Address, DiskId Disk, bool First);
  void send(const RaftMessage &Message, const std::string &To) override;
  void sendJoinRequest(const Member &Self, const std::string &) override;

  Group &Net;
  std::string Address;
  Words State;
  test::MemoryLog Store;
  GroupBootstrap Founders;
  std::unique_ptr<Replica> Copy;
};

class Group {
public:
  explicit Group(std::vector<std::string> Seeds) : Seeds(std::move(Seeds)) {}

  Vm &add(const std::string &Address, DiskId Disk, bool First) {
    Vms[Address] = std::make_unique<Vm>(*this, Address, Disk, First);
    return *Vms[Address];
  }

  /// Messages are decoded from bytes, as they are between processes.
  void deliver(const std::string &To, const RaftMessage &Message) {
    std::string Bytes = encodeRaftMessages({Message});
    Timers.scheduleAt(Timers.now() + milliseconds(1), [this, To, Bytes] {
      std::vector<RaftMessage> Back;
      ASSERT_TRUE(decodeRaftMessages(Bytes, Back));
      if (Vms.count(To) && !Cut.count(To))
        Vms[To]->Copy->receive(Back.front());
    });
  }

  void run(Duration For) {
    Instant Until = Timers.now() + For;
    while (Timers.now() < Until) {
      Timers.advance(Timers.now() + milliseconds(1));
      for (auto &[Address, Item] : Vms)
        Item->Copy->pump();
      if (toMillis(Timers.now().time_since_epoch()) % 100 == 0)
        exchangeOffers();
    }
  }

  void exchangeOffers() {
    for (auto &[From, Sender] : Vms)
      for (const std::string &To : Seeds) {
        if (To == From || !Vms.count(To) || Cut.count(From) || Cut.count(To))
          continue;
        BootstrapOffer Offer =
            Sender->Founders.offer(Sender->Copy->membership().Voters);
        if (auto List = Vms[To]->Founders.receive(Offer))
          Vms[To]->Copy->bootstrapGroup(*List);
      }
  }

  Vm *leader() {
    for (auto &[Address, Item] : Vms)
      if (Item->Copy->isLeader() && !Cut.count(Address))
        return Item.get();
    return nullptr;
  }

  bool propose(const std::string &Word) {
    ProposalOutcome Result = ProposalOutcome::Unknown;
    if (leader() == nullptr)
      return false;
    leader()->Copy->propose(Word,
                            [&](ProposalOutcome Outcome) { Result = Outcome; });
    run(milliseconds(100));
    return Result == ProposalOutcome::Committed;
  }

  TimerService Timers{Instant(seconds(100))};
  std::vector<std::string> Seeds;
  std::map<std::string, std::unique_ptr<Vm>> Vms;
  std::set<std::string> Cut;
};

Vm::Vm(Group &Net, std::string At, DiskId Disk, bool First)
    : Net(Net), Address(std::move(At)),
      Founders({Disk, Address, Address}, Net.Seeds, First) {
  ReplicaOptions Options;
  Options.BytesPerSnapshot = 4000;
  Copy =
      std::make_unique<Replica>(Member{Disk, Address, Address}, DurableLog{},
                                Options, Net.Timers, Disk, Store, *this, State);
}

void Vm::send(const RaftMessage &Message, const std::string &To) {
  if (Net.Cut.count(Address))
    return;
  // A VM whose log is empty knows no addresses; its answers go back on the
  // connection that the request came on.
  std::string Back = To;
  for (auto &[Other, Item] : Net.Vms)
    if (Item->Copy->log().self() == Message.To)
      Back = Other;
  Net.deliver(Back, Message);
}

void Vm::sendJoinRequest(const Member &Self, const std::string &) {
  if (Net.Cut.count(Address))
    return;
  for (auto &[Other, Item] : Net.Vms)
    if (Other != Address && !Net.Cut.count(Other))
      Item->Copy->handleJoinRequest(Self);
}

const std::vector<std::string> Three = {"a:1", "b:1", "c:1"};

TEST(Replica, SeedsFoundOneGroupAndAFourthVmJoinsIt) {
  Group Net(Three);
  DiskId Disk = 10;
  for (const std::string &Address : Three)
    Net.add(Address, Disk++, true);
  Net.add("d:1", Disk, true);
  Net.run(seconds(4));
  ASSERT_NE(Net.leader(), nullptr);
  EXPECT_EQ(Net.leader()->Copy->membership().Voters.size(), 3U);
  EXPECT_EQ(Net.leader()->Copy->membership().Learners.size(), 1U);
  EXPECT_TRUE(Net.propose("word"));
  Net.run(milliseconds(300));
  for (const auto &[Address, Item] : Net.Vms)
    EXPECT_EQ(Item->State.All, std::vector<std::string>{"word"}) << Address;
}

TEST(Replica, NothingIsFoundedWhileASeedIsMissing) {
  Group Net(Three);
  Net.add("a:1", 10, true);
  Net.add("b:1", 11, true);
  Net.run(seconds(4));
  EXPECT_EQ(Net.leader(), nullptr);
  EXPECT_TRUE(Net.Vms["a:1"]->Copy->membership().Voters.empty());
  Net.add("c:1", 12, true);
  Net.run(seconds(3));
  EXPECT_NE(Net.leader(), nullptr);
}

TEST(Replica, AnEmptyDiskThatIsNotTheFirstFoundsNothing) {
  Group Net(Three);
  for (size_t I = 0; I < Three.size(); ++I)
    Net.add(Three[I], 10 + I, /*First=*/false);
  Net.run(seconds(4));
  EXPECT_EQ(Net.leader(), nullptr);
}

TEST(Replica, AVmThatLostItsDiskIsReplacedByItsNewDisk) {
  Group Net(Three);
  for (size_t I = 0; I < Three.size(); ++I)
    Net.add(Three[I], 10 + I, true);
  Net.run(seconds(3));
  ASSERT_TRUE(Net.propose("before"));
  std::string Lost;
  for (const std::string &Address : Three)
    if (Net.leader()->Address != Address)
      Lost = Address;
  Net.add(Lost, 99, /*First=*/false);
  Net.run(seconds(4));
  ASSERT_NE(Net.leader(), nullptr);
  EXPECT_TRUE(Net.leader()->Copy->membership().isVoter(99));
  EXPECT_EQ(Net.leader()->Copy->membership().Voters.size(), 3U);
  EXPECT_EQ(Net.Vms[Lost]->State.All, std::vector<std::string>{"before"});
}

TEST(Replica, ASilentVoterGivesItsPlaceToALearnerAndComesBackAsOne) {
  Group Net(Three);
  for (size_t I = 0; I < Three.size(); ++I)
    Net.add(Three[I], 10 + I, true);
  Net.add("d:1", 20, true);
  Net.run(seconds(4));
  std::string Silent;
  for (const std::string &Address : Three)
    if (Net.leader()->Address != Address)
      Silent = Address;
  Net.Cut.insert(Silent);
  Net.run(seconds(5));
  ASSERT_NE(Net.leader(), nullptr);
  EXPECT_TRUE(Net.leader()->Copy->membership().isVoter(20));
  EXPECT_EQ(Net.leader()->Copy->membership().Voters.size(), 3U);
  EXPECT_TRUE(Net.propose("while it was away"));
  Net.Cut.erase(Silent);
  Net.run(seconds(5));
  EXPECT_EQ(Net.Vms[Silent]->State.All,
            std::vector<std::string>{"while it was away"});
}

TEST(Replica, ALeaderThatIsCutOffCommitsNothing) {
  Group Net(Three);
  for (size_t I = 0; I < Three.size(); ++I)
    Net.add(Three[I], 10 + I, true);
  Net.run(seconds(3));
  Vm *Before = Net.leader();
  Net.Cut.insert(Before->Address);
  ProposalOutcome Result = ProposalOutcome::Committed;
  Before->Copy->propose("lost", [&](ProposalOutcome O) { Result = O; });
  Net.run(seconds(3));
  EXPECT_NE(Result, ProposalOutcome::Committed);
  EXPECT_FALSE(Before->Copy->isLeader());
  ASSERT_NE(Net.leader(), nullptr);
  EXPECT_TRUE(Net.propose("kept"));
  Net.Cut.clear();
  Net.run(seconds(2));
  EXPECT_EQ(Before->State.All, std::vector<std::string>{"kept"});
}

TEST(Replica, ALongLogReachesANewMemberAsASnapshot) {
  Group Net(Three);
  for (size_t I = 0; I < Three.size(); ++I)
    Net.add(Three[I], 10 + I, true);
  Net.run(seconds(3));
  for (int I = 0; I < 60; ++I)
    ASSERT_TRUE(Net.propose(std::string(200, 'x') + std::to_string(I)));
  EXPECT_GT(Net.leader()->Copy->log().firstIndex(), 20U);
  Vm &Late = Net.add("d:1", 20, true);
  Net.run(seconds(4));
  EXPECT_EQ(Late.State.All.size(), 60U);
}

TEST(Founding, AFoundedListWinsOverOneThatIsBeingGathered) {
  Member A{10, "a:1", "a:1"};
  Member B{11, "b:1", "b:1"};
  Member C{12, "c:1", "c:1"};
  Member Wiped{13, "c:1", "c:1"};
  GroupBootstrap At(B, Three, true);
  EXPECT_EQ(At.receive({Wiped, {}}), std::nullopt);
  auto List = At.receive({A, {A, B, C}});
  ASSERT_TRUE(List.has_value());
  EXPECT_EQ(*List, (std::vector<Member>{A, B, C}));
}

TEST(Founding, AStrangersOfferFoundsNothing) {
  GroupBootstrap At({10, "a:1", "a:1"}, Three, true);
  EXPECT_EQ(At.receive({{11, "b:1", "b:1"}, {}}), std::nullopt);
  EXPECT_EQ(At.receive({{14, "x:1", "x:1"}, {}}), std::nullopt);
  EXPECT_EQ(At.receive({{NoDisk, "c:1", "c:1"}, {}}), std::nullopt);
}

TEST(RaftCodec, RefusesBytesThatAreNoMessages) {
  std::vector<RaftMessage> Result;
  EXPECT_FALSE(decodeRaftMessages("", Result));
  EXPECT_FALSE(decodeRaftMessages("garbage", Result));
  std::string Whole = encodeRaftMessages(
      {{1, 2, 3, AppendRequest{4, 5, {LogEntry{}}, 6, Instant(seconds(7))}}});
  ASSERT_TRUE(decodeRaftMessages(Whole, Result));
  for (size_t Length = 1; Length < Whole.size(); ++Length)
    EXPECT_FALSE(decodeRaftMessages(Whole.substr(0, Length), Result));
}

} // namespace
