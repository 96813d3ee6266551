// One h2o event loop with its timer service. The thread that calls run() owns
// the loop; other threads reach it only through post().

#ifndef MIMOSASHUNT_LINKS_EVENTLOOP_H
#define MIMOSASHUNT_LINKS_EVENTLOOP_H

#include "Core/TimerService.h"
#include "Links/H2o.h"

#include <atomic>
#include <functional>
#include <utility>
#include <vector>

namespace mimosashunt {

class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  h2o_loop_t *native() { return Loop; }
  /// Receiver that h2o's client wants for address look-ups.
  h2o_multithread_receiver_t *resolver() { return &Resolver; }
  TimerService &timers() { return Timers; }
  /// Brings the timers' present time up to date; called wherever the loop hands
  /// control to a daemon, since the process may have been frozen meanwhile.
  void refresh();

  /// Runs \p Task on the loop's thread; callable from any thread.
  void post(std::function<void()> Task);

  /// Runs \p Task at the end of this turn; for the owning thread, where it
  /// saves the wake-up that post() costs.
  void defer(std::function<void()> Task);

  /// Runs \p Run at the end of each turn, after timers and deferred tasks. It
  /// returns true if it did anything that may have written to a socket.
  void onTurn(std::function<bool()> Run) { Turn = std::move(Run); }

  /// Serves until stop(); call on the owning thread.
  void run();

  /// Handles what is due and waits for the next event, for programs that block
  /// on single calls.
  void runOnce();

  /// Ends run(); callable from any thread.
  void stop();

private:
  static void onTasks(h2o_multithread_receiver_t *Receiver,
                      h2o_linklist_t *Messages);
  int32_t waitMillis() const;
  bool runDeferred();

  h2o_loop_t *Loop;
  h2o_multithread_queue_t *Queue;
  h2o_multithread_receiver_t Tasks{};
  h2o_multithread_receiver_t Resolver{};
  TimerService Timers;
  std::vector<std::function<void()>> Deferred;
  std::function<bool()> Turn;
  // True if the last turn may have written, so that the next poll must not
  // wait.
  bool Wrote = false;
  std::atomic<bool> Stopping{false};
};

} // namespace mimosashunt

#endif
