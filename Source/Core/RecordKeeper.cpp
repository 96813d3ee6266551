#include "Core/RecordKeeper.h"

#include "Core/Hash.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr size_t MaxPageRecords = 200;
constexpr size_t MaxPageBytes = 256 << 10;

using Runs = std::map<std::string, uint64_t>;

/// Rendezvous hashing: every VM with the same keeper set finds the same keeper,
/// and only the ids of a keeper that is added or removed move.
std::optional<EntryRun> selectKeeper(const Runs &Keepers,
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

bool RecordKeeper::isKeeper() const {
  return Keepers.isCurrentKeeper(Self) && !Keepers.isLost(Self);
}

bool RecordKeeper::wasKeeper() const {
  return Keepers.isPreviousKeeper(Self) && !Keepers.isLost(Self);
}

void RecordKeeper::updateKeepers(const KeeperSet &New) {
  if (New.Epoch < Keepers.Epoch || New == Keepers)
    return;
  bool IsNewEpoch = New.Epoch > Keepers.Epoch;
  Keepers = New;
  updateIncompleteUntil();
  if (!IsNewEpoch)
    return;
  Received.clear();
  std::map<std::string, Outgoing> Earlier = std::exchange(Transfers, {});
  // Records that were not accepted yet go to the present keepers.
  for (const auto &[Vm, Transfer] : Earlier)
    for (const std::string &RequestId : Transfer.Ids)
      queueForKeeper(RequestId);
  if (!wasKeeper())
    return;
  for (const auto &[Vm, Incarnation] : Keepers.Current)
    if (Vm != Self.Vm)
      Transfers[Vm].NeedsLast = true;
  Records.forEachId(
      [this](const std::string &RequestId) { queueForKeeper(RequestId); });
}

void RecordKeeper::updateIncompleteUntil() {
  std::erase_if(CountedLosses,
                [this](const EntryRun &Run) { return !Keepers.isLost(Run); });
  for (const EntryRun &Run : Keepers.Lost)
    if (Keepers.isPreviousKeeper(Run) && CountedLosses.insert(Run).second)
      IncompleteUntil = Timers.now() + Limits.Retention;
}

std::string RecordKeeper::keeperOf(const std::string &RequestId) const {
  auto Keeper = selectKeeper(Keepers.Current, RequestId);
  return Keeper ? Keeper->Vm : std::string();
}

RecordCoverage
RecordKeeper::recordCoverage(const std::string &RequestId) const {
  if (!isKeeper() || keeperOf(RequestId) != Self.Vm)
    return RecordCoverage::None;
  auto Previous = selectKeeper(Keepers.Previous, RequestId);
  bool GivenUp = Previous && Keepers.isLost(*Previous);
  if (Previous && !isSelf(*Previous) && !GivenUp &&
      !Received.contains(*Previous))
    return RecordCoverage::None;
  return Timers.now() < IncompleteUntil ? RecordCoverage::Incomplete
                                        : RecordCoverage::Complete;
}

void RecordKeeper::queueForKeeper(const std::string &RequestId) {
  std::string Keeper = keeperOf(RequestId);
  if (!Keeper.empty() && Keeper != Self.Vm)
    Transfers[Keeper].Ids.push_back(RequestId);
}

void RecordKeeper::sendPendingPages() {
  for (auto &[Vm, Transfer] : Transfers)
    if (!Transfer.InFlight && (Transfer.NeedsLast || !Transfer.Ids.empty()))
      sendPage(Vm, Transfer);
}

RecordPage RecordKeeper::nextPage(Outgoing &Transfer) const {
  RecordPage Page;
  Page.From = Self;
  Page.Epoch = Keepers.Epoch;
  size_t Bytes = 0;
  Transfer.Sending = 0;
  while (Transfer.Sending < Transfer.Ids.size() &&
         Page.Records.size() < MaxPageRecords && Bytes < MaxPageBytes) {
    const std::string &RequestId = Transfer.Ids[Transfer.Sending++];
    TransferredRecord Transferred;
    // An id without a record is that of a request that did not run, and the
    // keeper must be told so.
    Transferred.RequestId = RequestId;
    Transferred.State = RecordState::NotRun;
    if (auto Exported = Records.exportRecord(RequestId))
      Transferred = std::move(*Exported);
    Bytes += Transferred.Body.size() + RequestId.size();
    Page.Records.push_back(std::move(Transferred));
  }
  Page.Last = Transfer.Sending == Transfer.Ids.size();
  if (IncompleteUntil > Timers.now())
    Page.IncompleteMillis =
        static_cast<uint32_t>(toMillis(IncompleteUntil - Timers.now()));
  return Page;
}

void RecordKeeper::sendPage(const std::string &Vm, Outgoing &Transfer) {
  auto Address = Addresses.find(Vm);
  if (Address == Addresses.end())
    return;
  RecordTransfer Order;
  Order.Vm = Vm;
  Order.Address = Address->second;
  Order.Page = nextPage(Transfer);
  Order.Number = ++LastTransferNumber;
  Transfer.InFlight = true;
  Transfer.SendingLast = Order.Page.Last;
  Transfer.Number = Order.Number;
  Port.sendRecords(Order);
}

void RecordKeeper::onTransferDone(const std::string &Vm, uint64_t Number,
                                  bool Accepted) {
  auto Found = Transfers.find(Vm);
  if (Found == Transfers.end() || Found->second.Number != Number)
    return;
  Outgoing &Transfer = Found->second;
  Transfer.InFlight = false;
  if (!Accepted)
    return;
  Transfer.Ids.erase(Transfer.Ids.begin(),
                     Transfer.Ids.begin() +
                         static_cast<ptrdiff_t>(Transfer.Sending));
  if (Transfer.SendingLast)
    Transfer.NeedsLast = false;
}

std::optional<std::vector<RecordKeeper::Release>>
RecordKeeper::receivePage(const RecordPage &Page) {
  // In another epoch the sender and this VM may disagree about the keeper.
  if (Page.Epoch != Keepers.Epoch)
    return std::nullopt;
  std::vector<Release> Result;
  for (const TransferredRecord &Transferred : Page.Records) {
    std::vector<LocalRequestId> Waiting = Records.importRecord(Transferred);
    std::optional<Outcome> Final = outcomeOf(Transferred);
    if (!Waiting.empty() && Final)
      Result.push_back({std::move(Waiting), std::move(*Final)});
  }
  Instant Until = Timers.now() + milliseconds(Page.IncompleteMillis);
  IncompleteUntil = std::max(IncompleteUntil, Until);
  if (Page.Last)
    Received.insert(Page.From);
  return Result;
}

uint64_t RecordKeeper::settledEpoch() const {
  if (Keepers.Epoch == 0)
    return 0;
  bool AllSent = std::none_of(
      Transfers.begin(), Transfers.end(), [this](const auto &Transfer) {
        auto Keeper = Keepers.Current.find(Transfer.first);
        bool Lost = Keeper == Keepers.Current.end() ||
                    Keepers.isLost({Keeper->first, Keeper->second});
        return Transfer.second.NeedsLast && !Lost;
      });
  bool AllReceived = std::all_of(
      Keepers.Previous.begin(), Keepers.Previous.end(),
      [this](const auto &Keeper) {
        EntryRun Run{Keeper.first, Keeper.second};
        return isSelf(Run) || Keepers.isLost(Run) || Received.contains(Run);
      });
  return AllSent && (AllReceived || !isKeeper()) ? Keepers.Epoch
                                                 : Keepers.Epoch - 1;
}

bool RecordKeeper::hasNothingToTransfer() const {
  if (isKeeper())
    return false;
  return std::all_of(
      Transfers.begin(), Transfers.end(), [](const auto &Transfer) {
        return !Transfer.second.NeedsLast && Transfer.second.Ids.empty();
      });
}

} // namespace mimosashunt
