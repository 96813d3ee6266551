#include "Fleet/CarriedWorkerPort.h"

#include "Core/Hash.h"
#include "Fleet/OrderSender.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mimosashunt {

namespace {

constexpr int Ok = 200;
constexpr Duration OrderInterval = milliseconds(20);
constexpr Duration TickInterval = milliseconds(100);
/// Longer than the carrier itself waits for a worker, with the way both ways.
constexpr Duration CarriedOrderTimeout = milliseconds(1400);

/// Ids begin with the term, so that a carrier's response to an order of this
/// VM's earlier process is not taken for that to another order.
constexpr int IdBitsPerTerm = 32;

WorkerPort::PollCallback withoutLists(WorkerPort::OrderCallback Done) {
  return [Done = std::move(Done)](const PollResponse &Response) {
    Done({Response.Outcome, Response.ClockMs, Response.Incarnation});
  };
}

} // namespace

CarriedWorkerPort::CarriedWorkerPort(EventLoop &Loop, WorkerPort &Direct,
                                     std::string ResultsAddress,
                                     EventLogger LogEvent)
    : Loop(Loop), Direct(Direct), ResultsAddress(std::move(ResultsAddress)),
      LogEvent(std::move(LogEvent)), Client(Loop) {
  TickTimer = Loop.timers().scheduleEvery(TickInterval, [this] { onTick(); });
}

CarriedWorkerPort::~CarriedWorkerPort() { Loop.timers().cancel(TickTimer); }

std::unique_ptr<CarriedWorkerPort::Carrier>
CarriedWorkerPort::makeCarrier(const std::string &Address) {
  SocketAddress Target;
  if (SocketAddress::parse(Address, Target))
    return nullptr;
  auto Result = std::make_unique<Carrier>();
  Result->Sender = std::make_unique<BatchSender<CarriedOrder>>(
      Loop, Client, Target, internal_path::Orders, OrderInterval,
      [this](const std::vector<CarriedOrder> &Orders) {
        return encodeOrders({Term, ResultsAddress, Orders});
      },
      [this, Address](const std::vector<CarriedOrder> &Batch,
                      const HttpResult &Sent) {
        handleBatchSent(Address, Batch, Sent);
      });
  return Result;
}

void CarriedWorkerPort::setCarriers(
    const std::vector<CarrierAddress> &Addresses, uint64_t NewTerm) {
  Term = NewTerm;
  LastId = std::max(LastId, NewTerm << IdBitsPerTerm);
  std::map<std::string, bool> Wanted;
  for (const CarrierAddress &Item : Addresses)
    Wanted[Item.Internal] = Item.IsKnownAlive;
  std::vector<std::string> Removed;
  for (const auto &[Address, Entry] : Carriers)
    if (!Wanted.count(Address))
      Removed.push_back(Address);
  for (const std::string &Address : Removed) {
    abandonCarrier(Address, "removed");
    Carriers.erase(Address);
  }
  for (const auto &[Address, IsKnownAlive] : Wanted) {
    if (Carriers.count(Address))
      continue;
    std::unique_ptr<Carrier> Added = makeCarrier(Address);
    if (Added == nullptr)
      continue;
    Added->IsUsable = IsKnownAlive;
    Carriers[Address] = std::move(Added);
  }
}

size_t CarriedWorkerPort::usableCarriers() const {
  return static_cast<size_t>(
      std::count_if(Carriers.begin(), Carriers.end(),
                    [](const auto &Entry) { return Entry.second->IsUsable; }));
}

const std::string *
CarriedWorkerPort::selectCarrier(const WorkerEntry &To) const {
  const std::string *Best = nullptr;
  std::pair<bool, uint64_t> BestRank;
  for (const auto &[Address, Candidate] : Carriers) {
    if (!Candidate->IsUsable)
      continue;
    std::pair<bool, uint64_t> Rank = {
        !To.DataCentre.empty() && Candidate->DataCentre == To.DataCentre,
        hashBytes(Address + To.Key.Id)};
    if (Best != nullptr && Rank <= BestRank)
      continue;
    Best = &Address;
    BestRank = Rank;
  }
  return Best;
}

void CarriedWorkerPort::carry(const std::string &Address, const WorkerEntry &To,
                              WorkerOrder Order, Duration Timeout,
                              PollCallback Done) {
  uint64_t Id = ++LastId;
  ++CarriedOrders;
  Pending[Id] = {Address, Loop.timers().now() + Timeout, std::move(Done)};
  Carriers.at(Address)->Sender->add({Id, To.Key, To.Address, std::move(Order)});
}

void CarriedWorkerPort::handleBatchSent(const std::string &Address,
                                        const std::vector<CarriedOrder> &Batch,
                                        const HttpResult &Sent) {
  const auto *Response = std::get_if<HttpResponse>(&Sent);
  if (Response != nullptr && Response->Status == Ok) {
    Carrier &Entry = *Carriers.at(Address);
    Entry.DataCentre = Response->Body;
    if (!std::exchange(Entry.IsUsable, true))
      LogEvent("carrier_usable",
               {{"carrier", Address}, {"data_centre", Entry.DataCentre}});
    return;
  }
  // A batch that was refused or never sent has not been carried out. The orders
  // of a lost one end with those that the carrier already had.
  if (!std::holds_alternative<HttpLost>(Sent))
    sendDirect(Batch);
  abandonCarrier(Address, "batch_not_taken");
}

void CarriedWorkerPort::abandonCarrier(const std::string &Address,
                                       const char *Reason) {
  Carrier &Entry = *Carriers.at(Address);
  if (std::exchange(Entry.IsUsable, false))
    LogEvent("carrier_lost", {{"carrier", Address}, {"why", Reason}});
  sendDirect(Entry.Sender->takePending());
  std::vector<uint64_t> Sent;
  for (const auto &[Id, Order] : Pending)
    if (Order.Carrier == Address)
      Sent.push_back(Id);
  for (uint64_t Id : Sent)
    finish(Id, {OrderOutcome::Unanswered, std::nullopt, {}, {}});
}

void CarriedWorkerPort::sendDirect(const std::vector<CarriedOrder> &Orders) {
  for (const CarriedOrder &Item : Orders) {
    auto Found = Pending.find(Item.Id);
    if (Found == Pending.end())
      continue;
    PollCallback Done = std::move(Found->second.Done);
    Pending.erase(Found);
    sendCarriedOrder(Direct, Item, Done);
  }
}

void CarriedWorkerPort::finish(uint64_t Id, const PollResponse &Response) {
  auto Found = Pending.find(Id);
  if (Found == Pending.end())
    return;
  PollCallback Done = std::move(Found->second.Done);
  Pending.erase(Found);
  Done(Response);
}

bool CarriedWorkerPort::handleResults(const std::string &Body) {
  std::vector<CarriedResult> Results;
  if (!decodeResults(Body, Results)) {
    LogEvent("results_refused", {{"bytes", Body.size()}});
    return false;
  }
  for (const CarriedResult &Result : Results)
    finish(Result.Id, Result.Response);
  return true;
}

void CarriedWorkerPort::onTick() {
  std::set<std::string> Late;
  for (const auto &[Id, Order] : Pending)
    if (Order.Deadline <= Loop.timers().now())
      Late.insert(Order.Carrier);
  for (const std::string &Address : Late)
    abandonCarrier(Address, "no_result");
  for (const auto &[Address, Entry] : Carriers)
    if (!Entry->IsUsable)
      Entry->Sender->probe();
}

void CarriedWorkerPort::startRun(const WorkerEntry &To, const StartOrder &Order,
                                 OrderCallback Done) {
  const std::string *Carrier = selectCarrier(To);
  if (Carrier == nullptr)
    return Direct.startRun(To, Order, std::move(Done));
  carry(*Carrier, To, Order, CarriedOrderTimeout,
        withoutLists(std::move(Done)));
}

void CarriedWorkerPort::stopRun(const WorkerEntry &To, const StopOrder &Order,
                                OrderCallback Done) {
  const std::string *Carrier = selectCarrier(To);
  if (Carrier == nullptr)
    return Direct.stopRun(To, Order, std::move(Done));
  carry(*Carrier, To, Order, CarriedOrderTimeout,
        withoutLists(std::move(Done)));
}

void CarriedWorkerPort::setPace(const WorkerEntry &To, const PaceOrder &Order,
                                OrderCallback Done) {
  const std::string *Carrier = selectCarrier(To);
  if (Carrier == nullptr)
    return Direct.setPace(To, Order, std::move(Done));
  carry(*Carrier, To, Order, CarriedOrderTimeout,
        withoutLists(std::move(Done)));
}

void CarriedWorkerPort::pollWorker(const WorkerEntry &To,
                                   const PollOrder &Order, PollCallback Done) {
  const std::string *Carrier = selectCarrier(To);
  if (Carrier == nullptr)
    return Direct.pollWorker(To, Order, std::move(Done));
  carry(*Carrier, To, Order,
        milliseconds(Order.MaxWaitMs) + CarriedOrderTimeout, std::move(Done));
}

void CarriedWorkerPort::renewLease(const WorkerEntry &To,
                                   const RenewOrder &Order,
                                   OrderCallback Done) {
  const std::string *Carrier = selectCarrier(To);
  if (Carrier == nullptr)
    return Direct.renewLease(To, Order, std::move(Done));
  carry(*Carrier, To, Order, CarriedOrderTimeout,
        withoutLists(std::move(Done)));
}

void CarriedWorkerPort::requestAdvice(const TaskId &Step,
                                      const std::vector<std::string> &Workers,
                                      Duration Timeout, AdviceCallback Done) {
  Direct.requestAdvice(Step, Workers, Timeout, std::move(Done));
}

} // namespace mimosashunt
