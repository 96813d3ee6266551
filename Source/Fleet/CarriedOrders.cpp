#include "Fleet/CarriedOrders.h"

#include "Codec/Cbor.h"

#include <optional>
#include <string_view>

namespace mimosashunt {

namespace {

// Values are arrays in a fixed order: they are encoded and decoded thousands of
// times per second, and names would cost more than the values.

void writeTask(CborWriter &Out, const TaskId &Task) {
  Out.array(4);
  Out.text(Task.Job);
  Out.number(Task.Occurrence);
  Out.number(Task.Step);
  Out.number(Task.Index);
}

TaskId readTask(CborReader &In) {
  CborArrayReader Fields(In);
  TaskId Task;
  Task.Job = Fields.text();
  Task.Occurrence = Fields.number<uint32_t>();
  Task.Step = Fields.number<uint32_t>();
  Task.Index = Fields.number<uint32_t>();
  Fields.finish();
  return Task;
}

void writeOptional(CborWriter &Out, const std::optional<int64_t> &Value) {
  if (Value)
    Out.number(*Value);
  else
    Out.null();
}

std::optional<int64_t> readOptional(CborReader &In) {
  if (In.skipNull())
    return std::nullopt;
  return In.number<int64_t>();
}

struct OrderWriter {
  CborWriter &Out;

  void operator()(const StartOrder &Order) const {
    Out.array(8);
    Out.text("start");
    writeTask(Out, Order.Task);
    Out.number(Order.Attempt);
    Out.text(Order.Payload);
    Out.number(Order.LeaseEndMs);
    Out.number(Order.Token);
    Out.text(Order.Checkpoint);
    Out.text(Order.Ticket);
  }
  void operator()(const StopOrder &Order) const {
    Out.array(4);
    Out.text("stop");
    writeTask(Out, Order.Task);
    Out.number(Order.Attempt);
    Out.number(Order.Token);
  }
  void operator()(const PaceOrder &Order) const {
    Out.array(5);
    Out.text("pace");
    writeTask(Out, Order.Task);
    Out.number(Order.Attempt);
    Out.number(Order.Percent);
    Out.number(Order.Token);
  }
  void operator()(const PollOrder &Order) const {
    Out.array(5);
    Out.text("poll");
    writeOptional(Out, Order.LeaseEndMs);
    Out.number(Order.Token);
    Out.number(Order.AcknowledgedEnds);
    Out.number(Order.MaxWaitMs);
  }
  void operator()(const RenewOrder &Order) const {
    Out.array(3);
    Out.text("renew");
    Out.number(Order.LeaseEndMs);
    Out.number(Order.Token);
  }
};

// Braced initializers are evaluated in order.
WorkerOrder readOrder(CborReader &In) {
  CborArrayReader Fields(In);
  std::string_view Kind = Fields.next().text();
  WorkerOrder Order;
  if (Kind == "start")
    Order = StartOrder{readTask(Fields.next()),
                       Fields.number<uint32_t>(),
                       Fields.text(),
                       Fields.number<int64_t>(),
                       Fields.number<uint64_t>(),
                       Fields.text(),
                       Fields.text()};
  else if (Kind == "stop")
    Order = StopOrder{readTask(Fields.next()), Fields.number<uint32_t>(),
                      Fields.number<uint64_t>()};
  else if (Kind == "pace")
    Order = PaceOrder{readTask(Fields.next()), Fields.number<uint32_t>(),
                      Fields.number<uint32_t>(), Fields.number<uint64_t>()};
  else if (Kind == "renew")
    Order = RenewOrder{Fields.number<int64_t>(), Fields.number<uint64_t>()};
  else if (Kind == "poll")
    Order = PollOrder{readOptional(Fields.next()), Fields.number<uint64_t>(),
                      Fields.number<uint64_t>(), Fields.number<int64_t>()};
  else
    throw CborError("unknown kind of order");
  Fields.finish();
  return Order;
}

void writeTasks(CborWriter &Out, const std::set<TaskId> &Tasks) {
  Out.array(Tasks.size());
  for (const TaskId &Task : Tasks)
    writeTask(Out, Task);
}

void writeResult(CborWriter &Out, const CarriedResult &Result) {
  const PollResponse &Response = Result.Response;
  Out.array(9);
  Out.number(Result.Id);
  Out.number(static_cast<uint8_t>(Response.Outcome));
  writeOptional(Out, Response.ClockMs);
  Out.array(Response.Running.size());
  for (const RunningTask &Row : Response.Running) {
    Out.array(5);
    writeTask(Out, Row.Task);
    Out.number(Row.Attempt);
    Out.text(Row.Checkpoint);
    Out.number(Row.ProgressPercent);
    Out.number(Row.Gauge);
  }
  Out.array(Response.Finished.size());
  for (const FinishedRun &Row : Response.Finished) {
    Out.array(5);
    Out.number(Row.Number);
    writeTask(Out, Row.Task);
    Out.number(Row.Attempt);
    Out.number(static_cast<uint8_t>(Row.Kind));
    Out.text(Row.Checkpoint);
  }
  Out.number(Response.Incarnation);
  Out.boolean(Response.HasMoreEnds);
  writeTasks(Out, Response.UnreadableRuns);
  writeTasks(Out, Response.UnreadableEnds);
}

/// Reads an enumerator that is at most \p Last.
template <class Enum> Enum readEnum(CborReader &In, Enum Last) {
  auto Value = In.number<unsigned>();
  if (Value > static_cast<unsigned>(Last))
    throw CborError("enumerator out of range");
  return static_cast<Enum>(Value);
}

RunningTask readRunning(CborReader &In) {
  CborArrayReader Fields(In);
  RunningTask Row{readTask(Fields.next()), Fields.number<uint32_t>(),
                  Fields.text(), Fields.number<int32_t>(),
                  Fields.number<int64_t>()};
  Fields.finish();
  return Row;
}

FinishedRun readFinished(CborReader &In) {
  CborArrayReader Fields(In);
  FinishedRun Row{Fields.number<uint64_t>(), readTask(Fields.next()),
                  Fields.number<uint32_t>(),
                  readEnum(Fields.next(), EndKind::Alone), Fields.text()};
  Fields.finish();
  return Row;
}

std::set<TaskId> readTasks(CborReader &In) {
  std::set<TaskId> Tasks;
  for (size_t Left = In.array(); Left > 0; --Left)
    Tasks.insert(readTask(In));
  return Tasks;
}

CarriedResult readResult(CborReader &In) {
  CborArrayReader Fields(In);
  CarriedResult Result;
  Result.Id = Fields.number<uint64_t>();
  PollResponse &Response = Result.Response;
  Response.Outcome = readEnum(Fields.next(), OrderOutcome::Restarted);
  Response.ClockMs = readOptional(Fields.next());
  for (size_t Left = Fields.next().array(); Left > 0; --Left)
    Response.Running.push_back(readRunning(In));
  for (size_t Left = Fields.next().array(); Left > 0; --Left)
    Response.Finished.push_back(readFinished(In));
  Response.Incarnation = Fields.number<int64_t>();
  Response.HasMoreEnds = Fields.next().boolean();
  if (Fields.hasNext())
    Response.UnreadableRuns = readTasks(Fields.next());
  if (Fields.hasNext())
    Response.UnreadableEnds = readTasks(Fields.next());
  Fields.finish();
  return Result;
}

CarriedOrder readCarriedOrder(CborReader &In) {
  CborArrayReader Fields(In);
  CarriedOrder Item;
  Item.Id = Fields.number<uint64_t>();
  Item.Worker = {Fields.text(), Fields.number<int64_t>()};
  Item.Address = Fields.text();
  Item.Order = readOrder(Fields.next());
  Fields.finish();
  return Item;
}

/// Calls \p Read with a reader of \p Bytes. Returns false if it throws or
/// leaves bytes unread.
template <class Function>
bool readWhole(const std::string &Bytes, Function Read) {
  try {
    CborReader In(Bytes);
    Read(In);
    return In.isAtEnd();
  } catch (const CborError &) {
    return false;
  }
}

} // namespace

std::string encodeOrders(const OrderBatch &Batch) {
  std::string Bytes;
  CborWriter Out(Bytes);
  Out.array(3);
  Out.number(Batch.Term);
  Out.text(Batch.ResultsAddress);
  Out.array(Batch.Orders.size());
  for (const CarriedOrder &Item : Batch.Orders) {
    Out.array(5);
    Out.number(Item.Id);
    Out.text(Item.Worker.Id);
    Out.number(Item.Worker.Incarnation);
    Out.text(Item.Address);
    std::visit(OrderWriter{Out}, Item.Order);
  }
  return Bytes;
}

bool decodeOrders(const std::string &Bytes, OrderBatch &Result) {
  return readWhole(Bytes, [&Result](CborReader &In) {
    CborArrayReader Fields(In);
    Result.Term = Fields.number<uint64_t>();
    Result.ResultsAddress = Fields.text();
    for (size_t Left = Fields.next().array(); Left > 0; --Left)
      Result.Orders.push_back(readCarriedOrder(In));
    Fields.finish();
  });
}

std::string encodeResults(const std::vector<CarriedResult> &Results) {
  std::string Bytes;
  CborWriter Out(Bytes);
  Out.array(Results.size());
  for (const CarriedResult &Result : Results)
    writeResult(Out, Result);
  return Bytes;
}

bool decodeResults(const std::string &Bytes,
                   std::vector<CarriedResult> &Result) {
  return readWhole(Bytes, [&Result](CborReader &In) {
    for (size_t Left = In.array(); Left > 0; --Left)
      Result.push_back(readResult(In));
  });
}

} // namespace mimosashunt
