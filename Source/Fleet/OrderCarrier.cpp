#include "Fleet/OrderCarrier.h"

#include "Fleet/OrderSender.h"

#include <utility>

namespace mimosashunt {

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Conflict = 409;
constexpr Duration ResultInterval = milliseconds(20);
/// Results that their leader has not taken in this many requests are dropped;
/// it has given up on them by then.
constexpr int MaxFailedRequests = 3;

} // namespace

OrderCarrier::OrderCarrier(EventLoop &Loop, WorkerPort &Workers,
                           std::string DataCentre, EventLogger LogEvent)
    : Loop(Loop), Workers(Workers), DataCentre(std::move(DataCentre)),
      LogEvent(std::move(LogEvent)), Client(Loop) {}

HttpResponse OrderCarrier::refuse(int Status, const char *Reason) {
  ++RefusedBatches;
  LogEvent("batch_refused", {{"why", Reason}});
  return {Status, {}, {}};
}

HttpResponse OrderCarrier::handleBatch(const std::string &Body,
                                       uint64_t CurrentTerm) {
  OrderBatch Batch;
  if (!decodeOrders(Body, Batch))
    return refuse(BadRequest, "unreadable");
  SocketAddress Results;
  if (SocketAddress::parse(Batch.ResultsAddress, Results))
    return refuse(BadRequest, "no_results_address");
  if (Batch.Term < CurrentTerm)
    return refuse(Conflict, "old_term");
  for (const CarriedOrder &Item : Batch.Orders)
    carry(Item, Batch.ResultsAddress);
  return {Ok, {}, DataCentre};
}

void OrderCarrier::carry(const CarriedOrder &Item,
                         const std::string &ResultsAddress) {
  sendCarriedOrder(
      Workers, Item,
      [this, Id = Item.Id, ResultsAddress](const PollResponse &Response) {
        addResult(ResultsAddress, {Id, Response});
      });
}

void OrderCarrier::addResult(const std::string &Address, CarriedResult Result) {
  Destination &To = Destinations[Address];
  if (To.Sender == nullptr) {
    SocketAddress Target;
    if (SocketAddress::parse(Address, Target))
      return;
    To.Sender = std::make_unique<BatchSender<CarriedResult>>(
        Loop, Client, Target, internal_path::Results, ResultInterval,
        encodeResults,
        [this, Address](std::vector<CarriedResult> Batch,
                        const HttpResult &Sent) {
          handleSent(Address, std::move(Batch), Sent);
        });
  }
  To.Sender->add(std::move(Result));
}

void OrderCarrier::handleSent(const std::string &Address,
                              std::vector<CarriedResult> Batch,
                              const HttpResult &Sent) {
  Destination &To = Destinations[Address];
  if (std::holds_alternative<HttpResponse>(Sent)) {
    To.FailedRequests = 0;
    return;
  }
  if (++To.FailedRequests > MaxFailedRequests) {
    LogEvent("results_dropped", {{"count", Batch.size()}, {"to", Address}});
    return;
  }
  // The leader ignores a result that it has already received.
  for (CarriedResult &Result : Batch)
    To.Sender->add(std::move(Result));
}

} // namespace mimosashunt
