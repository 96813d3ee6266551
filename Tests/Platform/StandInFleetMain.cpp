// Runs stand-in workers and callers against real gateway and scheduler daemons
// and prints a one-line JSON summary. Exits with status 1 if a guarantee was
// violated or an accepted job has not ended in time.

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
DEFINE_double(jobs_per_second, 5, "mean number of jobs submitted per second");
DEFINE_int32(steps, 2, "steps of a job");
DEFINE_int32(width, 6, "tasks of a step");
DEFINE_int32(task_ms, 400, "duration of a task in milliseconds");
DEFINE_double(seconds, 5, "seconds during which jobs are submitted");
DEFINE_double(settle_seconds, 30,
              "seconds that accepted jobs may take after that");
DEFINE_int32(seed, 1, "seed of arrival times and job ids");

using namespace mimosashunt;
using namespace mimosashunt::test;

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr int WorkersPerRack = 4;

Duration toDuration(double Seconds) {
  return Duration(static_cast<int64_t>(Seconds * MicrosPerSecond));
}

/// All stand-in workers and callers, on one event loop.
class Fleet {
public:
  Fleet()
      : Client(Loop, {.ConnectionsPerAddress = 200}),
        Callers(Loop, Client, History, callerSettings()) {}

  bool listen() {
    for (const std::string &Pool : callerSettings().Pools)
      for (int I = 0; I < FLAGS_workers; ++I)
        if (!addWorker(Pool, I))
          return false;
    return true;
  }

  int run() {
    Callers.uploadConfiguration([this] { startTraffic(); });
    Loop.run();
    printSummary();
    return History.Violations.empty() && Callers.openJobCount() == 0
               ? EXIT_SUCCESS
               : EXIT_FAILURE;
  }

private:
  static StandInCallers::Settings callerSettings() {
    StandInCallers::Settings Result;
    Result.EntryAddresses = readAddresses("entries", FLAGS_entries);
    Result.ControlAddresses = readAddresses("control", FLAGS_control);
    for (int I = 0; I < FLAGS_pools; ++I)
      Result.Pools.push_back("pool" + std::to_string(I));
    Result.JobsPerSecond = FLAGS_jobs_per_second;
    Result.Steps = static_cast<uint32_t>(FLAGS_steps);
    Result.TasksPerStep = static_cast<uint32_t>(FLAGS_width);
    Result.TaskDurationMs = FLAGS_task_ms;
    Result.Seed = static_cast<uint32_t>(FLAGS_seed);
    return Result;
  }

  bool addWorker(const std::string &Pool, int Number) {
    StandInWorker::Settings Config;
    Config.Id = Pool + "-" + std::to_string(Number);
    Config.Pool = Pool;
    Config.Rack = Pool + "-r" + std::to_string(Number / WorkersPerRack);
    Config.ControlAddresses = readAddresses("control", FLAGS_control);
    std::string Address =
        FLAGS_worker_ip + ":" +
        std::to_string(FLAGS_first_port + static_cast<int>(Workers.size()));
    if (SocketAddress::parse(Address, Config.Address))
      return false;
    Workers.push_back(
        std::make_unique<StandInWorker>(Loop, Client, History, Config));
    std::error_code Error = Workers.back()->listen();
    if (Error)
      std::cerr << Address << ": " << Error.message() << '\n';
    return !Error;
  }

  void startTraffic() {
    for (const auto &Worker : Workers)
      Worker->start();
    Instant Start = Loop.timers().now() + seconds(1);
    Loop.timers().scheduleAt(Start, [this] { Callers.beginSubmitting(); });
    Instant End = Start + toDuration(FLAGS_seconds);
    Loop.timers().scheduleAt(End, [this] { Callers.stopSubmitting(); });
    Loop.timers().scheduleEvery(milliseconds(100), [this, End] {
      bool IsFinished = Loop.timers().now() > End && Callers.isIdle();
      if (IsFinished ||
          Loop.timers().now() > End + toDuration(FLAGS_settle_seconds))
        Loop.stop();
    });
  }

  void printSummary() const {
    const CallerCounts &Counts = Callers.counts();
    std::vector<int64_t> Latencies = Counts.LatenciesMs;
    std::sort(Latencies.begin(), Latencies.end());
    auto Percentile = [&](size_t Percent) {
      return Latencies.empty()
                 ? 0
                 : Latencies[(Latencies.size() - 1) * Percent / 100];
    };
    std::cout << Json{{"submitted", Counts.Submitted},
                      {"accepted", Counts.Accepted},
                      {"refused", Counts.Refused},
                      {"unclear", Counts.Uncertain},
                      {"completed", Counts.Completed},
                      {"open", Callers.openJobCount()},
                      {"starts", History.Starts},
                      {"looks", History.Polls},
                      {"p50_ms", Percentile(50)},
                      {"p99_ms", Percentile(99)},
                      {"broken", History.Violations}}
                     .dump()
              << '\n';
  }

  EventLoop Loop;
  HttpClient Client;
  TaskHistory History;
  StandInCallers Callers;
  std::vector<std::unique_ptr<StandInWorker>> Workers;
};

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  Fleet StandIns;
  return StandIns.listen() ? StandIns.run() : EXIT_FAILURE;
}
