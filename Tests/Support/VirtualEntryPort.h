// How an entry VM's core reaches the rest of the virtual fleet: attempts to
// backend servers, and requests and records to other entry VMs.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_VIRTUALENTRYPORT_H
#define MIMOSASHUNT_TESTS_SUPPORT_VIRTUALENTRYPORT_H

#include "Support/VirtualFleet.h"

namespace mimosashunt::test {

/// Queue of the fleet's service that takes work under \p Key.
std::string queueFor(const std::string &Key);

/// How long a call waits for its answer.
inline constexpr Duration CallTimeout = milliseconds(800);

struct VirtualFleet::Port : EntryPort {
  VirtualFleet &Fleet;
  size_t Index;
  Port(VirtualFleet &Fleet, size_t Index) : Fleet(Fleet), Index(Index) {}

  NodeName self() const { return {NodeKind::Entry, Index}; }

  /// Runs \p Then on this entry VM unless it restarted meanwhile.
  template <class Do> void later(NodeName From, Do Then) {
    Fleet.Network.post(From, self(), Then);
  }
  /// Runs \p Then here after the call's timeout, whatever the network does.
  template <class Do> void atTimeout(Duration After, Do Then) {
    Fleet.Entries[Index].Timers->scheduleAt(Fleet.Network.clock(self()) + After,
                                            Then);
  }

  void dispatchAttempt(const Dispatch &Order) override {
    size_t Backend = std::stoul(Order.Backend);
    NodeName To{NodeKind::Backend, Backend};
    const CallerRequest &Of = Fleet.Requests.at(Fleet.WorkNames.at(Order.Id));
    std::string Name = Of.Id;
    std::string Key = Of.Key;
    AttemptId Attempt = Order.Attempt;
    auto Result = [this, Attempt](const AttemptResult &Value) {
      Fleet.Entries[Index].Core->onAttemptDone(Attempt, Value);
    };
    // The connection is made first; the bytes leave a moment later, when the
    // process may have been frozen in between.
    atTimeout(VirtualNetwork::Tick, [this, Order, To, Name, Key, Result,
                                     Backend] {
      bool Connects = !Fleet.Network.severed(self(), To) &&
                      Fleet.Backends[Backend].Alive &&
                      Fleet.Entries[Index].Core->maySendAttempt(Order.Id);
      if (!Connects)
        return Result(AttemptNotSent{});
      atTimeout(Order.RunTimeout + seconds(1),
                [Result] { Result(AttemptLost{}); });
      // Some connections break while the request runs on.
      if (Fleet.Network.breaks())
        atTimeout(milliseconds(50), [Result] { Result(AttemptLost{}); });
      Fleet.Network.post(
          self(), To, [this, Order, To, Name, Key, Result, Backend] {
            Fleet.arriveAttempt(Backend, Order, Name, Key,
                                [this, To, Result](const AttemptResult &Value) {
                                  later(To, [Result, Value] { Result(Value); });
                                });
          });
    });
  }

  void forwardRequest(const Forward &Order) override {
    size_t Target = Fleet.entryNamed(Order.Vm);
    NodeName To{NodeKind::Entry, Target};
    std::string Name = Fleet.WorkNames.at(Order.Id);
    const CallerRequest &Of = Fleet.Requests.at(Name);
    EntryRequest Next{
        queueFor(Of.Key), Of.Key,        {},       Of.Id, Of.Idempotent,
        Of.Sendings == 1, Order.Timeout, Order.Via};
    LocalRequestId Id = Order.Id;
    auto Result = [this, Id](const ForwardResult &Value) {
      Fleet.Entries[Index].Core->onForwardDone(Id, Value);
    };
    if (Fleet.Network.severed(self(), To))
      return atTimeout(milliseconds(300),
                       [Result] { Result(ForwardNotSent{}); });
    atTimeout(Order.Timeout + seconds(1), [Result] { Result(ForwardLost{}); });
    Fleet.Network.post(self(), To, [this, Next, Name, To, Target, Result] {
      LocalRequestId Inner = ++Fleet.LastWork;
      Fleet.WorkNames[Inner] = Name;
      Fleet.Entries[Target].Wire->Finished[Inner] =
          [this, To, Result](const Outcome &Value) {
            later(To, [Result, Value] { Result(Value); });
          };
      Fleet.Entries[Target].Core->submitRequest(Inner, Next);
    });
  }

  void sendRecords(const RecordTransfer &Order) override {
    size_t Target = Fleet.entryNamed(Order.Vm);
    NodeName To{NodeKind::Entry, Target};
    auto Done = [this, Order](bool Taken) {
      Fleet.Entries[Index].Core->onTransferDone(Order.Vm, Order.Number, Taken);
    };
    atTimeout(CallTimeout, [Done] { Done(false); });
    Fleet.Network.post(self(), To, [this, Order, Target, To, Done] {
      bool Taken = Fleet.Entries[Target].Core->receiveRecords(Order.Page);
      later(To, [Done, Taken] { Done(Taken); });
    });
  }

  void finishRequest(LocalRequestId Id, const Outcome &Result) override {
    auto Found = Finished.find(Id);
    if (Found == Finished.end())
      return;
    auto Done = std::move(Found->second);
    Finished.erase(Found);
    Done(Result);
  }

  std::map<LocalRequestId, std::function<void(const Outcome &)>> Finished;
};

} // namespace mimosashunt::test

#endif
