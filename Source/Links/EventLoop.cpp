#include "Links/EventLoop.h"

#include "Links/SystemTime.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace mimosashunt {

namespace {

// Longest time that one poll blocks.
constexpr int64_t MaxPollTimeoutMillis = 1000;

struct TaskMessage {
  // The first member, since h2o passes messages as pointers to it.
  h2o_multithread_message_t Super{};
  EventLoop *Owner = nullptr;
  std::function<void()> Task;
};

} // namespace

EventLoop::EventLoop()
    : Loop(h2o_evloop_create()), Queue(h2o_multithread_create_queue(Loop)),
      Timers(bootNow()) {
  h2o_multithread_register_receiver(Queue, &TaskReceiver, onTasksPosted);
  h2o_multithread_register_receiver(Queue, &ResolverReceiver,
                                    h2o_hostinfo_getaddr_receiver);
}

EventLoop::~EventLoop() {
  // h2o 2.2 has no function that destroys an event loop, so a loop lives as
  // long as its process.
}

void EventLoop::onTasksPosted(h2o_multithread_receiver_t *,
                              h2o_linklist_t *List) {
  while (!h2o_linklist_is_empty(List)) {
    h2o_linklist_t *Link = List->next;
    h2o_linklist_unlink(Link);
    std::unique_ptr<TaskMessage> Message(reinterpret_cast<TaskMessage *>(Link));
    Message->Owner->refresh();
    Message->Task();
  }
}

void EventLoop::refresh() { Timers.updateTime(bootNow()); }

void EventLoop::post(std::function<void()> Task) {
  auto Message = std::make_unique<TaskMessage>();
  Message->Owner = this;
  Message->Task = std::move(Task);
  h2o_multithread_send_message(&TaskReceiver, &Message.release()->Super);
}

int32_t EventLoop::pollTimeoutMillis() const {
  std::optional<Instant> Due = Timers.nextDue();
  if (!Due)
    return MaxPollTimeoutMillis;
  Duration Remaining = *Due - bootNow();
  int64_t Rounded = toMillis(Remaining + milliseconds(1));
  return static_cast<int32_t>(
      std::clamp<int64_t>(Rounded, 0, MaxPollTimeoutMillis));
}

void EventLoop::run() {
  while (!Stopping.load())
    runOnce();
}

void EventLoop::defer(std::function<void()> Task) {
  DeferredTasks.push_back(std::move(Task));
}

bool EventLoop::runDeferredTasks() {
  bool Ran = !DeferredTasks.empty();
  for (auto &Task : std::exchange(DeferredTasks, {}))
    Task();
  return Ran;
}

void EventLoop::runOnce() {
  std::optional<Instant> Due = Timers.nextDue();
  h2o_evloop_run(
      Loop, MayHaveWritten || !DeferredTasks.empty() ? 0 : pollTimeoutMillis());
  Instant TurnStart = bootNow();
  if (Due)
    Load.LongestLateness = std::max(Load.LongestLateness, TurnStart - *Due);
  // h2o queues the completions of writes by timers and tasks and handles them
  // only after its next poll, so that poll must not block.
  MayHaveWritten = Timers.advance(TurnStart);
  MayHaveWritten |= runDeferredTasks();
  if (IterationEndCallback)
    MayHaveWritten |= IterationEndCallback();
  // Requests that the callback has sent leave now, not after the input of the
  // next iteration, which may take long.
  MayHaveWritten |= runDeferredTasks();
  Load.LongestTurn = std::max(Load.LongestTurn, bootNow() - TurnStart);
  ++Load.Iterations;
}

void EventLoop::stop() {
  post([this] { Stopping.store(true); });
}

} // namespace mimosashunt
