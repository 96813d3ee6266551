// Implements the simulated backend servers of VirtualFleet.

#include "Support/VirtualEntryPort.h"

#include <algorithm>
#include <utility>

namespace mimosashunt::test {

namespace {

constexpr Duration HeartbeatInterval = milliseconds(300);
constexpr uint32_t SlotsPerBackend = 4;

} // namespace

BackendAnnouncement VirtualFleet::makeAnnouncement(size_t Index) const {
  const BackendNode &Node = Backends[Index];
  BackendAnnouncement Announcement;
  Announcement.Name = std::to_string(Index);
  Announcement.Service = Service.Name;
  Announcement.Vm = vmOf(Index);
  Announcement.Address = "b" + std::to_string(Index);
  Announcement.Slots = SlotsPerBackend;
  Announcement.Leaving = Node.Leaving;
  Announcement.Epoch = Node.Epoch;
  for (const auto &[Attempt, Run] : Node.Running)
    Announcement.Running.push_back(Attempt);
  return Announcement;
}

void VirtualFleet::sendHeartbeat(size_t Index) {
  BackendNode &Node = Backends[Index];
  NodeName Self{NodeKind::Backend, Index};
  NodeName To{NodeKind::Entry, Node.EntryIndex};
  Node.HeartbeatPending = true;
  Node.NextHeartbeat = Network.now() + HeartbeatInterval;
  uint64_t Number = ++Node.HeartbeatNumber;
  Duration SentAt = Network.now();
  uint64_t SentEpoch = Node.Epoch;
  Network.post(
      Self, To,
      [this, Index, Self, To, Number, SentAt, SentEpoch,
       Announcement = makeAnnouncement(Index)] {
        auto Reply = Entries[To.Index].Core->handleAnnouncement(Announcement);
        Network.post(To, Self, [this, Index, Number, SentAt, SentEpoch, Reply] {
          BackendNode &Current = Backends[Index];
          if (Number != Current.HeartbeatNumber || !Reply)
            return;
          Current.HeartbeatPending = false;
          Current.Released = Reply->Released;
          if (SentEpoch == Current.Epoch)
            Current.SessionUntil = SentAt + milliseconds(Reply->LeaseMillis);
          if (Reply->RenewEpoch) {
            ++Current.Epoch;
            Current.SessionUntil = Network.now();
            Current.NextHeartbeat = Network.now();
          }
        });
      });
}

void VirtualFleet::stepBackend(size_t Index) {
  BackendNode &Node = Backends[Index];
  if (Node.HeartbeatPending &&
      Network.now() > Node.NextHeartbeat + CallTimeout) {
    // The entry VM does not answer: announce to the next one, which starts a
    // new session.
    Node.HeartbeatPending = false;
    Node.EntryIndex = (Node.EntryIndex + 1) % Entries.size();
    ++Node.Epoch;
    Node.SessionUntil = Network.now();
  }
  if (Network.now() >= Node.NextHeartbeat && !Node.HeartbeatPending)
    sendHeartbeat(Index);
  for (auto Run = Node.Running.begin(); Run != Node.Running.end();) {
    if (Network.now() < Run->second.EndsAt) {
      ++Run;
      continue;
    }
    auto Completed = std::move(Run->second);
    Run = Node.Running.erase(Run);
    Completed.OnResult(Answered{{200, "text/plain", Completed.RequestId}});
  }
}

void VirtualFleet::handleAttempt(
    size_t Backend, const Dispatch &Order, const std::string &RequestId,
    const std::string &RunKey,
    const std::function<void(AttemptResult)> &OnResult) {
  BackendNode &Node = Backends[Backend];
  if (!Node.Alive)
    return;
  if (Order.Epoch != Node.Epoch || Network.now() >= Node.SessionUntil ||
      Node.Running.size() >= SlotsPerBackend)
    return OnResult(AttemptRefused{});
  Duration RunDuration = std::min(Shape.Work, Order.RunTimeout);
  Node.Running[Order.Attempt] = {RequestId, RunKey, Network.now() + RunDuration,
                                 OnResult};
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
