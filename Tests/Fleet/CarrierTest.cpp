// Tests of orders that other control VMs carry: passing them on, refusing them,
// and carriers that fail.

#include "Fleet/CarriedWorkerPort.h"
#include "Fleet/OrderCarrier.h"
#include "Links/HttpServer.h"
#include "Support/ListeningPort.h"
#include "Support/TestLoop.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

/// Records orders and answers each with a fixed response, or not at all.
class RecordingWorkers : public WorkerPort {
public:
  explicit RecordingWorkers(EventLoop &Loop) : Loop(Loop) {}

  void startRun(const WorkerEntry &To, const StartOrder &Order,
                OrderCallback Done) override {
    Starts.emplace_back(To, Order);
    answer([Done, this] { Done({Response.Outcome, Response.ClockMs}); });
  }
  void stopRun(const WorkerEntry &, const StopOrder &Order,
               OrderCallback Done) override {
    Stops.push_back(Order);
    answer([Done, this] { Done({Response.Outcome, Response.ClockMs}); });
  }
  void setPace(const WorkerEntry &, const PaceOrder &Order,
               OrderCallback Done) override {
    Paces.push_back(Order);
    answer([Done, this] { Done({Response.Outcome, Response.ClockMs}); });
  }
  void pollWorker(const WorkerEntry &, const PollOrder &Order,
                  PollCallback Done) override {
    Polls.push_back(Order);
    answer([Done, this] { Done(Response); });
  }
  void renewLease(const WorkerEntry &, const RenewOrder &Order,
                  OrderCallback Done) override {
    Renewals.push_back(Order);
    answer([Done, this] { Done({Response.Outcome, Response.ClockMs}); });
  }
  void requestAdvice(const TaskId &, const std::vector<std::string> &, Duration,
                     AdviceCallback) override {}

  PollResponse Response{OrderOutcome::Accepted, 1234, {}, {}};
  bool IsSilent = false;
  std::vector<std::pair<WorkerEntry, StartOrder>> Starts;
  std::vector<StopOrder> Stops;
  std::vector<PaceOrder> Paces;
  std::vector<PollOrder> Polls;
  std::vector<RenewOrder> Renewals;

private:
  void answer(std::function<void()> Respond) {
    if (!IsSilent)
      Loop.defer(std::move(Respond));
  }

  EventLoop &Loop;
};

/// A leader with its own way to the workers and one carrier.
struct CarrierHarness {
  CarrierHarness() {
    EXPECT_FALSE(LeaderServer.listen(LeaderAddress));
    EXPECT_FALSE(CarrierServer.listen(CarrierAddress));
  }

  void runUntil(const std::function<bool()> &Condition) {
    // Ends a test that would hang; the tests assert the state, not the time.
    Instant Deadline = Loop.timers().now() + seconds(20);
    while (!Condition() && Loop.timers().now() < Deadline)
      Loop.runOnce();
    EXPECT_TRUE(Condition());
  }

  void useCarrier() {
    Leader.setCarriers({{CarrierAddress.text(), false}}, LeaderTerm);
    runUntil([this] { return Leader.usableCarriers() == 1; });
  }

  OrderOutcome start(const StartOrder &Order) {
    std::optional<OrderOutcome> Outcome;
    Leader.startRun(Worker, Order, [&](const OrderResponse &Response) {
      Outcome = Response.Outcome;
    });
    runUntil([&] { return Outcome.has_value(); });
    return Outcome.value_or(OrderOutcome::Invalid);
  }

  size_t countEvents(const std::string &Kind) const {
    return static_cast<size_t>(std::count(Events.begin(), Events.end(), Kind));
  }

  TestLoop Lasting; // Destroyed last.
  EventLoop &Loop = Lasting.Loop;
  SocketAddress LeaderAddress = freeAddress();
  SocketAddress CarrierAddress = freeAddress();
  RecordingWorkers DirectWorkers{Loop};
  RecordingWorkers CarriedTo{Loop};
  std::vector<std::string> Events;
  uint64_t LeaderTerm = 4;
  uint64_t CarrierTerm = 4;
  CarriedWorkerPort Leader{
      Loop, DirectWorkers, LeaderAddress.text(),
      [this](const char *Kind, const Json &) { Events.emplace_back(Kind); }};
  OrderCarrier Carrier{
      Loop, CarriedTo, "dc-1",
      [this](const char *Kind, const Json &) { Events.emplace_back(Kind); }};
  HttpServer LeaderServer{Loop, [this](const auto &Exchange) {
                            bool IsRead =
                                Leader.handleResults(Exchange->request().Body);
                            Exchange->respond({IsRead ? 200 : 400, {}, {}});
                          }};
  HttpServer CarrierServer{Loop, [this](const auto &Exchange) {
                             Exchange->respond(Carrier.handleBatch(
                                 Exchange->request().Body, CarrierTerm));
                           }};
  WorkerEntry Worker{{"w-1", 77}, "127.0.0.1:9", "p", "vm", "dc-1", {}, {}};
  StartOrder Order{{"job", 1, 2, 3}, 4, "payload", 5000, 6, "saved", "ticket"};
};

TEST(Carrier, OrdersReachTheWorkerUnchanged) {
  CarrierHarness Env;
  Env.useCarrier();
  EXPECT_EQ(Env.start(Env.Order), OrderOutcome::Accepted);
  int Answers = 0;
  auto Count = [&](const OrderResponse &) { ++Answers; };
  Env.Leader.stopRun(Env.Worker, {Env.Order.Task, 4, 6}, Count);
  Env.Leader.setPace(Env.Worker, {Env.Order.Task, 4, 55, 6}, Count);
  Env.Leader.renewLease(Env.Worker, {7000, 6}, Count);
  Env.runUntil([&] { return Answers == 3; });
  ASSERT_EQ(Env.CarriedTo.Renewals.size(), 1U);
  EXPECT_EQ(Env.CarriedTo.Renewals.front().LeaseEndMs, 7000);
  EXPECT_EQ(Env.CarriedTo.Renewals.front().Token, 6U);
  EXPECT_TRUE(Env.DirectWorkers.Starts.empty());
  ASSERT_EQ(Env.CarriedTo.Starts.size(), 1U);
  const auto &[To, Start] = Env.CarriedTo.Starts.front();
  EXPECT_EQ(To.Key, Env.Worker.Key);
  EXPECT_EQ(To.Address, Env.Worker.Address);
  EXPECT_EQ(Start.Task, Env.Order.Task);
  EXPECT_EQ(Start.Attempt, 4U);
  EXPECT_EQ(Start.Payload, "payload");
  EXPECT_EQ(Start.LeaseEndMs, 5000);
  EXPECT_EQ(Start.Token, 6U);
  EXPECT_EQ(Start.Checkpoint, "saved");
  EXPECT_EQ(Start.Ticket, "ticket");
  ASSERT_EQ(Env.CarriedTo.Stops.size(), 1U);
  EXPECT_EQ(Env.CarriedTo.Stops.front().Attempt, 4U);
  ASSERT_EQ(Env.CarriedTo.Paces.size(), 1U);
  EXPECT_EQ(Env.CarriedTo.Paces.front().Percent, 55U);
}

TEST(Carrier, AWorkersListsReachTheLeaderUnchanged) {
  CarrierHarness Env;
  Env.CarriedTo.Response.Running = {{Env.Order.Task, 4, "saved", 41, 250}};
  Env.CarriedTo.Response.Finished = {
      {58, Env.Order.Task, 3, EndKind::Alone, "kept"}};
  Env.useCarrier();
  std::optional<PollResponse> Received;
  Env.Leader.pollWorker(
      Env.Worker, {7000, 6, 57, 1},
      [&](const PollResponse &Response) { Received = Response; });
  Env.runUntil([&] { return Received.has_value(); });
  ASSERT_EQ(Env.CarriedTo.Polls.size(), 1U);
  EXPECT_EQ(Env.CarriedTo.Polls.front().LeaseEndMs, 7000);
  EXPECT_EQ(Env.CarriedTo.Polls.front().AcknowledgedEnds, 57U);
  EXPECT_EQ(Received->Outcome, OrderOutcome::Accepted);
  EXPECT_EQ(Received->ClockMs, 1234);
  ASSERT_EQ(Received->Running.size(), 1U);
  EXPECT_EQ(Received->Running.front().Task, Env.Order.Task);
  EXPECT_EQ(Received->Running.front().Checkpoint, "saved");
  EXPECT_EQ(Received->Running.front().ProgressPercent, 41);
  EXPECT_EQ(Received->Running.front().Gauge, 250);
  ASSERT_EQ(Received->Finished.size(), 1U);
  EXPECT_EQ(Received->Finished.front().Number, 58U);
  EXPECT_EQ(Received->Finished.front().Kind, EndKind::Alone);
}

TEST(Carrier, WithoutAUsableCarrierOrdersAreDirect) {
  CarrierHarness Env;
  Env.Leader.setCarriers({{freeAddress().text(), false}}, Env.LeaderTerm);
  EXPECT_EQ(Env.start(Env.Order), OrderOutcome::Accepted);
  EXPECT_EQ(Env.DirectWorkers.Starts.size(), 1U);
  EXPECT_EQ(Env.Leader.carriedOrders(), 0U);
}

TEST(Carrier, ACarrierThatIsKnownToBeAliveIsUsedAtOnce) {
  CarrierHarness Env;
  Env.Leader.setCarriers({{Env.CarrierAddress.text(), true}}, Env.LeaderTerm);
  EXPECT_EQ(Env.start(Env.Order), OrderOutcome::Accepted);
  EXPECT_EQ(Env.CarriedTo.Starts.size(), 1U);
  EXPECT_TRUE(Env.DirectWorkers.Starts.empty());
}

TEST(Carrier, ACarrierWronglyTakenForAliveLosesNoOrder) {
  CarrierHarness Env;
  Env.Leader.setCarriers({{freeAddress().text(), true}}, Env.LeaderTerm);
  EXPECT_EQ(Env.start(Env.Order), OrderOutcome::Accepted);
  EXPECT_EQ(Env.DirectWorkers.Starts.size(), 1U);
  EXPECT_EQ(Env.Leader.usableCarriers(), 0U);
}

TEST(Carrier, ABatchOfAnOldTermIsRefusedAndItsOrdersGoDirect) {
  CarrierHarness Env;
  Env.useCarrier();
  Env.CarrierTerm = 5;
  EXPECT_EQ(Env.start(Env.Order), OrderOutcome::Accepted);
  EXPECT_TRUE(Env.CarriedTo.Starts.empty());
  EXPECT_EQ(Env.DirectWorkers.Starts.size(), 1U);
  EXPECT_GE(Env.Carrier.refusedBatches(), 1U);
  EXPECT_EQ(Env.Leader.usableCarriers(), 0U);
  EXPECT_GE(Env.countEvents("batch_refused"), 1U);
}

TEST(Carrier, AnOrderWithoutAResultIsUnansweredAndNotSentAgain) {
  CarrierHarness Env;
  Env.useCarrier();
  Env.CarriedTo.IsSilent = true;
  EXPECT_EQ(Env.start(Env.Order), OrderOutcome::Unanswered);
  EXPECT_EQ(Env.CarriedTo.Starts.size(), 1U);
  EXPECT_TRUE(Env.DirectWorkers.Starts.empty());
  EXPECT_EQ(Env.countEvents("carrier_lost"), 1U);
  // A result that comes after all is ignored.
  EXPECT_TRUE(Env.Leader.handleResults(
      encodeResults({{1, {OrderOutcome::Accepted, std::nullopt, {}, {}}}})));
}

// Guards against a response to an order of this VM's earlier process that is
// taken for the response to another order: a refusal would free a run that has
// started.
TEST(Carrier, ResultsOfAnEarlierProcessesOrdersAreIgnored) {
  CarrierHarness Env;
  Env.useCarrier();
  Env.CarrierTerm = 3;
  CarriedWorkerPort Earlier(Env.Loop, Env.DirectWorkers,
                            Env.LeaderAddress.text(),
                            [](const char *, const Json &) {});
  Earlier.setCarriers({{Env.CarrierAddress.text(), true}}, 3);
  bool IsFirstAnswered = false;
  Env.CarriedTo.IsSilent = true;
  Env.Leader.startRun(Env.Worker, Env.Order,
                      [&](const OrderResponse &) { IsFirstAnswered = true; });
  Env.runUntil([&] { return Env.CarriedTo.Starts.size() == 1; });
  Env.CarriedTo.IsSilent = false;
  Env.CarriedTo.Response.Outcome = OrderOutcome::NoCapacity;
  Earlier.startRun(Env.Worker, Env.Order, [](const OrderResponse &) {});
  Env.runUntil([&] { return Env.CarriedTo.Starts.size() == 2; });
  EXPECT_EQ(Env.start(Env.Order), OrderOutcome::NoCapacity);
  EXPECT_FALSE(IsFirstAnswered);
}

TEST(Carrier, ARemovedCarriersOrdersEndAsUnanswered) {
  CarrierHarness Env;
  Env.useCarrier();
  Env.CarriedTo.IsSilent = true;
  std::optional<OrderOutcome> Outcome;
  Env.Leader.startRun(
      Env.Worker, Env.Order,
      [&](const OrderResponse &Response) { Outcome = Response.Outcome; });
  Env.runUntil([&] { return !Env.CarriedTo.Starts.empty(); });
  Env.Leader.setCarriers({}, 0);
  EXPECT_EQ(Outcome, OrderOutcome::Unanswered);
}

// Guards against orders that are carried out and whose results go nowhere.
TEST(Carrier, ABatchWithoutAnAddressForItsResultsIsRefused) {
  CarrierHarness Env;
  for (const char *Address : {"127.0.0.1:99999", "host:80", ""}) {
    OrderBatch Batch{Env.LeaderTerm, Address, {}};
    Batch.Orders.push_back({1, Env.Worker.Key, Env.Worker.Address, Env.Order});
    EXPECT_EQ(
        Env.Carrier.handleBatch(encodeOrders(Batch), Env.CarrierTerm).Status,
        400)
        << Address;
  }
  EXPECT_TRUE(Env.CarriedTo.Starts.empty());
}

TEST(Carrier, MalformedBatchesAreRefusedWhole) {
  CarrierHarness Env;
  std::string Orders = encodeOrders(
      {4, Env.LeaderAddress.text(), {{1, Env.Worker.Key, "a:1", Env.Order}}});
  std::string Results = encodeResults(
      {{1, {OrderOutcome::Accepted, 5, {{Env.Order.Task, 1, "", 2, 3}}, {}}}});
  uint64_t Refused = 0;
  for (size_t Size = 0; Size < Orders.size(); ++Size) {
    EXPECT_EQ(Env.Carrier.handleBatch(Orders.substr(0, Size), 4).Status, 400);
    ++Refused;
  }
  for (size_t Size = 0; Size < Results.size(); ++Size)
    EXPECT_FALSE(Env.Leader.handleResults(Results.substr(0, Size)));
  EXPECT_EQ(Env.Carrier.refusedBatches(), Refused);
  EXPECT_TRUE(Env.CarriedTo.Starts.empty());
}

} // namespace
