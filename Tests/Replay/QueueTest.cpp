// Order of service in the fair queue: shares by weight, no idling while an
// eligible flow waits, and urgent requests first.

#include <gtest/gtest.h>

#include "Core/FairQueue.h"

#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

const QueuePolicy FairPolicies[] = {StartTimeFairQueueing{},
                                    DeficitRoundRobin{}};

bool acceptAnyFlow(const std::string &) { return true; }

/// Pops up to \p Count requests and counts them by flow.
std::map<std::string, int> serveRequests(FairQueue &Queue, int Count) {
  std::map<std::string, int> Served;
  for (int I = 0; I < Count; ++I)
    if (auto Next = Queue.pop(acceptAnyFlow, false))
      ++Served[Next->Flow];
  return Served;
}

RC_GTEST_PROP(FairQueue, BacklogsAreServedByWeight, ()) {
  auto Weights =
      *rc::gen::container<std::vector<uint32_t>>(4, rc::gen::inRange(1U, 9U));
  for (const QueuePolicy &Policy : FairPolicies) {
    FairQueue Queue(Policy);
    LocalRequestId Id = 0;
    uint32_t Sum = 0;
    for (size_t F = 0; F < Weights.size(); ++F) {
      Sum += Weights[F];
      for (int I = 0; I < 400; ++I)
        Queue.push({++Id, std::to_string(F), Weights[F], false, 1.0});
    }
    constexpr int Rounds = 20;
    auto Served = serveRequests(Queue, static_cast<int>(Sum) * Rounds);
    for (size_t F = 0; F < Weights.size(); ++F) {
      int Expected = static_cast<int>(Weights[F]) * Rounds;
      int Actual = Served[std::to_string(F)];
      RC_ASSERT(Actual >= Expected - static_cast<int>(Weights[F]) - 1);
      RC_ASSERT(Actual <= Expected + static_cast<int>(Weights[F]) + 1);
    }
  }
}

TEST(FairQueue, CancelledRequestsDoNotCostTheFlowItsTurns) {
  FairQueue Queue(StartTimeFairQueueing{});
  LocalRequestId Id = 0;
  for (int I = 0; I < 100; ++I)
    Queue.push({++Id, "a", 1, false, 1.0});
  for (LocalRequestId Cancelled = 1; Cancelled <= 100; ++Cancelled)
    Queue.remove(Cancelled);
  for (int I = 0; I < 20; ++I) {
    Queue.push({++Id, "a", 1, false, 1.0});
    Queue.push({++Id, "b", 1, false, 1.0});
  }
  auto Served = serveRequests(Queue, 20);
  EXPECT_EQ(Served["a"], 10);
  EXPECT_EQ(Served["b"], 10);
}

TEST(FairQueue, LastOfEachFlowSkipsUrgentRequests) {
  FairQueue Queue(StartTimeFairQueueing{});
  Queue.push({1, "a", 1, false, 1.0});
  Queue.push({2, "a", 1, false, 1.0});
  Queue.push({3, "a", 1, true, 1.0});
  Queue.push({4, "b", 1, true, 1.0});
  ASSERT_EQ(Queue.lastOfEachFlow().size(), 1U);
  EXPECT_EQ(Queue.lastOfEachFlow().front().Id, 2U);
}

RC_GTEST_PROP(FairQueue, NeverIdlesWhileAnEligibleFlowWaits, ()) {
  auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 4)));
  const QueuePolicy AllPolicies[] = {
      StartTimeFairQueueing{}, DeficitRoundRobin{}, FirstComeFirstServed{}};
  for (const QueuePolicy &Policy : AllPolicies) {
    FairQueue Queue(Policy);
    std::map<LocalRequestId, std::string> Model;
    LocalRequestId Id = 0;
    for (const auto &[Kind, Flow] : Steps) {
      std::string Name = std::to_string(Flow);
      if (Kind == 0) {
        Queue.push({++Id, Name, 1, Flow == 0, 1.0});
        Model[Id] = Name;
      } else if (Kind == 1 && !Model.empty()) {
        RC_ASSERT(Queue.remove(Model.begin()->first));
        Model.erase(Model.begin());
      } else {
        // Only this flow may start a request.
        auto MayStart = [&](const std::string &Of) { return Of == Name; };
        auto Next = Queue.pop(MayStart, true);
        bool Expected =
            std::any_of(Model.begin(), Model.end(),
                        [&](const auto &Item) { return Item.second == Name; });
        RC_ASSERT(Next.has_value() == Expected);
        if (Next)
          RC_ASSERT(Model.erase(Next->Id) == 1U);
      }
      RC_ASSERT(Queue.size() == Model.size());
    }
  }
}

TEST(FairQueue, IdleFlowEarnsNoCredit) {
  FairQueue Queue(StartTimeFairQueueing{});
  LocalRequestId Id = 0;
  for (int I = 0; I < 100; ++I)
    Queue.push({++Id, "busy", 1, false, 1.0});
  serveRequests(Queue, 90);
  for (int I = 0; I < 100; ++I) {
    Queue.push({++Id, "late", 1, false, 1.0});
    Queue.push({++Id, "busy", 1, false, 1.0});
  }
  auto Served = serveRequests(Queue, 40);
  EXPECT_NEAR(Served["late"], Served["busy"], 12);
}

TEST(FairQueue, UrgentRequestsAreServedFirst) {
  FairQueue Queue(StartTimeFairQueueing{});
  Queue.push({1, "a", 1, false, 1.0});
  Queue.push({2, "a", 1, true, 1.0});
  EXPECT_EQ(Queue.pop(acceptAnyFlow, true)->Id, 2U);
  EXPECT_EQ(Queue.pop(acceptAnyFlow, true)->Id, 1U);
  EXPECT_FALSE(Queue.pop(acceptAnyFlow, true).has_value());
}

} // namespace
} // namespace mimosashunt::test
