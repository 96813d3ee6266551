#include "Links/ConnectionBudget.h"

#include <tuple>

namespace mimosashunt {

namespace {

/// An ordinary request with its copies stays below.
constexpr int64_t MaxSmallBytes = 64 << 10;
/// A request that is still arriving after this time gives way under pressure.
constexpr Duration OldRequestAge = seconds(2);

} // namespace

bool ConnectionBudget::Charge::isLarge() const { return Bytes > MaxSmallBytes; }

void ConnectionBudget::count(const Charge &Item, int Sign) {
  int64_t Bytes = Sign * Item.Bytes;
  Used += Bytes;
  if (Item.isLarge())
    UsedByLarge += Bytes;
  if (!Item.isClosable())
    UsedByWhole += Bytes;
}

void ConnectionBudget::setCharge(Charge &Item, ConnectionPhase Phase,
                                 int64_t Bytes) {
  count(Item, -1);
  Item.Phase = Phase;
  Item.Bytes = Bytes;
  count(Item, 1);
}

void ConnectionBudget::remove(ChargeMap::iterator Item) {
  count(Item->second, -1);
  Charges.erase(Item);
}

void ConnectionBudget::close(ConnectionId Id) {
  if (auto It = Charges.find(Id); It != Charges.end())
    remove(It);
}

std::vector<ConnectionId> ConnectionBudget::open(ConnectionId Id, Instant Now) {
  std::vector<ConnectionId> Closed;
  while (Charges.size() >= Limits.Connections) {
    auto Victim = mostDispensable();
    if (Victim == Charges.end())
      return {Id};
    Closed.push_back(Victim->first);
    remove(Victim);
  }
  Charge &Added = Charges[Id];
  Added.Since = Now;
  count(Added, 1);
  makeRoom(Closed, Now);
  return Closed;
}

void ConnectionBudget::setPhase(ConnectionId Id, ConnectionPhase Phase,
                                Instant Now) {
  auto It = Charges.find(Id);
  if (It == Charges.end() || It->second.Phase == Phase)
    return;
  setCharge(It->second, Phase, It->second.Bytes);
  It->second.Since = Now;
}

std::vector<ConnectionId>
ConnectionBudget::setHeldBytes(ConnectionId Id, int64_t Bytes, Instant Now) {
  std::vector<ConnectionId> Closed;
  if (auto It = Charges.find(Id); It != Charges.end()) {
    setCharge(It->second, It->second.Phase, ConnectionBaseBytes + Bytes);
    makeRoom(Closed, Now);
  }
  return Closed;
}

bool ConnectionBudget::admitsLargeBody(Instant Now) const {
  // The other half is for the rest of the bodies that are arriving.
  if (UsedByLarge <= maxLargeBytes() / 2)
    return true;
  for (const auto &[Id, Item] : Charges)
    if (Item.isClosable() && Item.isLarge() &&
        Now - Item.Since >= OldRequestAge)
      return true;
  return false;
}

std::optional<std::vector<ConnectionId>>
ConnectionBudget::reserve(ConnectionId Id, int64_t Bytes, Instant Now) {
  std::vector<ConnectionId> Closed;
  auto It = Charges.find(Id);
  if (It == Charges.end())
    return Closed;
  Charge &Item = It->second;
  int64_t Needed = Item.Bytes + Bytes;
  int64_t Others = UsedByWhole - (Item.isClosable() ? 0 : Item.Bytes);
  if (Others + Needed > Limits.Bytes)
    return std::nullopt;
  setCharge(Item, ConnectionPhase::Handling, Needed);
  Item.Since = Now;
  makeRoom(Closed, Now);
  return Closed;
}

ConnectionBudget::ChargeMap::iterator
ConnectionBudget::costliest(bool OnlyLarge, Instant Now) {
  auto Found = Charges.end();
  double MaxCost = -1;
  for (auto It = Charges.begin(); It != Charges.end(); ++It) {
    const Charge &Item = It->second;
    if (!Item.isClosable() || (OnlyLarge && !Item.isLarge()))
      continue;
    // The age of the request, not the time since its last byte: a byte now and
    // then would keep a connection for ever.
    Duration Age = Now - Item.Since + milliseconds(1);
    double Cost =
        static_cast<double>(Item.Bytes) * static_cast<double>(Age.count());
    if (Cost > MaxCost) {
      MaxCost = Cost;
      Found = It;
    }
  }
  return Found;
}

ConnectionBudget::ChargeMap::iterator ConnectionBudget::mostDispensable() {
  auto Found = Charges.end();
  auto Rank = [](const Charge &Item) {
    return std::tuple(Item.Phase != ConnectionPhase::Idle, Item.Since);
  };
  for (auto It = Charges.begin(); It != Charges.end(); ++It)
    if (It->second.isClosable() &&
        (Found == Charges.end() || Rank(It->second) < Rank(Found->second)))
      Found = It;
  return Found;
}

void ConnectionBudget::makeRoom(std::vector<ConnectionId> &Closed,
                                Instant Now) {
  while (isOver() || isOverWithLarge()) {
    auto Victim = costliest(!isOver(), Now);
    if (Victim == Charges.end())
      return;
    Closed.push_back(Victim->first);
    remove(Victim);
  }
}

} // namespace mimosashunt
