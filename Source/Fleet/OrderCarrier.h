// The part of a control VM that carries the leader's orders to workers and
// their responses back, in batches. It decides nothing: workers themselves
// guard against orders that arrive late or twice by fencing token, attempt and
// lease, so a carrier may freeze, fail or be replaced at any moment.

#ifndef MIMOSASHUNT_FLEET_ORDERCARRIER_H
#define MIMOSASHUNT_FLEET_ORDERCARRIER_H

#include "Fleet/BatchSender.h"
#include "Fleet/CarriedOrders.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mimosashunt {

class OrderCarrier {
public:
  using EventLogger = std::function<void(const char *Kind, Json Fields)>;

  /// \p DataCentre is this VM's own, which the leader prefers for workers
  /// there.
  OrderCarrier(EventLoop &Loop, WorkerPort &Workers, std::string DataCentre,
               EventLogger LogEvent);

  /// Handles a request body of the leader. A batch that cannot be read or whose
  /// term is below \p CurrentTerm is refused whole: nothing of it is sent.
  HttpResponse handleBatch(const std::string &Body, uint64_t CurrentTerm);

  uint64_t refusedBatches() const { return RefusedBatches; }

private:
  /// Results for one leader.
  struct Destination {
    std::unique_ptr<BatchSender<CarriedResult>> Sender;
    int FailedRequests = 0; // In a row.
  };

  void carry(const CarriedOrder &Item, const std::string &ResultsAddress);
  void addResult(const std::string &Address, CarriedResult Result);
  void handleSent(const std::string &Address, std::vector<CarriedResult> Batch,
                  const HttpResult &Result);
  HttpResponse refuse(int Status, const char *Reason);

  EventLoop &Loop;
  WorkerPort &Workers;
  const std::string DataCentre;
  const EventLogger LogEvent;
  HttpClient Client;
  std::map<std::string, Destination> Destinations; // By results address.
  uint64_t RefusedBatches = 0;
};

} // namespace mimosashunt

#endif
