// Tests of messages between event loops on two threads, and of timers. Also run
// under the thread sanitizer.

#include <gtest/gtest.h>

#include "Links/EventLoop.h"
#include "Links/RpcLoop.h"

#include <atomic>
#include <thread>

// h2o 2.2 cannot destroy an event loop, so each test leaks the one it creates.
extern "C" const char *__asan_default_options();  // NOLINT
extern "C" const char *__asan_default_options() { // NOLINT
  return "detect_leaks=0";
}

namespace mimosashunt::test {
namespace {

TEST(Loops, AllMessagesArriveInOrder) {
  constexpr int Count = 2000;
  // Leaked on purpose: h2o cannot destroy an event loop.
  auto *Http = new EventLoop();
  RpcLoop Rpc;
  std::thread HttpThread([&] { Http->run(); });
  std::thread RpcThread([&] { Rpc.run([] {}, [] {}); });
  int Received = 0; // Written only by the HTTP loop's thread.
  bool InOrder = true;
  for (int I = 0; I < Count; ++I)
    Rpc.post([&, I] {
      Http->post([&, I] {
        InOrder = InOrder && Received == I;
        if (++Received == Count)
          Http->stop();
      });
    });
  HttpThread.join();
  Rpc.stop();
  RpcThread.join();
  EXPECT_EQ(Received, Count);
  EXPECT_TRUE(InOrder);
}

TEST(Loops, TimersRunOnTheLoopThread) {
  auto *Http = new EventLoop();
  std::thread::id TimerThread;
  Http->timers().scheduleEvery(milliseconds(5), [&] {
    TimerThread = std::this_thread::get_id();
    Http->stop();
  });
  std::thread Thread([&] { Http->run(); });
  std::thread::id Expected = Thread.get_id();
  Thread.join();
  EXPECT_EQ(TimerThread, Expected);
}

// A heartbeat that is sent at the end of a turn must not wait for the input of
// the next one.
TEST(Loops, WhatATurnDefersRunsBeforeTheNextInput) {
  auto *Http = new EventLoop();
  bool HasRun = false;
  Http->onTurn([&] {
    Http->defer([&] { HasRun = true; });
    return true;
  });
  Http->timers().scheduleEvery(milliseconds(1), [] {});
  Http->runOnce();
  EXPECT_TRUE(HasRun);
}

TEST(Timers, APeriodicCallbackRunsOnceAfterALongPause) {
  TimerService Timers{Instant(seconds(1))};
  int Runs = 0;
  Timers.scheduleEvery(milliseconds(10), [&] { ++Runs; });
  Timers.advance(Instant(seconds(100)));
  EXPECT_EQ(Runs, 1);
}

TEST(Timers, RunInOrderAndCanBeCancelled) {
  TimerService Timers{Instant(seconds(1))};
  std::string Order;
  Timers.scheduleAt(Instant(seconds(3)), [&] { Order += "c"; });
  Timers.scheduleAt(Instant(seconds(2)), [&] { Order += "a"; });
  TimerId Cancelled =
      Timers.scheduleAt(Instant(seconds(2)), [&] { Order += "x"; });
  Timers.scheduleAt(Instant(seconds(2)), [&] { Order += "b"; });
  Timers.cancel(Cancelled);
  Timers.advance(Instant(seconds(5)));
  EXPECT_EQ(Order, "abc");
  Timers.advance(Instant(seconds(4)));
  EXPECT_EQ(Timers.now(), Instant(seconds(5)));
}

} // namespace
} // namespace mimosashunt::test
