// The event loop for Cap'n Proto RPC, with a timer service. The thread that
// calls run() owns the loop; other threads may call only post() and stop().

#ifndef MIMOSASHUNT_LINKS_RPCLOOP_H
#define MIMOSASHUNT_LINKS_RPCLOOP_H

#include "Core/TimerService.h"

#include <functional>
#include <kj/async-io.h>
#include <mutex>
#include <optional>
#include <vector>

namespace mimosashunt {

class RpcLoop : public kj::TaskSet::ErrorHandler {
public:
  RpcLoop();
  ~RpcLoop() noexcept;
  RpcLoop(const RpcLoop &) = delete;
  RpcLoop &operator=(const RpcLoop &) = delete;

  TimerService &timers() { return Timers; }

  /// Sets the timer service's current time from the clock. Called before
  /// incoming calls are handled.
  void refresh();

  /// Runs \p Task on the loop's thread; callable from any thread, also before
  /// run().
  void post(std::function<void()> Task);

  /// Runs the loop until stop(). The calling thread becomes the owner. \p Setup
  /// runs first and \p Teardown last, both on this thread while the loop
  /// exists.
  void run(const std::function<void()> &Setup,
           const std::function<void()> &Teardown);

  /// Ends run(); callable from any thread.
  void stop();

  // The functions below are for the owning thread, from setup to teardown.

  kj::Network &network() { return Io->provider->getNetwork(); }
  kj::LowLevelAsyncIoProvider &lowLevel() { return *Io->lowLevelProvider; }
  kj::Timer &timer() { return Io->provider->getTimer(); }
  /// Runs \p Work to its end without a caller that waits; exceptions are
  /// ignored.
  void detach(kj::Promise<void> Work) { DetachedTasks->add(kj::mv(Work)); }

private:
  void taskFailed(kj::Exception &&Failure) override;
  /// Runs the posted tasks after each wake-up, until stop().
  kj::Promise<void> runTasksOnWakeup(kj::Promise<void> Wakeup);
  /// Runs due timers repeatedly; the promise never resolves.
  kj::Promise<void> runTimers();
  void runPostedTasks();

  TimerService Timers;
  std::mutex Mutex;
  std::vector<std::function<void()>> PostedTasks; // Guarded by Mutex.
  // Wakes the loop for posted tasks. Guarded by Mutex; empty before run() and
  // from its fulfilment until the loop has woken.
  kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> WakeupFulfiller;
  bool Stopping = false;
  std::optional<kj::AsyncIoContext> Io;
  kj::Own<kj::TaskSet> DetachedTasks;
};

} // namespace mimosashunt

#endif
