#include "Links/EventLoop.h"

#include "Links/SystemTime.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace mimosashunt {

namespace {

constexpr int64_t MaxWaitMillis = 1000;

struct TaskMessage {
  h2o_multithread_message_t Super{}; // First member: h2o links messages by it.
  EventLoop *Owner = nullptr;
  std::function<void()> Run;
};

} // namespace

EventLoop::EventLoop()
    : Loop(h2o_evloop_create()), Queue(h2o_multithread_create_queue(Loop)),
      Timers(bootNow()) {
  h2o_multithread_register_receiver(Queue, &Tasks, onTasks);
  h2o_multithread_register_receiver(Queue, &Resolver,
                                    h2o_hostinfo_getaddr_receiver);
}

EventLoop::~EventLoop() {
  // h2o 2.2 has no function that destroys an event loop; a loop lives as long
  // as its process.
}

void EventLoop::onTasks(h2o_multithread_receiver_t *, h2o_linklist_t *List) {
  while (!h2o_linklist_is_empty(List)) {
    h2o_linklist_t *Link = List->next;
    h2o_linklist_unlink(Link);
    std::unique_ptr<TaskMessage> Message(reinterpret_cast<TaskMessage *>(Link));
    Message->Owner->refresh();
    Message->Run();
  }
}

void EventLoop::refresh() { Timers.updateTime(bootNow()); }

void EventLoop::post(std::function<void()> Task) {
  auto Message = std::make_unique<TaskMessage>();
  Message->Owner = this;
  Message->Run = std::move(Task);
  h2o_multithread_send_message(&Tasks, &Message.release()->Super);
}

int32_t EventLoop::waitMillis() const {
  std::optional<Instant> Due = Timers.nextDue();
  if (!Due)
    return MaxWaitMillis;
  Duration Left = *Due - bootNow();
  int64_t Rounded = toMillis(Left + milliseconds(1));
  return static_cast<int32_t>(std::clamp<int64_t>(Rounded, 0, MaxWaitMillis));
}

void EventLoop::run() {
  while (!Stopping.load())
    runOnce();
}

void EventLoop::defer(std::function<void()> Task) {
  Deferred.push_back(std::move(Task));
}

bool EventLoop::runDeferred() {
  bool Ran = !Deferred.empty();
  for (auto &Task : std::exchange(Deferred, {}))
    Task();
  return Ran;
}

void EventLoop::runOnce() {
  h2o_evloop_run(Loop, Wrote || !Deferred.empty() ? 0 : waitMillis());
  // Completions of what timers and tasks wrote are queued inside h2o, which
  // looks at them only after its next poll, so that poll must not wait.
  Wrote = Timers.advance(bootNow());
  Wrote |= runDeferred();
  if (Turn)
    Wrote |= Turn();
}

void EventLoop::stop() {
  post([this] { Stopping.store(true); });
}

} // namespace mimosashunt
