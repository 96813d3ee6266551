#include "Support/VirtualEntryPort.h"

#include <algorithm>
#include <utility>

namespace mimosashunt::test {

namespace {

constexpr Duration HeartbeatPeriod = milliseconds(300);
constexpr uint32_t SlotsPerBackend = 4;

} // namespace

BackendAnnouncement VirtualFleet::announcement(size_t Index) const {
  const BackendNode &Node = Backends[Index];
  BackendAnnouncement New;
  New.Name = std::to_string(Index);
  New.Service = Service.Name;
  New.Vm = vmOf(Index);
  New.Address = "b" + std::to_string(Index);
  New.Slots = SlotsPerBackend;
  New.Leaving = Node.Leaving;
  New.Epoch = Node.Epoch;
  for (const auto &[Attempt, Run] : Node.Running)
    New.Running.push_back(Attempt);
  return New;
}

void VirtualFleet::heartbeat(size_t Index) {
  BackendNode &Node = Backends[Index];
  NodeName Self{NodeKind::Backend, Index};
  NodeName To{NodeKind::Entry, Node.EntryAt};
  Node.HeartbeatPending = true;
  Node.NextHeartbeat = Network.now() + HeartbeatPeriod;
  uint64_t Number = ++Node.HeartbeatNumber;
  Duration SentAt = Network.now();
  uint64_t OfEpoch = Node.Epoch;
  Network.post(
      Self, To,
      [this, Index, Self, To, Number, SentAt, OfEpoch,
       New = announcement(Index)] {
        auto Reply = Entries[To.Index].Core->handleAnnouncement(New);
        Network.post(To, Self, [this, Index, Number, SentAt, OfEpoch, Reply] {
          BackendNode &Of = Backends[Index];
          if (Number != Of.HeartbeatNumber || !Reply)
            return;
          Of.HeartbeatPending = false;
          Of.Released = Reply->Released;
          if (OfEpoch == Of.Epoch)
            Of.SessionUntil = SentAt + milliseconds(Reply->LeaseMillis);
          if (Reply->RenewEpoch) {
            ++Of.Epoch;
            Of.SessionUntil = Network.now();
            Of.NextHeartbeat = Network.now();
          }
        });
      });
}

void VirtualFleet::stepBackend(size_t Index) {
  BackendNode &Node = Backends[Index];
  if (Node.HeartbeatPending &&
      Network.now() > Node.NextHeartbeat + CallTimeout) {
    // Silence: another owner, and with it another session.
    Node.HeartbeatPending = false;
    Node.EntryAt = (Node.EntryAt + 1) % Entries.size();
    ++Node.Epoch;
    Node.SessionUntil = Network.now();
  }
  if (Network.now() >= Node.NextHeartbeat && !Node.HeartbeatPending)
    heartbeat(Index);
  for (auto At = Node.Running.begin(); At != Node.Running.end();) {
    if (Network.now() < At->second.Ends) {
      ++At;
      continue;
    }
    auto Done = std::move(At->second);
    At = Node.Running.erase(At);
    Done.Answer(Answered{{200, "text/plain", Done.RequestId}});
  }
}

void VirtualFleet::arriveAttempt(
    size_t Backend, const Dispatch &Order, const std::string &RequestId,
    const std::string &RunKey,
    const std::function<void(AttemptResult)> &Answer) {
  BackendNode &Node = Backends[Backend];
  if (!Node.Alive)
    return;
  if (Order.Epoch != Node.Epoch || Network.now() >= Node.SessionUntil ||
      Node.Running.size() >= SlotsPerBackend)
    return Answer(AttemptRefused{});
  Duration Work = std::min(Shape.Work, Order.RunTimeout);
  Node.Running[Order.Attempt] = {RequestId, RunKey, Network.now() + Work,
                                 Answer};
  Runs.push_back({Network.now(), RequestId, RunKey, Backend});
  ++Requests.at(RequestId).Runs;
}

uint32_t VirtualFleet::runningNow() const {
  uint32_t Sum = 0;
  for (const BackendNode &Node : Backends)
    for (const auto &[Attempt, Run] : Node.Running)
      Sum += Run.Key.empty() ? 0 : 1;
  return Sum;
}

uint32_t VirtualFleet::trulyAvailable() const {
  uint32_t Sum = 0;
  for (size_t I = 0; I < Backends.size(); ++I) {
    bool Up = Vms.at(vmOf(I)).Status.State == VmState::Up;
    Sum += Up && Backends[I].Alive && !Backends[I].Leaving ? 1 : 0;
  }
  return Sum;
}

} // namespace mimosashunt::test
