// Runs a stand-in fleet of workers and callers against real daemons of the job
// path, and prints one line of JSON with what was seen. Ends with status 1 if a
// promise was broken or an accepted job has not ended in time.

#include "Platform/StandInCallers.h"
#include "StandIns/AddressFlags.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(control, "", "IP:port of each control VM, for operators");
DEFINE_string(entries, "", "IP:port of each entry VM, for callers");
DEFINE_string(worker_ip, "127.0.0.1", "IP that all workers listen on");
DEFINE_int32(first_port, 22000, "port of the first worker");
DEFINE_int32(workers, 12, "workers in each pool");
DEFINE_int32(pools, 2, "pools, each with one queue");
DEFINE_double(jobs_per_second, 5, "jobs handed in");
DEFINE_int32(steps, 2, "steps of a job");
DEFINE_int32(width, 6, "tasks of a step");
DEFINE_int32(task_ms, 400, "length of a task");
DEFINE_double(seconds, 5, "time during which jobs are handed in");
DEFINE_double(settle_seconds, 30, "time that accepted jobs may take after it");
DEFINE_int32(seed, 1, "seed of arrivals and ids");

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr int WorkersPerRack = 4;

Duration secondsOf(double Seconds) {
  return Duration(static_cast<int64_t>(Seconds * MicrosPerSecond));
}

/// The whole fleet on one loop.
class Fleet {
public:
  Fleet()
      : Client(Loop, {.ConnectionsPerAddress = 200}),
        Callers(Loop, Client, Book, callerSettings()) {}

  bool listen() {
    for (const std::string &Pool : callerSettings().Pools)
      for (int I = 0; I < FLAGS_workers; ++I)
        if (!addWorker(Pool, I))
          return false;
    return true;
  }

  int run() {
    Callers.configure([this] { serve(); });
    Loop.run();
    print();
    return Book.Broken.empty() && Callers.open() == 0 ? EXIT_SUCCESS
                                                      : EXIT_FAILURE;
  }

private:
  static StandInCallers::Settings callerSettings() {
    StandInCallers::Settings Result;
    Result.Entries = readAddresses("entries", FLAGS_entries);
    Result.Control = readAddresses("control", FLAGS_control);
    for (int I = 0; I < FLAGS_pools; ++I)
      Result.Pools.push_back("pool" + std::to_string(I));
    Result.JobsPerSecond = FLAGS_jobs_per_second;
    Result.Steps = static_cast<uint32_t>(FLAGS_steps);
    Result.Width = static_cast<uint32_t>(FLAGS_width);
    Result.TaskMs = FLAGS_task_ms;
    Result.Seed = static_cast<uint32_t>(FLAGS_seed);
    return Result;
  }

  bool addWorker(const std::string &Pool, int Number) {
    StandInWorker::Settings Own;
    Own.Id = Pool + "-" + std::to_string(Number);
    Own.Pool = Pool;
    Own.Rack = Pool + "-r" + std::to_string(Number / WorkersPerRack);
    Own.Control = readAddresses("control", FLAGS_control);
    std::string Address =
        FLAGS_worker_ip + ":" +
        std::to_string(FLAGS_first_port + static_cast<int>(Workers.size()));
    if (SocketAddress::parse(Address, Own.Address))
      return false;
    Workers.push_back(std::make_unique<StandInWorker>(Loop, Client, Book, Own));
    std::error_code Error = Workers.back()->listen();
    if (Error)
      std::cerr << Address << ": " << Error.message() << '\n';
    return !Error;
  }

  void serve() {
    for (const auto &Worker : Workers)
      Worker->begin();
    Instant Start = Loop.timers().now() + seconds(1);
    Loop.timers().scheduleAt(Start, [this] { Callers.beginSubmitting(); });
    Instant End = Start + secondsOf(FLAGS_seconds);
    Loop.timers().scheduleAt(End, [this] { Callers.stopSubmitting(); });
    Loop.timers().scheduleEvery(milliseconds(100), [this, End] {
      bool Over = Loop.timers().now() > End && Callers.idle();
      if (Over || Loop.timers().now() > End + secondsOf(FLAGS_settle_seconds))
        Loop.stop();
    });
  }

  void print() const {
    const CallerCounts &Seen = Callers.counts();
    std::vector<int64_t> Took = Seen.TookMs;
    std::sort(Took.begin(), Took.end());
    auto At = [&](size_t Percent) {
      return Took.empty() ? 0 : Took[(Took.size() - 1) * Percent / 100];
    };
    std::cout << Json{{"submitted", Seen.Submitted},
                      {"accepted", Seen.Accepted},
                      {"refused", Seen.Refused},
                      {"unclear", Seen.Unclear},
                      {"completed", Seen.Completed},
                      {"open", Callers.open()},
                      {"starts", Book.Starts},
                      {"looks", Book.Looks},
                      {"p50_ms", At(50)},
                      {"p99_ms", At(99)},
                      {"broken", Book.Broken}}
                     .dump()
              << '\n';
  }

  EventLoop Loop;
  HttpClient Client;
  TaskBook Book;
  StandInCallers Callers;
  std::vector<std::unique_ptr<StandInWorker>> Workers;
};

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  Fleet All;
  return All.listen() ? All.run() : EXIT_FAILURE;
}
