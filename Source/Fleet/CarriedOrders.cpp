#include "Fleet/CarriedOrders.h"

#include "Core/JsonFields.h"

#include <utility>

namespace mimosashunt {

namespace {

// Values are arrays in a fixed order: they are encoded and decoded thousands of
// times per second, and names would cost more than the values.

Json encodeTask(const TaskId &Task) {
  return Json::array({Task.Job, Task.Occurrence, Task.Step, Task.Index});
}

TaskId decodeTask(const Json &In) {
  return {In.at(0).get<std::string>(), In.at(1).get<uint32_t>(),
          In.at(2).get<uint32_t>(), In.at(3).get<uint32_t>()};
}

struct OrderEncoder {
  Json operator()(const StartOrder &Order) const {
    return Json::array({"start", encodeTask(Order.Task), Order.Attempt,
                        Order.Payload, Order.LeaseEndMs, Order.Token,
                        Order.Checkpoint, Order.Ticket});
  }
  Json operator()(const StopOrder &Order) const {
    return Json::array(
        {"stop", encodeTask(Order.Task), Order.Attempt, Order.Token});
  }
  Json operator()(const PaceOrder &Order) const {
    return Json::array({"pace", encodeTask(Order.Task), Order.Attempt,
                        Order.Percent, Order.Token});
  }
  Json operator()(const PollOrder &Order) const {
    Json LeaseEnd = Order.LeaseEndMs ? Json(*Order.LeaseEndMs) : Json();
    return Json::array({"poll", LeaseEnd, Order.Token, Order.AcknowledgedEnds,
                        Order.MaxWaitMs});
  }
  Json operator()(const RenewOrder &Order) const {
    return Json::array(
        {"renew", Order.LeaseEndMs, Order.Token, Order.AcknowledgedEnds});
  }
};

WorkerOrder decodeOrder(const Json &In) {
  const auto &Kind = In.at(0).get_ref<const std::string &>();
  if (Kind == "start")
    return StartOrder{decodeTask(In.at(1)),        In.at(2).get<uint32_t>(),
                      In.at(3).get<std::string>(), In.at(4).get<int64_t>(),
                      In.at(5).get<uint64_t>(),    In.at(6).get<std::string>(),
                      In.at(7).get<std::string>()};
  if (Kind == "stop")
    return StopOrder{decodeTask(In.at(1)), In.at(2).get<uint32_t>(),
                     In.at(3).get<uint64_t>()};
  if (Kind == "pace")
    return PaceOrder{decodeTask(In.at(1)), In.at(2).get<uint32_t>(),
                     In.at(3).get<uint32_t>(), In.at(4).get<uint64_t>()};
  if (Kind == "renew")
    return RenewOrder{In.at(1).get<int64_t>(), In.at(2).get<uint64_t>(),
                      In.at(3).get<uint64_t>()};
  if (Kind != "poll")
    throw std::invalid_argument("unknown kind of order");
  PollOrder Order;
  if (!In.at(1).is_null())
    Order.LeaseEndMs = In.at(1).get<int64_t>();
  Order.Token = In.at(2).get<uint64_t>();
  Order.AcknowledgedEnds = In.at(3).get<uint64_t>();
  Order.MaxWaitMs = In.at(4).get<int64_t>();
  return Order;
}

Json encodeResult(const CarriedResult &Result) {
  const PollResponse &Response = Result.Response;
  Json Running = Json::array();
  for (const RunningTask &Row : Response.Running)
    Running.push_back(
        Json::array({encodeTask(Row.Task), Row.Attempt, Row.Checkpoint,
                     Row.ProgressPercent, Row.Gauge}));
  Json Finished = Json::array();
  for (const FinishedRun &Row : Response.Finished)
    Finished.push_back(
        Json::array({Row.Number, encodeTask(Row.Task), Row.Attempt,
                     static_cast<int>(Row.Kind), Row.Checkpoint}));
  Json Clock = Response.ClockMs ? Json(*Response.ClockMs) : Json();
  return Json::array({Result.Id, static_cast<int>(Response.Outcome), Clock,
                      std::move(Running), std::move(Finished)});
}

/// Reads an enumerator that is at most \p Last.
template <class Enum> Enum decodeEnum(const Json &In, Enum Last) {
  auto Value = In.get<unsigned>();
  if (Value > static_cast<unsigned>(Last))
    throw std::invalid_argument("enumerator out of range");
  return static_cast<Enum>(Value);
}

CarriedResult decodeResult(const Json &In) {
  CarriedResult Result;
  Result.Id = In.at(0).get<uint64_t>();
  PollResponse &Response = Result.Response;
  Response.Outcome = decodeEnum(In.at(1), OrderOutcome::Unanswered);
  if (!In.at(2).is_null())
    Response.ClockMs = In.at(2).get<int64_t>();
  for (const Json &Row : In.at(3))
    Response.Running.push_back(
        {decodeTask(Row.at(0)), Row.at(1).get<uint32_t>(),
         Row.at(2).get<std::string>(), Row.at(3).get<int32_t>(),
         Row.at(4).get<int64_t>()});
  for (const Json &Row : In.at(4))
    Response.Finished.push_back(
        {Row.at(0).get<uint64_t>(), decodeTask(Row.at(1)),
         Row.at(2).get<uint32_t>(), decodeEnum(Row.at(3), EndKind::Alone),
         Row.at(4).get<std::string>()});
  return Result;
}

std::string toBytes(const Json &Value) {
  std::string Bytes;
  Json::to_cbor(Value, Bytes);
  return Bytes;
}

/// Calls \p Read with the decoded value. Returns false if there is none or \p
/// Read throws.
template <class Reader> bool readBytes(const std::string &Bytes, Reader Read) {
  Json In = Json::from_cbor(Bytes, true, /*allow_exceptions=*/false);
  if (!In.is_array())
    return false;
  try {
    Read(In);
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace

std::string encodeOrders(const OrderBatch &Batch) {
  Json Orders = Json::array();
  for (const CarriedOrder &Item : Batch.Orders)
    Orders.push_back(
        Json::array({Item.Id, Item.Worker.Id, Item.Worker.Incarnation,
                     Item.Address, std::visit(OrderEncoder(), Item.Order)}));
  return toBytes(
      Json::array({Batch.Term, Batch.ResultsAddress, std::move(Orders)}));
}

bool decodeOrders(const std::string &Bytes, OrderBatch &Result) {
  return readBytes(Bytes, [&Result](const Json &In) {
    Result.Term = In.at(0).get<uint64_t>();
    Result.ResultsAddress = In.at(1).get<std::string>();
    for (const Json &Item : In.at(2))
      Result.Orders.push_back(
          {Item.at(0).get<uint64_t>(),
           {Item.at(1).get<std::string>(), Item.at(2).get<int64_t>()},
           Item.at(3).get<std::string>(),
           decodeOrder(Item.at(4))});
  });
}

std::string encodeResults(const std::vector<CarriedResult> &Results) {
  Json Rows = Json::array();
  for (const CarriedResult &Result : Results)
    Rows.push_back(encodeResult(Result));
  return toBytes(Rows);
}

bool decodeResults(const std::string &Bytes,
                   std::vector<CarriedResult> &Result) {
  return readBytes(Bytes, [&Result](const Json &In) {
    for (const Json &Row : In)
      Result.push_back(decodeResult(Row));
  });
}

} // namespace mimosashunt
