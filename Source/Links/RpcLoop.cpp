#include "Links/RpcLoop.h"

#include "Links/SystemTime.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {
constexpr Duration MaxTimerSleep = milliseconds(20);
constexpr Duration MinTimerSleep = milliseconds(1);
} // namespace

RpcLoop::RpcLoop() : Timers(bootNow()) {}
RpcLoop::~RpcLoop() noexcept = default;

void RpcLoop::taskFailed(kj::Exception &&) {}

void RpcLoop::refresh() { Timers.updateTime(bootNow()); }

void RpcLoop::post(std::function<void()> Task) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Posted.push_back(std::move(Task));
  KJ_IF_MAYBE (Fulfiller, Waker) {
    (*Fulfiller)->fulfill();
    Waker = nullptr;
  }
}

void RpcLoop::runPosted() {
  std::vector<std::function<void()>> Ready;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Ready.swap(Posted);
  }
  Timers.advance(bootNow());
  for (auto &Task : Ready)
    Task();
}

kj::Promise<void> RpcLoop::drainTasks(kj::Promise<void> Wakeup) {
  return Wakeup.then([this]() -> kj::Promise<void> {
    auto Next = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Waker = kj::mv(Next.fulfiller);
    }
    runPosted();
    if (Stopping)
      return kj::READY_NOW;
    return drainTasks(kj::mv(Next.promise));
  });
}

kj::Promise<void> RpcLoop::driveTimers() {
  Timers.advance(bootNow());
  Duration Sleep = MaxTimerSleep;
  if (std::optional<Instant> Due = Timers.nextDue())
    Sleep =
        std::clamp<Duration>(*Due - bootNow(), MinTimerSleep, MaxTimerSleep);
  return timer().afterDelay(Sleep.count() * kj::MICROSECONDS).then([this]() {
    return driveTimers();
  });
}

void RpcLoop::run(const std::function<void()> &Setup,
                  const std::function<void()> &Teardown) {
  Io.emplace(kj::setupAsyncIo());
  Tasks = kj::heap<kj::TaskSet>(*this);
  Setup();
  Tasks->add(driveTimers());
  drainTasks(kj::Promise<void>(kj::READY_NOW)).wait(Io->waitScope);
  Teardown();
  Tasks = nullptr;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Waker = nullptr;
  }
  Io.reset();
}

void RpcLoop::stop() {
  post([this] { Stopping = true; });
}

} // namespace mimosashunt
