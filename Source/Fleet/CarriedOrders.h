// Messages between the leader and the control VMs that carry its orders to
// workers. Decoding is strict: a batch is used whole or not at all.

#ifndef MIMOSASHUNT_FLEET_CARRIEDORDERS_H
#define MIMOSASHUNT_FLEET_CARRIEDORDERS_H

#include "Workers/WorkerPort.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosashunt {

using WorkerOrder =
    std::variant<StartOrder, StopOrder, PaceOrder, PollOrder, RenewOrder>;

/// One order of the leader, to be carried to a worker.
struct CarriedOrder {
  uint64_t Id = 0; // Unique among the orders of the leader's VM.
  WorkerKey Worker;
  std::string Address;
  WorkerOrder Order;
};

/// Orders that the leader hands to a carrier together.
struct OrderBatch {
  uint64_t Term = 0;          // The leader's term of the log.
  std::string ResultsAddress; // Internal address that takes the results.
  std::vector<CarriedOrder> Orders;
};

/// The worker's response to a carried order.
struct CarriedResult {
  uint64_t Id = 0;
  PollResponse Response; // The lists are empty for anything but a poll.
};

/// Encodes a batch for a request body.
std::string encodeOrders(const OrderBatch &Batch);
std::string encodeResults(const std::vector<CarriedResult> &Results);

/// Return false, with an unspecified result, if \p Bytes hold no whole batch.
bool decodeOrders(const std::string &Bytes, OrderBatch &Result);
bool decodeResults(const std::string &Bytes,
                   std::vector<CarriedResult> &Result);

} // namespace mimosashunt

#endif
