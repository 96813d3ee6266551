// Runs a test double of a backend server until it receives a stop signal.

#include "Daemon/Signals.h"
#include "StandIns/AddressFlags.h"
#include "StandIns/BackendServer.h"

#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(name, "", "name of the backend server");
DEFINE_string(service, "", "service that it runs");
DEFINE_string(vm, "", "VM that it runs on");
DEFINE_string(listen, "", "IP:port to serve on");
DEFINE_string(entries, "", "peer addresses of entry VMs, with commas");
DEFINE_string(platform, "", "IP:port of the platform; may be empty");
DEFINE_uint32(slots, 8, "requests that run at once");
DEFINE_int32(work_ms, 5, "time that a request runs");
DEFINE_string(behaviour, "normal", "normal, silent, failing or crossed");
DEFINE_string(journal, "", "file to which each run is appended");
DEFINE_string(times, "", "file that gets each run's start and end");
DEFINE_string(trace_file, "", "file to which spans are appended");

using namespace mimosashunt;

namespace {

/// Returns the behaviour named by the flag, or Normal for any other text.
BackendBehaviour parseBehaviour(const std::string &Name) {
  if (Name == "silent")
    return BackendBehaviour::Silent;
  if (Name == "failing")
    return BackendBehaviour::Failing;
  if (Name == "crossed")
    return BackendBehaviour::WrongAttempt;
  return BackendBehaviour::Normal;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  blockStopSignals();
  startLogging("info", false);
  BackendServerOptions Options;
  Options.Name = FLAGS_name;
  Options.Service = FLAGS_service;
  Options.Vm = FLAGS_vm;
  Options.Entries = readAddresses("entries", FLAGS_entries);
  Options.Listen = readAddresses("listen", FLAGS_listen).front();
  if (!FLAGS_platform.empty())
    Options.Platform = readAddresses("platform", FLAGS_platform).front();
  Options.Slots = FLAGS_slots;
  Options.Work = milliseconds(FLAGS_work_ms);
  Options.Behaviour = parseBehaviour(FLAGS_behaviour);
  Options.JournalFile = FLAGS_journal;
  Options.TimesFile = FLAGS_times;
  Options.TraceFile = FLAGS_trace_file;
  BackendServer Server(Options);
  if (std::error_code Error = Server.listen()) {
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
