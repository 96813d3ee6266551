// A WorkerPort for tests of an overloaded leader: it hands the workers'
// responses to the leader one after the other, each after the time that the
// leader's processor needs for it. While they arrive faster than that, they
// queue up, as in the event loop of a leader without enough processor time.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_BUSYLEADERPORT_H
#define MIMOSASHUNT_TESTS_SUPPORT_BUSYLEADERPORT_H

#include "Core/TimerService.h"
#include "Workers/WorkerPort.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace mimosashunt::test {

/// Passes all orders to \p Inner at once and delays its responses.
class BusyLeaderPort : public WorkerPort {
public:
  /// \p TimePerResponse is the leader's processor time for one response.
  BusyLeaderPort(TimerService &Timers, WorkerPort &Inner,
                 Duration TimePerResponse)
      : TimePerResponse(TimePerResponse), Timers(Timers), Inner(Inner) {}

  void startRun(const WorkerEntry &To, const StartOrder &Order,
                OrderCallback Done) override {
    ++Starts;
    Inner.startRun(To, Order, inTurn(std::move(Done)));
  }
  void stopRun(const WorkerEntry &To, const StopOrder &Order,
               OrderCallback Done) override {
    Inner.stopRun(To, Order, inTurn(std::move(Done)));
  }
  void setPace(const WorkerEntry &To, const PaceOrder &Order,
               OrderCallback Done) override {
    Inner.setPace(To, Order, inTurn(std::move(Done)));
  }
  void pollWorker(const WorkerEntry &To, const PollOrder &Order,
                  PollCallback Done) override {
    Inner.pollWorker(To, Order, inTurn(std::move(Done)));
  }
  void renewLease(const WorkerEntry &To, const RenewOrder &Order,
                  OrderCallback Done) override {
    ++Renewals;
    Inner.renewLease(To, Order, inTurn(std::move(Done)));
  }
  void requestAdvice(const TaskId &Step,
                     const std::vector<std::string> &Workers, Duration Timeout,
                     AdviceCallback Done) override {
    Inner.requestAdvice(Step, Workers, Timeout, inTurn(std::move(Done)));
  }

  /// Returns how far the leader is behind: the time until a response that
  /// arrives now would be handled.
  Duration backlog() const {
    return std::max(FreeAt - Timers.now(), Duration::zero());
  }

  Duration TimePerResponse; // Applies to responses from now on.
  int Starts = 0;
  int Renewals = 0;

private:
  template <class Response>
  std::function<void(const Response &)>
  inTurn(std::function<void(const Response &)> Done) {
    return [this, Done = std::move(Done)](const Response &Received) {
      FreeAt = std::max(FreeAt, Timers.now()) + TimePerResponse;
      Timers.scheduleAt(FreeAt, [Done, Received] { Done(Received); });
    };
  }

  TimerService &Timers;
  WorkerPort &Inner;
  Instant FreeAt; // When all responses received so far are handled.
};

} // namespace mimosashunt::test

#endif
