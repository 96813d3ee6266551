// A plain HTTP server that echoes each request after --work_ms, without
// sessions or announcements. Benchmarks compare mimosashunt against it.

#include "Daemon/Signals.h"
#include "Links/EventLoop.h"
#include "Links/HttpServer.h"
#include "StandIns/AddressFlags.h"

#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(listen, "", "IP:port to serve on");
DEFINE_int32(work_ms, 1, "time that a request takes");

using namespace mimosashunt;

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  blockStopSignals();
  EventLoop Loop;
  HttpServer Server(Loop, [&Loop](const auto &Exchange) {
    Instant Due = Loop.timers().now() + milliseconds(FLAGS_work_ms);
    Loop.timers().scheduleAt(Due, [Exchange] {
      Exchange->respond({200, {}, Exchange->request().Body});
    });
  });
  if (Server.listen(readAddresses("listen", FLAGS_listen).front())) {
    std::cerr << "--listen: cannot listen\n";
    return EXIT_FAILURE;
  }
  std::thread([&Loop] {
    waitForStopSignal();
    Loop.stop();
  }).detach();
  Loop.run();
  return EXIT_SUCCESS;
}
