// An h2o event loop with a timer service. The thread that calls run() owns the
// loop; other threads may call only post() and stop().

#ifndef MIMOSASHUNT_LINKS_EVENTLOOP_H
#define MIMOSASHUNT_LINKS_EVENTLOOP_H

#include "Core/TimerService.h"
#include "Links/H2o.h"

#include <atomic>
#include <functional>
#include <utility>
#include <vector>

namespace mimosashunt {

/// How busy an event loop was over some time.
struct LoopLoad {
  /// Longest time by which a due timer ran late, since the loop was handling
  /// input or was not given the processor.
  Duration LongestLateness{};
  /// Longest time that the work at the end of one iteration took, timers and
  /// deferred tasks included.
  Duration LongestTurn{};
  uint64_t Iterations = 0;
};

class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  h2o_loop_t *native() { return Loop; }
  /// Receiver that the h2o client requires for address look-ups.
  h2o_multithread_receiver_t *resolver() { return &ResolverReceiver; }
  TimerService &timers() { return Timers; }
  /// Sets the timer service's current time from the clock. Called before every
  /// callback into a daemon, since the process may have been suspended since
  /// the last update.
  void refresh();

  /// Runs \p Task on the loop's thread; callable from any thread.
  void post(std::function<void()> Task);

  /// Runs \p Task at the end of the current iteration. For the owning thread
  /// only; avoids the wake-up that post() costs.
  void defer(std::function<void()> Task);

  /// Sets the callback that runs at the end of each iteration, after timers and
  /// deferred tasks. It returns true if it may have written to a socket.
  void onTurn(std::function<bool()> Callback) {
    IterationEndCallback = std::move(Callback);
  }

  /// Returns the load since the last call.
  LoopLoad takeLoad() { return std::exchange(Load, {}); }

  /// Runs iterations until stop(). The calling thread becomes the owner.
  void run();

  /// Runs one iteration: waits for the next event or timer and handles all that
  /// are due. For programs that block on single calls.
  void runOnce();

  /// Ends run(); callable from any thread.
  void stop();

private:
  static void onTasksPosted(h2o_multithread_receiver_t *Receiver,
                            h2o_linklist_t *Messages);
  /// Longest time that the next poll may block, in milliseconds.
  int32_t pollTimeoutMillis() const;
  /// Returns true if there were deferred tasks.
  bool runDeferredTasks();

  h2o_loop_t *Loop;
  h2o_multithread_queue_t *Queue;
  h2o_multithread_receiver_t TaskReceiver{};
  h2o_multithread_receiver_t ResolverReceiver{};
  TimerService Timers;
  std::vector<std::function<void()>> DeferredTasks;
  std::function<bool()> IterationEndCallback;
  // True if the last iteration may have written to a socket, in which case the
  // next poll must not block.
  bool MayHaveWritten = false;
  LoopLoad Load; // Since the last takeLoad().
  std::atomic<bool> Stopping{false};
};

} // namespace mimosashunt

#endif
