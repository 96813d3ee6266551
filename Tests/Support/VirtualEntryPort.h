// Implements the port through which an entry VM's core reaches the simulated
// fleet: it sends attempts to backend servers, and requests and records to
// other entry VMs.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_VIRTUALENTRYPORT_H
#define MIMOSASHUNT_TESTS_SUPPORT_VIRTUALENTRYPORT_H

#include "Support/VirtualFleet.h"

namespace mimosashunt::test {

/// Returns the name of the service's queue for work under \p Key; an empty key
/// selects the open queue.
std::string queueFor(const std::string &Key);

/// Time after which an unanswered call fails.
inline constexpr Duration CallTimeout = milliseconds(800);

/// Port of one entry VM on the virtual network.
struct VirtualFleet::Port : EntryPort {
  VirtualFleet &Fleet;
  size_t Index;
  Port(VirtualFleet &Fleet, size_t Index) : Fleet(Fleet), Index(Index) {}

  NodeName self() const { return {NodeKind::Entry, Index}; }

  /// Sends a message from \p From that runs \p Callback on this entry VM,
  /// unless it is lost or the entry VM restarts first.
  template <class Function> void postToSelf(NodeName From, Function Callback) {
    Fleet.Network.post(From, self(), Callback);
  }
  /// Runs \p Callback on this entry VM after \p After by its own clock,
  /// regardless of the network.
  template <class Function> void runAfter(Duration After, Function Callback) {
    Fleet.Entries[Index].Timers->scheduleAt(Fleet.Network.clock(self()) + After,
                                            Callback);
  }

  void dispatchAttempt(const Dispatch &Order) override {
    size_t Backend = std::stoul(Order.Backend);
    NodeName To{NodeKind::Backend, Backend};
    const CallerRequest &Request =
        Fleet.Requests.at(Fleet.CallerRequestIds.at(Order.Id));
    std::string RequestId = Request.Id;
    std::string Key = Request.Key;
    AttemptId Attempt = Order.Attempt;
    auto ReportResult = [this, Attempt](const AttemptResult &Value) {
      Fleet.Entries[Index].Core->onAttemptDone(Attempt, Value);
    };
    // The request is sent one tick after the connection is made, because the
    // process may freeze in between.
    runAfter(VirtualNetwork::Tick, [this, Order, To, RequestId, Key,
                                    ReportResult, Backend] {
      bool CanSend = !Fleet.Network.isDisconnected(self(), To) &&
                     Fleet.Backends[Backend].Alive &&
                     Fleet.Entries[Index].Core->maySendAttempt(Order.Id);
      if (!CanSend)
        return ReportResult(AttemptNotSent{});
      runAfter(Order.RunTimeout + seconds(1),
               [ReportResult] { ReportResult(AttemptLost{}); });
      // Some connections break while the request continues to run.
      if (Fleet.Network.breaksConnection())
        runAfter(milliseconds(50),
                 [ReportResult] { ReportResult(AttemptLost{}); });
      Fleet.Network.post(
          self(), To, [this, Order, To, RequestId, Key, ReportResult, Backend] {
            Fleet.handleAttempt(
                Backend, Order, RequestId, Key,
                [this, To, ReportResult](const AttemptResult &Value) {
                  postToSelf(To,
                             [ReportResult, Value] { ReportResult(Value); });
                });
          });
    });
  }

  void forwardRequest(const Forward &Order) override {
    size_t Target = Fleet.entryIndexOf(Order.Vm);
    NodeName To{NodeKind::Entry, Target};
    std::string RequestId = Fleet.CallerRequestIds.at(Order.Id);
    const CallerRequest &Request = Fleet.Requests.at(RequestId);
    EntryRequest Forwarded{queueFor(Request.Key),
                           Request.Key,
                           {},
                           Request.Id,
                           Request.Idempotent,
                           Request.Sendings == 1,
                           Order.Timeout,
                           Order.Via};
    LocalRequestId Id = Order.Id;
    auto ReportResult = [this, Id](const ForwardResult &Value) {
      Fleet.Entries[Index].Core->onForwardDone(Id, Value);
    };
    if (Fleet.Network.isDisconnected(self(), To))
      return runAfter(milliseconds(300),
                      [ReportResult] { ReportResult(ForwardNotSent{}); });
    runAfter(Order.Timeout + seconds(1),
             [ReportResult] { ReportResult(ForwardLost{}); });
    Fleet.Network.post(
        self(), To, [this, Forwarded, RequestId, To, Target, ReportResult] {
          LocalRequestId LocalId = ++Fleet.LastLocalRequestId;
          Fleet.CallerRequestIds[LocalId] = RequestId;
          Fleet.Entries[Target].Link->FinishHandlers[LocalId] =
              [this, To, ReportResult](const Outcome &Value) {
                postToSelf(To, [ReportResult, Value] { ReportResult(Value); });
              };
          Fleet.Entries[Target].Core->submitRequest(LocalId, Forwarded);
        });
  }

  void sendRecords(const RecordTransfer &Order) override {
    size_t Target = Fleet.entryIndexOf(Order.Vm);
    NodeName To{NodeKind::Entry, Target};
    auto ReportDone = [this, Order](bool IsAccepted) {
      Fleet.Entries[Index].Core->onTransferDone(Order.Vm, Order.Number,
                                                IsAccepted);
    };
    runAfter(CallTimeout, [ReportDone] { ReportDone(false); });
    Fleet.Network.post(self(), To, [this, Order, Target, To, ReportDone] {
      bool IsAccepted = Fleet.Entries[Target].Core->receiveRecords(Order.Page);
      postToSelf(To, [ReportDone, IsAccepted] { ReportDone(IsAccepted); });
    });
  }

  void finishRequest(LocalRequestId Id, const Outcome &Result) override {
    auto Found = FinishHandlers.find(Id);
    if (Found == FinishHandlers.end())
      return;
    auto Done = std::move(Found->second);
    FinishHandlers.erase(Found);
    Done(Result);
  }

  // Callbacks for the outcomes of requests submitted to this core.
  std::map<LocalRequestId, std::function<void(const Outcome &)>> FinishHandlers;
};

} // namespace mimosashunt::test

#endif
