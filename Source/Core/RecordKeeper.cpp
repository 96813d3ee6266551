#include "Core/RecordKeeper.h"

#include "Core/Hash.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr size_t MaxPageRecords = 200;
constexpr size_t MaxPageBytes = 256 << 10;

using Runs = std::map<std::string, uint64_t>;

/// Rendezvous hashing: whoever has the same keepers names the same home, and
/// only ids of a keeper that goes or comes find another.
std::optional<EntryRun> homeAmong(const Runs &Keepers,
                                  const std::string &RequestId) {
  std::optional<EntryRun> Best;
  uint64_t BestHash = 0;
  for (const auto &[Vm, Incarnation] : Keepers) {
    uint64_t Hash = hashBytes(RequestId, hashBytes(Vm));
    if (!Best || Hash > BestHash) {
      Best = EntryRun{Vm, Incarnation};
      BestHash = Hash;
    }
  }
  return Best;
}

} // namespace

RecordKeeper::RecordKeeper(EntryRun Self,
                           std::map<std::string, std::string> Addresses,
                           TimerService &Timers, RecordLimits Limits,
                           EntryPort &Port)
    : Self(std::move(Self)), Addresses(std::move(Addresses)), Timers(Timers),
      Limits(Limits), Port(Port), Records(Timers, Limits),
      IncompleteUntil(Timers.now()) {}

bool RecordKeeper::amKeeper() const {
  return Set.isCurrentKeeper(Self) && !Set.isLost(Self);
}

bool RecordKeeper::wasKeeper() const {
  return Set.isPreviousKeeper(Self) && !Set.isLost(Self);
}

void RecordKeeper::updateKeepers(const KeeperSet &New) {
  if (New.Epoch < Set.Epoch || New == Set)
    return;
  bool Began = New.Epoch > Set.Epoch;
  Set = New;
  noteLosses();
  if (!Began)
    return;
  Received.clear();
  std::map<std::string, Outgoing> Earlier = std::exchange(To, {});
  // What is still to be told goes to the present homes.
  for (const auto &[Vm, Item] : Earlier)
    for (const std::string &RequestId : Item.Ids)
      queueForKeeper(RequestId);
  if (!wasKeeper())
    return;
  for (const auto &[Vm, Incarnation] : Set.Current)
    if (Vm != Self.Vm)
      To[Vm].NeedsLast = true;
  Records.forEachId(
      [this](const std::string &RequestId) { queueForKeeper(RequestId); });
}

void RecordKeeper::noteLosses() {
  std::erase_if(Noted,
                [this](const EntryRun &Run) { return !Set.isLost(Run); });
  for (const EntryRun &Run : Set.Lost)
    if (Set.isPreviousKeeper(Run) && Noted.insert(Run).second)
      IncompleteUntil = Timers.now() + Limits.Retention;
}

std::string RecordKeeper::keeperOf(const std::string &RequestId) const {
  auto Home = homeAmong(Set.Current, RequestId);
  return Home ? Home->Vm : std::string();
}

Duty RecordKeeper::recordCoverage(const std::string &RequestId) const {
  if (!amKeeper() || keeperOf(RequestId) != Self.Vm)
    return Duty::None;
  auto Earlier = homeAmong(Set.Previous, RequestId);
  bool GivenUp = Earlier && Set.isLost(*Earlier);
  if (Earlier && !isSelf(*Earlier) && !GivenUp && !Received.contains(*Earlier))
    return Duty::None;
  return Timers.now() < IncompleteUntil ? Duty::Incomplete : Duty::Complete;
}

void RecordKeeper::queueForKeeper(const std::string &RequestId) {
  std::string Home = keeperOf(RequestId);
  if (!Home.empty() && Home != Self.Vm)
    To[Home].Ids.push_back(RequestId);
}

void RecordKeeper::sendPendingPages() {
  for (auto &[Vm, Item] : To)
    if (!Item.InFlight && (Item.NeedsLast || !Item.Ids.empty()))
      sendPage(Vm, Item);
}

RecordPage RecordKeeper::nextPage(Outgoing &Item) const {
  RecordPage Page;
  Page.From = Self;
  Page.Epoch = Set.Epoch;
  size_t Bytes = 0;
  Item.Sending = 0;
  while (Item.Sending < Item.Ids.size() &&
         Page.Records.size() < MaxPageRecords && Bytes < MaxPageBytes) {
    const std::string &RequestId = Item.Ids[Item.Sending++];
    TransferredRecord Given;
    // What did not run is forgotten here, which is what the home must hear.
    Given.RequestId = RequestId;
    Given.State = RecordState::NotRun;
    if (auto Held = Records.exportRecord(RequestId))
      Given = std::move(*Held);
    Bytes += Given.Body.size() + RequestId.size();
    Page.Records.push_back(std::move(Given));
  }
  Page.Last = Item.Sending == Item.Ids.size();
  if (IncompleteUntil > Timers.now())
    Page.IncompleteMillis =
        static_cast<uint32_t>(toMillis(IncompleteUntil - Timers.now()));
  return Page;
}

void RecordKeeper::sendPage(const std::string &Vm, Outgoing &Item) {
  auto Address = Addresses.find(Vm);
  if (Address == Addresses.end())
    return;
  RecordTransfer Order;
  Order.Vm = Vm;
  Order.Address = Address->second;
  Order.Page = nextPage(Item);
  Order.Number = ++Numbers;
  Item.InFlight = true;
  Item.SendingLast = Order.Page.Last;
  Item.Number = Order.Number;
  Port.sendRecords(Order);
}

void RecordKeeper::onTransferDone(const std::string &Vm, uint64_t Number,
                                  bool Taken) {
  auto Found = To.find(Vm);
  if (Found == To.end() || Found->second.Number != Number)
    return;
  Outgoing &Item = Found->second;
  Item.InFlight = false;
  if (!Taken)
    return;
  Item.Ids.erase(Item.Ids.begin(),
                 Item.Ids.begin() + static_cast<ptrdiff_t>(Item.Sending));
  if (Item.SendingLast)
    Item.NeedsLast = false;
}

std::optional<std::vector<RecordKeeper::Release>>
RecordKeeper::receivePage(const RecordPage &Page) {
  // Whoever is not at the same epoch would name other homes.
  if (Page.Epoch != Set.Epoch)
    return std::nullopt;
  std::vector<Release> Result;
  for (const TransferredRecord &Given : Page.Records) {
    std::vector<LocalRequestId> Waiting = Records.importRecord(Given);
    std::optional<Outcome> End = outcomeOf(Given);
    if (!Waiting.empty() && End)
      Result.push_back({std::move(Waiting), std::move(*End)});
  }
  Instant Until = Timers.now() + milliseconds(Page.IncompleteMillis);
  IncompleteUntil = std::max(IncompleteUntil, Until);
  if (Page.Last)
    Received.insert(Page.From);
  return Result;
}

uint64_t RecordKeeper::settledEpoch() const {
  if (Set.Epoch == 0)
    return 0;
  bool Given = std::none_of(To.begin(), To.end(), [this](const auto &Item) {
    auto Keeper = Set.Current.find(Item.first);
    bool Lost = Keeper == Set.Current.end() ||
                Set.isLost({Keeper->first, Keeper->second});
    return Item.second.NeedsLast && !Lost;
  });
  bool Got = std::all_of(
      Set.Previous.begin(), Set.Previous.end(), [this](const auto &Item) {
        EntryRun Run{Item.first, Item.second};
        return isSelf(Run) || Set.isLost(Run) || Received.contains(Run);
      });
  return Given && (Got || !amKeeper()) ? Set.Epoch : Set.Epoch - 1;
}

bool RecordKeeper::hasNothingToTransfer() const {
  if (amKeeper())
    return false;
  return std::all_of(To.begin(), To.end(), [](const auto &Item) {
    return !Item.second.NeedsLast && Item.second.Ids.empty();
  });
}

} // namespace mimosashunt
