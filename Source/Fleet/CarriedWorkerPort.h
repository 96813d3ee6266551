// The leader's way to the workers of a large fleet: other control VMs carry its
// orders in batches, so that its processor time for a start does not contain an
// HTTP exchange with the worker. A worker's orders go through the carrier in
// its data centre, or through another one; without a usable carrier the leader
// sends them itself.

#ifndef MIMOSASHUNT_FLEET_CARRIEDWORKERPORT_H
#define MIMOSASHUNT_FLEET_CARRIEDWORKERPORT_H

#include "Fleet/BatchSender.h"
#include "Fleet/CarriedOrders.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosashunt {

/// Each order gets exactly one response. Orders whose carrier fails are
/// Unanswered, since the carrier may still carry them out. Those of a batch
/// that was refused or never sent go to their workers directly.
/// A control VM that may carry orders.
struct CarrierAddress {
  std::string Internal; // Its internal address.
  /// It has responded lately and is used at once; others only once they have
  /// taken a batch.
  bool IsKnownAlive = false;
  auto operator<=>(const CarrierAddress &) const = default; // NOLINT
};

class CarriedWorkerPort : public WorkerPort {
public:
  using EventLogger = std::function<void(const char *Kind, Json Fields)>;

  /// \p Direct sends orders from this VM; \p ResultsAddress is where this VM
  /// takes the carriers' results.
  CarriedWorkerPort(EventLoop &Loop, WorkerPort &Direct,
                    std::string ResultsAddress, EventLogger LogEvent);
  ~CarriedWorkerPort() override;
  CarriedWorkerPort(const CarriedWorkerPort &) = delete;
  CarriedWorkerPort &operator=(const CarriedWorkerPort &) = delete;

  /// Sets the control VMs that carry orders from now on and the term of this
  /// leadership. With an empty list all orders are direct.
  void setCarriers(const std::vector<CarrierAddress> &Addresses, uint64_t Term);
  /// Handles a carrier's request body. Returns false if it cannot be read.
  bool handleResults(const std::string &Body);

  void startRun(const WorkerEntry &To, const StartOrder &Order,
                OrderCallback Done) override;
  void stopRun(const WorkerEntry &To, const StopOrder &Order,
               OrderCallback Done) override;
  void setPace(const WorkerEntry &To, const PaceOrder &Order,
               OrderCallback Done) override;
  void pollWorker(const WorkerEntry &To, const PollOrder &Order,
                  PollCallback Done) override;
  void renewLease(const WorkerEntry &To, const RenewOrder &Order,
                  OrderCallback Done) override;
  void requestAdvice(const TaskId &Step,
                     const std::vector<std::string> &Workers, Duration Timeout,
                     AdviceCallback Done) override;

  size_t usableCarriers() const;
  uint64_t carriedOrders() const { return CarriedOrders; }

private:
  struct Carrier {
    std::unique_ptr<BatchSender<CarriedOrder>> Sender;
    /// Its last batch was taken and no order has expired since.
    bool IsUsable = false;
    std::string DataCentre; // Empty until it is known.
  };
  /// An order that has no response yet.
  struct PendingOrder {
    std::string Carrier;
    Instant Deadline;
    PollCallback Done;
  };

  std::unique_ptr<Carrier> makeCarrier(const std::string &Address);
  /// Returns the address of the worker's carrier, or null if the order has to
  /// be sent from here.
  const std::string *selectCarrier(const WorkerEntry &To) const;
  void carry(const std::string &Address, const WorkerEntry &To,
             WorkerOrder Order, Duration Timeout, PollCallback Done);
  void handleBatchSent(const std::string &Address,
                       const std::vector<CarriedOrder> &Batch,
                       const HttpResult &Result);
  /// Sends orders that no carrier has got to the workers from here.
  void sendDirect(const std::vector<CarriedOrder> &Orders);
  /// Ends the order, if it is pending.
  void finish(uint64_t Id, const PollResponse &Response);
  /// Stops the use of a carrier and ends all its orders as Unanswered.
  void abandonCarrier(const std::string &Address, const char *Reason);
  void onTick();

  EventLoop &Loop;
  WorkerPort &Direct;
  const std::string ResultsAddress;
  const EventLogger LogEvent;
  HttpClient Client;
  uint64_t Term = 0;
  std::map<std::string, std::unique_ptr<Carrier>> Carriers; // By address.
  std::map<uint64_t, PendingOrder> Pending;                 // By order id.
  uint64_t LastId = 0;
  uint64_t CarriedOrders = 0;
  TimerId TickTimer = 0;
};

} // namespace mimosashunt

#endif
