// A WorkerPort for tests of a leader whose orders other control VMs carry: all
// orders and responses are under way for some time.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_DELAYEDPORT_H
#define MIMOSASHUNT_TESTS_SUPPORT_DELAYEDPORT_H

#include "Core/TimerService.h"
#include "Workers/WorkerPort.h"

#include <functional>
#include <utility>

namespace mimosashunt::test {

/// Passes orders to \p Inner and its responses back, each \p OneWay later.
class DelayedPort : public WorkerPort {
public:
  DelayedPort(TimerService &Timers, WorkerPort &Inner, Duration OneWay)
      : Timers(Timers), Inner(Inner), OneWay(OneWay) {}

  void startRun(const WorkerEntry &To, const StartOrder &Order,
                OrderCallback Done) override {
    later([this, To, Order, Done = late(std::move(Done))] {
      Inner.startRun(To, Order, Done);
    });
  }
  void stopRun(const WorkerEntry &To, const StopOrder &Order,
               OrderCallback Done) override {
    later([this, To, Order, Done = late(std::move(Done))] {
      Inner.stopRun(To, Order, Done);
    });
  }
  void setPace(const WorkerEntry &To, const PaceOrder &Order,
               OrderCallback Done) override {
    later([this, To, Order, Done = late(std::move(Done))] {
      Inner.setPace(To, Order, Done);
    });
  }
  void pollWorker(const WorkerEntry &To, const PollOrder &Order,
                  PollCallback Done) override {
    later([this, To, Order, Done = late(std::move(Done))] {
      Inner.pollWorker(To, Order, Done);
    });
  }
  void renewLease(const WorkerEntry &To, const RenewOrder &Order,
                  OrderCallback Done) override {
    later([this, To, Order, Done = late(std::move(Done))] {
      Inner.renewLease(To, Order, Done);
    });
  }
  void requestAdvice(const TaskId &Step,
                     const std::vector<std::string> &Workers, Duration Timeout,
                     AdviceCallback Done) override {
    Inner.requestAdvice(Step, Workers, Timeout, late(std::move(Done)));
  }

private:
  void later(std::function<void()> Action) {
    Timers.scheduleAt(Timers.now() + OneWay, std::move(Action));
  }
  template <class Response>
  std::function<void(const Response &)>
  late(std::function<void(const Response &)> Done) {
    return [this, Done = std::move(Done)](const Response &Received) {
      later([Done, Received] { Done(Received); });
    };
  }

  TimerService &Timers;
  WorkerPort &Inner;
  const Duration OneWay;
};

} // namespace mimosashunt::test

#endif
