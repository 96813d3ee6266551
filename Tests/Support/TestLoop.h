// An event loop for tests whose clients and servers are destroyed at their end.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_TESTLOOP_H
#define MIMOSASHUNT_TESTS_SUPPORT_TESTLOOP_H

#include "Links/EventLoop.h"

#include <memory>
#include <vector>

namespace mimosashunt::test {

/// Holds an event loop and is destroyed after all that uses it.
class TestLoop {
public:
  TestLoop() : Loop(makeLoop()) {}
  /// Runs the loop until it has closed and freed the connections of clients and
  /// servers that are destroyed.
  ~TestLoop() {
    constexpr int Turns = 20;
    TimerId Wake = Loop.timers().scheduleEvery(milliseconds(1), [] {});
    for (int I = 0; I < Turns; ++I)
      Loop.runOnce();
    Loop.timers().cancel(Wake);
  }
  TestLoop(const TestLoop &) = delete;
  TestLoop &operator=(const TestLoop &) = delete;

  EventLoop &Loop;

private:
  /// h2o cannot destroy an event loop, so each lives as long as the process.
  static EventLoop &makeLoop() {
    static auto &Loops = *new std::vector<std::unique_ptr<EventLoop>>();
    return *Loops.emplace_back(std::make_unique<EventLoop>());
  }
};

} // namespace mimosashunt::test

#endif
