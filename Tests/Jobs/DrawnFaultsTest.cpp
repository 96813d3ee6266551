// Plays drawn mixes of faults of workers and leaders and checks that no task
// runs twice at once, or again after it was done, and that all work ends.
// MIMOSASHUNT_TESTS_SEEDS sets how many are played.

#include "Support/SchedulerHarness.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <random>

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

constexpr size_t PoolSize = 8;

/// What jobs of a day are.
enum class Work { ShortJobs, AllShapes };

bool failsAlways(const TaskId &Task) { return Task.Job.rfind("bad", 0) == 0; }

class DrawnDay {
public:
  explicit DrawnDay(uint32_t Seed, Work Kinds = Work::ShortJobs)
      : Harness([](const TaskId &Task, const StepSpec &Spec) {
          return failsAlways(Task) ? -Spec.EstimateMs : Spec.EstimateMs;
        }),
        Kinds(Kinds), Random(Seed) {
    Harness.addPool("p", PoolSize, 8);
    Harness.beginLeadership();
    Harness.advanceTime(milliseconds(500));
  }

  void play() {
    constexpr int Rounds = 120;
    for (int Round = 0; Round < Rounds; ++Round) {
      if (Kinds == Work::AllShapes)
        drawJob();
      else
        submitJob();
      drawFault();
      Harness.advanceTime(milliseconds(draw(5, 250)));
    }
    Harness.FailsProposals = false;
    if (Harness.Scheduler == nullptr)
      Harness.beginLeadership();
    // A recurrence is due for 48 s at most.
    Harness.advanceTime(Kinds == Work::AllShapes ? seconds(60) : seconds(40));
  }

  SchedulerHarness Harness;

private:
  int draw(int Min, int Max) {
    return std::uniform_int_distribution<int>(Min, Max)(Random);
  }
  void later(Duration After, std::function<void()> Action) {
    Harness.Timers.scheduleAt(Harness.Timers.now() + After, std::move(Action));
  }

  void submitJob() {
    if (Harness.Scheduler == nullptr)
      return;
    Harness.submitJob("j" + std::to_string(++Jobs), "p",
                      makeChainSpec(static_cast<uint32_t>(draw(1, 2)),
                                    static_cast<uint32_t>(draw(1, 6)), 1000,
                                    draw(50, 1500)));
  }

  void drawJob() {
    switch (draw(0, 5)) {
    case 0:
      return submitRecurringJob();
    case 1:
      return submitFailingJob();
    default:
      return submitJob();
    }
  }

  /// Submits a job whose occurrences are overdue, overlap or come one by one.
  void submitRecurringJob() {
    if (Harness.Scheduler == nullptr)
      return;
    JobSpec Spec =
        makeChainSpec(static_cast<uint32_t>(draw(1, 2)),
                      static_cast<uint32_t>(draw(1, 2)), 200, draw(50, 400));
    Spec.Recurrence = {static_cast<uint32_t>(draw(1, 150)),
                       Harness.wallNow() + draw(-20000, 3000), draw(1, 300)};
    Harness.submitJob("recurring" + std::to_string(++Jobs), "p", Spec);
  }

  /// Submits a lasting job whose tasks fail wherever they run.
  void submitFailingJob() {
    if (Harness.Scheduler == nullptr)
      return;
    JobSpec Spec = makeChainSpec(1, static_cast<uint32_t>(draw(1, 5)), 500,
                                 draw(50, 2000));
    Spec.Steps[0].LongRunning = true;
    Harness.submitJob("bad" + std::to_string(++Jobs), "p", Spec);
  }

  /// Cuts the worker off; it may restart meanwhile, or as the cut ends.
  void cut(const std::string &Id) {
    Harness.Workers.at(Id).Faults.IsUnreachable = true;
    Duration End = milliseconds(draw(50, 5000));
    if (draw(0, 1) == 0)
      later(milliseconds(draw(0, static_cast<int>(toMillis(End)))), [this, Id] {
        Harness.Workers.restart(Id);
        Harness.Workers.at(Id).Faults.IsUnreachable = true;
      });
    later(End,
          [this, Id] { Harness.Workers.at(Id).Faults.IsUnreachable = false; });
  }

  void changeLeader() {
    Harness.Scheduler.reset();
    later(milliseconds(draw(0, 1500)), [this] {
      if (Harness.Scheduler == nullptr)
        Harness.beginLeadership();
    });
  }

  void drawFault() {
    std::string Id = "p-" + std::to_string(draw(0, PoolSize - 1));
    WorkerFaults &Faults = Harness.Workers.at(Id).Faults;
    switch (draw(0, 9)) {
    case 0:
    case 1:
      return cut(Id);
    case 2: // Back at once, under the same id.
      if (!Faults.IsDown)
        Harness.Workers.restart(Id);
      return;
    case 3:
      return Harness.Workers.crash(Id);
    case 4:
    case 5:
      Faults.OrderDelay = milliseconds(draw(100, 6000));
      Faults.DelayedOrderCount = draw(1, 6);
      return;
    case 6:
      if (draw(0, 2) == 0)
        changeLeader();
      return;
    case 7:
      Harness.FailsProposals = true;
      return later(milliseconds(draw(20, 800)),
                   [this] { Harness.FailsProposals = false; });
    case 8:
      Harness.SendsHeartbeats = false;
      return later(milliseconds(draw(100, 4000)),
                   [this] { Harness.SendsHeartbeats = true; });
    default:
      return;
    }
  }

  const Work Kinds;
  std::mt19937 Random;
  int Jobs = 0;
};

/// A step may follow one whose result is lost with its worker.
bool isOfAnotherRule(const std::string &Violation) {
  return Violation.ends_with("was started before an earlier step ended");
}

uint32_t seedCount(uint32_t DefaultSeeds) {
  const char *Wanted = std::getenv("MIMOSASHUNT_TESTS_SEEDS");
  return Wanted == nullptr ? DefaultSeeds
                           : static_cast<uint32_t>(std::atoi(Wanted));
}

void expectNoTaskRanTwice(const DrawnDay &Day, uint32_t Seed) {
  for (const std::string &Violation : Day.Harness.Workers.Violations)
    EXPECT_TRUE(isOfAnotherRule(Violation))
        << "seed " << Seed << ": " << Violation;
}

TEST(DrawnFaults, NoTaskRunsTwice) {
  constexpr uint32_t DefaultSeeds = 40;
  for (uint32_t Seed = 1; Seed <= seedCount(DefaultSeeds); ++Seed) {
    DrawnDay Day(Seed);
    Day.play();
    expectNoTaskRanTwice(Day, Seed);
  }
}

// Guards against occurrences that are lost or run twice as leaders change, and
// against work that waits for ever behind tasks that fail wherever they run.
TEST(DrawnFaults, WorkOfAllShapesEndsOnce) {
  constexpr uint32_t DefaultSeeds = 12;
  for (uint32_t Seed = 1; Seed <= seedCount(DefaultSeeds); ++Seed) {
    DrawnDay Day(Seed, Work::AllShapes);
    Day.play();
    expectNoTaskRanTwice(Day, Seed);
    // A lasting job ends only if its tasks seem to crash their workers.
    for (const auto &[Id, Record] : Day.Harness.Store.jobs())
      EXPECT_TRUE(Record.hasEnded() || Record.Job.Spec.isLongRunning())
          << "seed " << Seed << ": " << Id;
  }
}

} // namespace
