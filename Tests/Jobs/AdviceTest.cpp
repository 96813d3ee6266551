// Tests of queues whose steps need tickets of the advice service: work runs
// whatever times the queue's policy states, and while the service is away.

#include "Support/ForwardingPort.h"
#include "Support/SchedulerHarness.h"

#include <gtest/gtest.h>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

/// An advice service that handles one call at a time, in turn, before the
/// virtual workers, whose starts it checks for tickets.
class AdvisedWorkers : public ForwardingPort {
public:
  AdvisedWorkers(TimerService &Timers, WorkerPort &Inner, AdvicePolicy Actual)
      : ForwardingPort(Inner), Actual(Actual), Timers(Timers) {}

  void startRun(const WorkerEntry &To, const StartOrder &Order,
                OrderCallback Done) override {
    auto Ticket = Tickets.find({Order.Task.Job, Order.Task.Step, To.Key.Id});
    bool IsValid = Ticket != Tickets.end() &&
                   Order.Ticket == Ticket->second.first &&
                   Timers.now() < Ticket->second.second;
    if (IsValid || Order.Task.Job.rfind("free", 0) == 0)
      return Inner.startRun(To, Order, std::move(Done));
    ++RejectedStarts;
    Timers.scheduleAt(Timers.now() + milliseconds(1), [Done] {
      OrderResponse Response;
      Response.Outcome = OrderOutcome::NoTicket;
      Done(Response);
    });
  }
  void requestAdvice(const TaskId &Step,
                     const std::vector<std::string> &Workers, Duration Timeout,
                     AdviceCallback Done) override {
    ++Calls;
    EXPECT_LE(Workers.size(), 100U);
    if (IsAway)
      return respondLater(Timers.now() + milliseconds(1), Done, {});
    Instant From = std::max(BusyUntil, Timers.now());
    BusyUntil =
        From + milliseconds(Actual.DecisionMs + Actual.EachMs * Workers.size());
    if (BusyUntil > Timers.now() + Timeout)
      return respondLater(Timers.now() + Timeout, Done, {});
    AdviceResponse Response;
    Response.IsAvailable = true;
    Response.ValidityMs = Actual.ValidMs;
    for (const std::string &Worker : Workers)
      if (!IsGranted || IsGranted(Worker)) {
        std::string Text = Step.Job + "-" + std::to_string(++LastTicket);
        Tickets[{Step.Job, Step.Step, Worker}] = {
            Text, BusyUntil + milliseconds(Actual.ValidMs)};
        Response.Tickets[Worker] = Text;
      }
    respondLater(BusyUntil, Done, Response);
  }

  AdvicePolicy Actual;
  std::function<bool(const std::string &)> IsGranted;
  bool IsAway = false;
  int Calls = 0;
  int RejectedStarts = 0;

private:
  void respondLater(Instant At, const AdviceCallback &Done,
                    const AdviceResponse &Response) {
    Timers.scheduleAt(At, [Done, Response] { Done(Response); });
  }

  TimerService &Timers;
  Instant BusyUntil;
  int LastTicket = 0;
  std::map<std::tuple<JobId, uint32_t, std::string>,
           std::pair<std::string, Instant>>
      Tickets;
};

struct AdvisedPool {
  AdvisedPool(size_t Workers, AdvicePolicy Stated)
      : Port(Harness.Timers, Harness.Workers, Stated) {
    Harness.LeaderPort = &Port;
    Harness.addPool("p", Workers, 32);
    Harness.addPool("q", 2, 32);
    Harness.Configuration.Queues[0].Advice = Stated;
    Harness.beginLeadership();
    Harness.advanceTime(milliseconds(300));
  }

  void submit(uint32_t Jobs, uint32_t Steps = 1, uint32_t Width = 1) {
    for (uint32_t I = 0; I < Jobs; ++I)
      Harness.submitJob("job" + std::to_string(I), "p",
                        makeChainSpec(Steps, Width, 500, 500));
  }
  size_t completed() const {
    return Harness.countJobsInState(JobState::Completed);
  }

  SchedulerHarness Harness;
  AdvisedWorkers Port;
};

// Guards against a fixed time limit for an answer that takes as long as its
// queue's policy says: the answer was thrown away and asked for again, for ever
// (review/9).
TEST(Advice, AnAnswerThatTakesLongByItsPolicyIsWaitedFor) {
  AdvisedPool Pool(14, {2000, 100, 10000});
  Pool.submit(2);
  Pool.Harness.advanceTime(seconds(14));
  EXPECT_EQ(Pool.completed(), 2U);
  EXPECT_LE(Pool.Port.Calls, 3);
}

TEST(Advice, WorkRunsWhateverTimesThePolicyStates) {
  for (int64_t DecisionMs : {0, 20, 300, 5000, 30000})
    for (int64_t EachMs : {0, 1, 10, 200, 5000})
      for (int64_t ValidMs : {200, 2500, 60000}) {
        AdvisedPool Pool(14, {DecisionMs, EachMs, ValidMs});
        Pool.submit(2, 2);
        // Two calls a step with all workers named, and the work.
        int64_t Ms = 4 * (DecisionMs + 14 * EachMs) + 3000;
        Pool.Harness.advanceTime(milliseconds(2 * Ms));
        EXPECT_EQ(Pool.completed(), 2U)
            << DecisionMs << " " << EachMs << " " << ValidMs;
        EXPECT_EQ(Pool.Port.RejectedStarts, 0);
      }
}

// Guards against calls that wait for each other in the service until the time
// limit of each has passed.
TEST(Advice, ManyJobsAtOnceAreAskedAboutOneAfterTheOther) {
  AdvisedPool Pool(14, {300, 10, 10000});
  Pool.submit(30);
  Pool.Harness.advanceTime(seconds(14));
  EXPECT_EQ(Pool.completed(), 30U);
  EXPECT_LE(Pool.Port.Calls, 40);
}

// Guards against tickets that run out while others are asked for.
TEST(Advice, TicketsThatAreValidForShortAreUsedAtOnce) {
  AdvisedPool Pool(14, {5000, 200, 2500});
  Pool.submit(2, 2);
  Pool.Harness.advanceTime(seconds(60));
  EXPECT_EQ(Pool.completed(), 2U);
}

TEST(Advice, WorkersThatAreNotGrantedAreAskedAboutOnce) {
  AdvisedPool Pool(60, {50, 10, 30000});
  Pool.Port.IsGranted = [](const std::string &Worker) {
    return Worker == "p-47";
  };
  Pool.submit(3, 1, 8);
  Pool.Harness.advanceTime(seconds(20));
  EXPECT_EQ(Pool.completed(), 3U);
  EXPECT_LE(Pool.Port.Calls, 60);
}

// Guards against a service that is away and costs other queues, or whose queue
// stays without work once it is back.
TEST(Advice, AServiceThatIsAwayIsAskedSeldomAndCostsItsQueueAlone) {
  AdvisedPool Pool(14, {300, 10, 10000});
  Pool.Port.IsAway = true;
  Pool.submit(5);
  for (int I = 0; I < 5; ++I)
    Pool.Harness.submitJob("free" + std::to_string(I), "q",
                           makeChainSpec(1, 2, 500, 500));
  Pool.Harness.advanceTime(seconds(20));
  EXPECT_EQ(Pool.completed(), 5U);
  EXPECT_LE(Pool.Port.Calls, 15);
  Pool.Port.IsAway = false;
  Pool.Harness.advanceTime(seconds(6));
  EXPECT_EQ(Pool.completed(), 10U);
}

// Guards against a service that is slower than its policy says and is given up
// each time just before it answers.
TEST(Advice, AServiceThatIsSlowerThanItsPolicyIsStillHeard) {
  AdvisedPool Pool(14, {100, 10, 10000});
  Pool.Port.Actual = {3000, 10, 10000};
  Pool.submit(3);
  Pool.Harness.advanceTime(seconds(40));
  EXPECT_EQ(Pool.completed(), 3U);
}

TEST(Advice, AnEndedJobIsNotAskedAboutAnyMore) {
  AdvisedPool Pool(14, {1000, 10, 10000});
  Pool.submit(10);
  Pool.Harness.advanceTime(milliseconds(200));
  for (int I = 0; I < 9; ++I)
    Pool.Harness.cancelJob("job" + std::to_string(I));
  Pool.Harness.advanceTime(seconds(5));
  EXPECT_EQ(Pool.completed(), 1U);
  EXPECT_LE(Pool.Port.Calls, 2);
}

// Guards against a time that grows with the tasks of a step that a few workers
// could hold.
TEST(Advice, NoMoreWorkersAreNamedThanTheStepNeeds) {
  AdvisedPool Pool(60, {100, 200, 10000});
  Pool.submit(1, 1, 40);
  Pool.Harness.advanceTime(seconds(3));
  EXPECT_EQ(Pool.completed(), 1U);
  EXPECT_EQ(Pool.Port.Calls, 1);
}

AdviceNeed makeNeed(const JobId &Job, int64_t Priority, Instant Objective) {
  AdviceNeed Need;
  Need.Step = {Job, 0, 0, 0};
  Need.Queue = "q";
  Need.Policy = {100, 50, 1000};
  Need.Workers = {"a", "b", "c", "d", "e", "f", "g", "h"};
  Need.WorkersNeeded = 1;
  Need.Priority = Priority;
  Need.Objective = Objective;
  return Need;
}

TEST(AdviceQueue, AsksForTheMostUrgentStepFirst) {
  AdviceQueue Queue((AdviceOptions()));
  Instant Now(seconds(10));
  Queue.add(makeNeed("late", 0, Now + seconds(9)));
  Queue.add(makeNeed("low", 1, Now));
  Queue.add(makeNeed("soon", 0, Now + seconds(1)));
  std::vector<JobId> Order;
  while (Queue.mayCall(Now)) {
    Order.push_back(Queue.takeNext().Step.Job);
    // Asked again at once, it follows the others of its priority.
    if (Order.size() == 1)
      Queue.onEnded(0, Now), Queue.add(makeNeed("soon", 0, Now));
    else
      Queue.onEnded(4, Now);
  }
  EXPECT_EQ(Order, (std::vector<JobId>{"soon", "late", "soon", "low"}));
}

TEST(AdviceQueue, TheTimeLimitFollowsFromThePolicyAndTheWorkersNamed) {
  AdviceOptions Options;
  AdviceQueue Queue(Options);
  Instant Now(seconds(10));
  Queue.add(makeNeed("a", 0, Now));
  AdviceCall Call = Queue.takeNext();
  EXPECT_EQ(Call.Workers.size(), 4U);
  EXPECT_EQ(Call.Timeout, milliseconds(100 + 4 * 50) + Options.AnswerMargin);
  // A policy that grants few makes it name more.
  Queue.onEnded(0, Now);
  Queue.add(makeNeed("b", 0, Now));
  EXPECT_GT(Queue.takeNext().Workers.size(), 4U);
  Queue.onEnded(std::nullopt, Now);
  Queue.add(makeNeed("c", 0, Now));
  EXPECT_FALSE(Queue.mayCall(Now));
  EXPECT_TRUE(Queue.mayCall(Now + Options.FirstPause));
  EXPECT_GT(Queue.takeNext().Timeout, 2 * Options.AnswerMargin);
}

} // namespace
