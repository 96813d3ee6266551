#include "Links/RpcLoop.h"

#include "Links/SystemTime.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {
// Bounds of the delay between two checks for due timers.
constexpr Duration MaxTimerDelay = milliseconds(20);
constexpr Duration MinTimerDelay = milliseconds(1);
} // namespace

RpcLoop::RpcLoop() : Timers(bootNow()) {}
RpcLoop::~RpcLoop() noexcept = default;

void RpcLoop::taskFailed(kj::Exception &&) {}

void RpcLoop::refresh() { Timers.updateTime(bootNow()); }

void RpcLoop::post(std::function<void()> Task) {
  std::lock_guard<std::mutex> Lock(Mutex);
  PostedTasks.push_back(std::move(Task));
  KJ_IF_MAYBE (Fulfiller, WakeupFulfiller) {
    (*Fulfiller)->fulfill();
    WakeupFulfiller = nullptr;
  }
}

void RpcLoop::runPostedTasks() {
  std::vector<std::function<void()>> Ready;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Ready.swap(PostedTasks);
  }
  Timers.advance(bootNow());
  for (auto &Task : Ready)
    Task();
}

kj::Promise<void> RpcLoop::runTasksOnWakeup(kj::Promise<void> Wakeup) {
  return Wakeup.then([this]() -> kj::Promise<void> {
    auto Next = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      WakeupFulfiller = kj::mv(Next.fulfiller);
    }
    runPostedTasks();
    if (Stopping)
      return kj::READY_NOW;
    return runTasksOnWakeup(kj::mv(Next.promise));
  });
}

kj::Promise<void> RpcLoop::runTimers() {
  Timers.advance(bootNow());
  Duration Delay = MaxTimerDelay;
  if (std::optional<Instant> Due = Timers.nextDue())
    Delay =
        std::clamp<Duration>(*Due - bootNow(), MinTimerDelay, MaxTimerDelay);
  return timer().afterDelay(Delay.count() * kj::MICROSECONDS).then([this]() {
    return runTimers();
  });
}

void RpcLoop::run(const std::function<void()> &Setup,
                  const std::function<void()> &Teardown) {
  Io.emplace(kj::setupAsyncIo());
  DetachedTasks = kj::heap<kj::TaskSet>(*this);
  Setup();
  DetachedTasks->add(runTimers());
  runTasksOnWakeup(kj::Promise<void>(kj::READY_NOW)).wait(Io->waitScope);
  Teardown();
  DetachedTasks = nullptr;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    WakeupFulfiller = nullptr;
  }
  Io.reset();
}

void RpcLoop::stop() {
  post([this] { Stopping = true; });
}

} // namespace mimosashunt
