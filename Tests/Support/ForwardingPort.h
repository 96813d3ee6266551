// A WorkerPort that passes everything on, for tests whose own port changes a
// part of it.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_FORWARDINGPORT_H
#define MIMOSASHUNT_TESTS_SUPPORT_FORWARDINGPORT_H

#include "Workers/WorkerPort.h"

#include <utility>

namespace mimosashunt::test {

class ForwardingPort : public WorkerPort {
public:
  explicit ForwardingPort(WorkerPort &Inner) : Inner(Inner) {}

  void startRun(const WorkerEntry &To, const StartOrder &Order,
                OrderCallback Done) override {
    Inner.startRun(To, Order, std::move(Done));
  }
  void stopRun(const WorkerEntry &To, const StopOrder &Order,
               OrderCallback Done) override {
    Inner.stopRun(To, Order, std::move(Done));
  }
  void setPace(const WorkerEntry &To, const PaceOrder &Order,
               OrderCallback Done) override {
    Inner.setPace(To, Order, std::move(Done));
  }
  void pollWorker(const WorkerEntry &To, const PollOrder &Order,
                  PollCallback Done) override {
    Inner.pollWorker(To, Order, std::move(Done));
  }
  void renewLease(const WorkerEntry &To, const RenewOrder &Order,
                  OrderCallback Done) override {
    Inner.renewLease(To, Order, std::move(Done));
  }
  void requestAdvice(const TaskId &Step,
                     const std::vector<std::string> &Workers, Duration Timeout,
                     AdviceCallback Done) override {
    Inner.requestAdvice(Step, Workers, Timeout, std::move(Done));
  }

protected:
  WorkerPort &Inner;
};

} // namespace mimosashunt::test

#endif
