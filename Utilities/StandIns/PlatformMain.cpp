// Runs a test double of the platform until it receives a stop signal.

#include "Daemon/Signals.h"
#include "StandIns/AddressFlags.h"
#include "StandIns/Platform.h"

#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(listen, "", "IP:port to serve on");
DEFINE_int32(reboot_ms, 500, "time that a VM takes to reboot");
DEFINE_string(trace_file, "", "file that spans are appended to, if any");

using namespace mimosashunt;

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  blockStopSignals();
  Platform Server{milliseconds(FLAGS_reboot_ms), FLAGS_trace_file};
  SocketAddress Address = readAddresses("listen", FLAGS_listen).front();
  if (std::error_code Error = Server.listen(Address)) {
    std::cerr << "--listen: " << Error.message() << '\n';
    return EXIT_FAILURE;
  }
  std::thread([&Server] {
    waitForStopSignal();
    Server.stop();
  }).detach();
  Server.run();
  return EXIT_SUCCESS;
}
