#include "Support/VirtualNetwork.h"

namespace mimosashunt::test {

namespace {
/// Largest rate error of a node's clock, in parts per thousand either way.
constexpr int64_t MaxDriftPermille = 10;
constexpr unsigned PercentBase = 100;
} // namespace

VirtualNetwork::VirtualNetwork(uint64_t Seed, unsigned LossPercent,
                               unsigned DuplicatePercent)
    : Random(Seed), LossPercent(LossPercent),
      DuplicatePercent(DuplicatePercent) {}

Instant VirtualNetwork::clock(NodeName Node) const {
  auto NodeHash =
      static_cast<int64_t>(Node.Index * 3 + static_cast<size_t>(Node.Kind) * 7);
  int64_t Drift = NodeHash % (2 * MaxDriftPermille + 1) - MaxDriftPermille;
  return Instant(Now + Now * Drift / 1000 + seconds(1000 * (NodeHash + 1)));
}

bool VirtualNetwork::drawChance(unsigned Percent) {
  return FaultsActive && Random() % PercentBase < Percent;
}

void VirtualNetwork::post(NodeName From, NodeName To,
                          std::function<void()> Arrive) {
  bool Duplicated = drawChance(DuplicatePercent) &&
                    From.Kind == NodeKind::Control &&
                    To.Kind == NodeKind::Control;
  for (unsigned I = 0; I < (Duplicated ? 2U : 1U); ++I) {
    if (drawChance(LossPercent))
      continue;
    Duration Delay = Tick * static_cast<int64_t>(1 + Random() % 3);
    InFlight.emplace(Now + Delay,
                     InFlightMessage{From, To, Arrive, Incarnations[To]});
  }
}

void VirtualNetwork::deliver(
    const std::function<void(NodeName)> &BeforeArrival) {
  while (!InFlight.empty() && InFlight.begin()->first <= Now) {
    auto Earliest = InFlight.extract(InFlight.begin());
    InFlightMessage &Message = Earliest.mapped();
    if (RemovedNodes.contains(Message.To))
      continue;
    if (frozen(Message.To)) {
      // A frozen process reads its socket only after it continues, so the
      // message is delivered then.
      Earliest.key() = FrozenUntil.at(Message.To);
      InFlight.insert(std::move(Earliest));
      continue;
    }
    if (isDisconnected(Message.From, Message.To) ||
        Message.ReceiverIncarnation != Incarnations[Message.To])
      continue;
    BeforeArrival(Message.To);
    Message.Arrive();
  }
}

bool VirtualNetwork::frozen(NodeName Node) const {
  auto Found = FrozenUntil.find(Node);
  return RemovedNodes.contains(Node) ||
         (Found != FrozenUntil.end() && Now < Found->second);
}

bool VirtualNetwork::isDisconnected(NodeName A, NodeName B) const {
  if (RemovedNodes.contains(A) || RemovedNodes.contains(B))
    return true;
  auto Silent = SilentUntil.find({A, B});
  if (Silent != SilentUntil.end() && Now < Silent->second)
    return true;
  size_t From = A.Index % DataCentres;
  size_t To = B.Index % DataCentres;
  if (From == To)
    return false;
  for (size_t DataCentre : {From, To}) {
    auto Found = CutUntil.find(DataCentre);
    if (Found != CutUntil.end() && Now < Found->second)
      return true;
  }
  return false;
}

void VirtualNetwork::cut(size_t DataCentre, Duration Span) {
  CutUntil[DataCentre % DataCentres] = Now + Span;
}

void VirtualNetwork::silence(NodeName From, NodeName To, Duration Span) {
  SilentUntil[{From, To}] = Now + Span;
}

void VirtualNetwork::heal() {
  CutUntil.clear();
  SilentUntil.clear();
  FrozenUntil.clear();
  FaultsActive = false;
}

void VirtualNetwork::restartNode(NodeName Node) {
  ++Incarnations[Node];
  RemovedNodes.erase(Node);
}

void VirtualNetwork::removeNode(NodeName Node) {
  restartNode(Node);
  RemovedNodes.insert(Node);
}

} // namespace mimosashunt::test
