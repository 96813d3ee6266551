#include "Support/VirtualGroup.h"

#include "Agreement/RaftCodec.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <utility>

namespace mimosashunt::test {

namespace {

constexpr size_t SmallSnapshotBytes = 4000;
constexpr int OfferIntervalMs = 100;

} // namespace

std::string RecordingState::snapshot() const {
  std::string Text;
  for (const std::string &Word : AppliedWords)
    Text += Word + "\n";
  return Text;
}

std::error_code RecordingState::restore(const std::string &Data) {
  if (!canRestore(Data))
    return make_error_code(std::errc::bad_message);
  AppliedWords.clear();
  size_t At = 0;
  for (size_t End; (End = Data.find('\n', At)) != std::string::npos;
       At = End + 1)
    AppliedWords.push_back(Data.substr(At, End - At));
  return {};
}

ControlVm::ControlVm(VirtualGroup &Group, std::string At, DiskId Disk,
                     bool IsFirstStart)
    : Group(Group), Address(std::move(At)), Disk(Disk),
      Bootstrap({Disk, Address, Address}, Group.Seeds, IsFirstStart) {
  start();
}

void ControlVm::start() {
  ReplicaOptions Options;
  Options.BytesPerSnapshot = SmallSnapshotBytes;
  Node.reset();
  State.AppliedWords.clear();
  Node = std::make_unique<Replica>(Member{Disk, Address, Address}, Store.held(),
                                   Options, Group.Timers, Disk, Store, *this,
                                   State);
}

void ControlVm::send(const RaftMessage &Message, const std::string &To) {
  if (Group.IsolatedVms.count(Address))
    return;
  // A VM with an empty log knows no addresses; it replies on the connection of
  // the request.
  std::string Target = To;
  for (auto &[Other, Item] : Group.Vms)
    if (Item->Disk == Message.To)
      Target = Other;
  Group.deliver(Target, Message);
}

void ControlVm::sendJoinRequest(const Member &Self, const std::string &) {
  if (Group.IsolatedVms.count(Address))
    return;
  for (auto &[Other, Item] : Group.Vms)
    if (Other != Address && Item->Node && !Group.IsolatedVms.count(Other))
      Item->Node->handleJoinRequest(Self);
}

ControlVm &VirtualGroup::add(const std::string &Address, DiskId Disk,
                             bool IsFirstStart) {
  Vms.erase(Address);
  Vms[Address] =
      std::make_unique<ControlVm>(*this, Address, Disk, IsFirstStart);
  return *Vms[Address];
}

void VirtualGroup::addSeeds() {
  DiskId Disk = 10;
  for (const std::string &Address : Seeds)
    add(Address, Disk++, true);
}

/// Delivers a message through its encoding, as between processes.
void VirtualGroup::deliver(const std::string &To, const RaftMessage &Message) {
  std::string Bytes = encodeRaftMessages({Message});
  Timers.scheduleAt(Timers.now() + milliseconds(1), [this, To, Bytes] {
    std::vector<RaftMessage> Decoded;
    ASSERT_TRUE(decodeRaftMessages(Bytes, Decoded));
    auto Target = Vms.find(To);
    if (Target != Vms.end() && Target->second->Node && !IsolatedVms.count(To))
      Target->second->Node->receive(Decoded.front());
  });
}

void VirtualGroup::run(Duration For) {
  Instant Until = Timers.now() + For;
  while (Timers.now() < Until) {
    Timers.advance(Timers.now() + Step);
    size_t Leaders = 0;
    for (auto &[Address, Item] : Vms) {
      if (!Item->Node)
        continue;
      Item->Node->pump();
      Leaders += Item->Node->isLeader() ? 1 : 0;
    }
    MostLeaders = std::max(MostLeaders, Leaders);
    if (toMillis(Timers.now().time_since_epoch()) % OfferIntervalMs == 0)
      exchangeOffers();
  }
}

void VirtualGroup::exchangeOffers() {
  for (auto &[From, Sender] : Vms)
    for (const std::string &To : Seeds) {
      auto Receiver = Vms.find(To);
      if (To == From || Receiver == Vms.end() || IsolatedVms.count(From) ||
          IsolatedVms.count(To) || !Sender->Node || !Receiver->second->Node)
        continue;
      BootstrapOffer Offer =
          Sender->Bootstrap.offer(Sender->Node->membership().Voters);
      if (auto List = Receiver->second->Bootstrap.receive(Offer))
        Receiver->second->Node->bootstrapGroup(*List);
    }
}

ControlVm *VirtualGroup::leader() {
  for (auto &[Address, Item] : Vms)
    if (Item->Node && Item->Node->isLeader() && !IsolatedVms.count(Address))
      return Item.get();
  return nullptr;
}

bool VirtualGroup::propose(const std::string &Word) {
  auto Result = std::make_shared<ProposalOutcome>(ProposalOutcome::Unknown);
  if (leader() == nullptr)
    return false;
  leader()->Node->propose(
      Word, [Result](ProposalOutcome Outcome) { *Result = Outcome; });
  run(milliseconds(100));
  return *Result == ProposalOutcome::Committed;
}

} // namespace mimosashunt::test
