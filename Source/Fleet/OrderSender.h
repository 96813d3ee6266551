// Sends a worker order of any kind through a WorkerPort.

#ifndef MIMOSASHUNT_FLEET_ORDERSENDER_H
#define MIMOSASHUNT_FLEET_ORDERSENDER_H

#include "Fleet/CarriedOrders.h"

#include <utility>
#include <variant>

namespace mimosashunt {

/// Visits the order. The response of anything but a poll has empty lists.
struct OrderSender {
  WorkerPort &Port;
  const WorkerEntry &To;
  const WorkerPort::PollCallback &Done;

  void operator()(const StartOrder &Order) const {
    Port.startRun(To, Order, onResponse());
  }
  void operator()(const StopOrder &Order) const {
    Port.stopRun(To, Order, onResponse());
  }
  void operator()(const PaceOrder &Order) const {
    Port.setPace(To, Order, onResponse());
  }
  void operator()(const PollOrder &Order) const {
    Port.pollWorker(To, Order, Done);
  }

  void operator()(const RenewOrder &Order) const {
    Port.renewLease(To, Order, onResponse());
  }

private:
  WorkerPort::OrderCallback onResponse() const {
    return [Done = Done](const OrderResponse &Response) {
      Done({Response.Outcome, Response.ClockMs, {}, {}, Response.Incarnation});
    };
  }
};

/// Sends a carried order to its worker.
inline void sendCarriedOrder(WorkerPort &Port, const CarriedOrder &Item,
                             const WorkerPort::PollCallback &Done) {
  WorkerEntry To;
  To.Key = Item.Worker;
  To.Address = Item.Address;
  std::visit(OrderSender{Port, To, Done}, Item.Order);
}

} // namespace mimosashunt

#endif
