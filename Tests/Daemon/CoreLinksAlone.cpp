// Checks that the decision core links without any other library: the program
// uses both cores with null ports and a simulated clock.

#include "Core/ControlCore.h"
#include "Core/EntryCore.h"

#include <cstdlib>

namespace {

struct NullLogStore : mimosashunt::LogStore {
  std::error_code write(const mimosashunt::RaftOutput &) override { return {}; }
  std::error_code compact(const mimosashunt::Snapshot &) override { return {}; }
};
struct NullTransport : mimosashunt::RaftTransport {
  void send(const mimosashunt::RaftMessage &, const std::string &) override {}
  void sendJoinRequest(const mimosashunt::Member &,
                       const std::string &) override {}
};
struct NullPlatform : mimosashunt::PlatformPort {
  void drainVm(const std::string &) override {}
  void rebootVm(const std::string &) override {}
};
struct NullEntryPort : mimosashunt::EntryPort {
  void dispatchAttempt(const mimosashunt::Dispatch &) override {}
  void forwardRequest(const mimosashunt::Forward &) override {}
  void sendRecords(const mimosashunt::RecordTransfer &) override {}
  void finishRequest(mimosashunt::LocalRequestId,
                     const mimosashunt::Outcome &) override {}
};

} // namespace

int main() {
  using namespace mimosashunt;
  TimerService Timers{Instant(seconds(1))};
  NullLogStore Store;
  NullTransport Transport;
  NullPlatform Platform;
  NullEntryPort Port;
  ControlCore Control(1, {"c", "dc", "c"}, {{"c", "dc", "c"}}, {}, {}, Timers,
                      1, Store, Transport, Platform);
  Control.bootstrap({"ada", "digest"});
  EntryCore Entry({"e", "dc", "e"}, {{"e", "dc", "e"}}, 1, {}, Timers, Port);
  Timers.advance(Instant(seconds(3)));
  return Control.isLeader() && Entry.isIdle() ? EXIT_SUCCESS : EXIT_FAILURE;
}
