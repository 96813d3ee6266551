#include "Daemon/Signals.h"

#include <csignal>

namespace mimosashunt {

namespace {

sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}

} // namespace

void blockStopSignals() {
  sigset_t Set = stopSignals();
  sigaddset(&Set, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

DaemonSignal waitForSignal() {
  sigset_t Set = stopSignals();
  sigaddset(&Set, SIGHUP);
  int Signal = 0;
  sigwait(&Set, &Signal);
  return Signal == SIGHUP ? DaemonSignal::Reload : DaemonSignal::Stop;
}

void waitForStopSignal() {
  sigset_t Set = stopSignals();
  int Signal = 0;
  sigwait(&Set, &Signal);
}

} // namespace mimosashunt
