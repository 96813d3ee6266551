// Stand-in workers that speak the platform's HTTP interface on loopback, for
// tests with real daemons. They simulate each task for the duration in its
// payload, honour leases and fencing tokens, and record every start that
// violates a guarantee of the system.

#ifndef MIMOSASHUNT_TESTS_PLATFORM_STANDINWORKERS_H
#define MIMOSASHUNT_TESTS_PLATFORM_STANDINWORKERS_H

#include "Jobs/JobTypes.h"
#include "Links/EventLoop.h"
#include "Links/HttpClient.h"
#include "Links/HttpServer.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mimosashunt::test {

/// What all workers and callers together have observed. Each violated guarantee
/// adds one line to Violations.
struct TaskHistory {
  std::map<std::string, std::string> RunningOn; // From task id to worker id.
  std::set<std::string> CompletedTasks;
  std::set<std::string> SubmittedJobs; // Ids of jobs that callers submitted.
  /// Ids of jobs whose every submission was refused. They must never run.
  std::set<std::string> RefusedJobs;
  std::vector<std::string> Violations;
  uint64_t Starts = 0;
  uint64_t Polls = 0;
};

/// One simulated worker with its own HTTP server.
class StandInWorker {
public:
  struct Settings {
    std::string Id;
    std::string Pool;
    std::string Rack;
    SocketAddress Address;
    /// Control VMs that take reports. After a failed report the worker turns to
    /// the next one.
    std::vector<SocketAddress> ControlAddresses;
    int64_t Cores = 32;
  };

  StandInWorker(EventLoop &Loop, HttpClient &Client, TaskHistory &History,
                Settings InitialConfig);

  std::error_code listen() { return Server.listen(Config.Address); }
  /// Starts the periodic reports and lease checks.
  void start();

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;
  struct Run {
    uint32_t Attempt = 0;
    Instant StartedAt;
    int64_t DurationMs = 0;
    TimerId Timer = 0;
  };
  /// A run that has ended and that the leader has not yet acknowledged.
  struct EndedRun {
    uint64_t Number = 0;
    std::string Task;
    uint32_t Attempt = 0;
    const char *Outcome = "";
  };

  /// Refuses a fencing token below the highest one seen; otherwise dispatches
  /// by path.
  void handleRequest(const ExchangePtr &Exchange);
  void handleStart(const ExchangePtr &Exchange, const Json &Body);
  void handleStop(const ExchangePtr &Exchange, const Json &Body);
  void handlePoll(const ExchangePtr &Exchange, const Json &Body);
  /// Answers with all active runs and all unacknowledged ended ones.
  void answerPoll(const ExchangePtr &Exchange);
  /// Ends an active run with \p Outcome and answers all waiting polls.
  void endRun(const std::string &Task, const char *Outcome);
  /// Moves the end of the lease to \p RequestedEndMs on this worker's clock. It
  /// never moves back, nor beyond the longest lease from now.
  void extendLease(int64_t RequestedEndMs);
  void endRunsOfExpiredLease();
  void sendReport();
  /// Milliseconds since this worker was constructed.
  int64_t clockMs() const;
  void respondConflict(const ExchangePtr &Exchange, const char *Reason);
  /// Adds the worker's clock and incarnation to \p Body and sends it.
  void respond(const ExchangePtr &Exchange, int Status, Json Body);

  EventLoop &Loop;
  HttpClient &Client;
  TaskHistory &History;
  const Settings Config;
  const Instant StartedAt;
  const int64_t Incarnation; // Wall-clock time of the start, in milliseconds.
  HttpServer Server;
  size_t NextControl = 0;
  uint64_t Sequence = 0;
  uint64_t HighestToken = 0;
  int64_t LeaseEndMs = 0; // On the clock of clockMs().
  uint64_t LastEndNumber = 0;
  std::map<std::string, Run> Runs;
  std::map<std::string, uint32_t> HighestEndedAttempt;
  std::vector<EndedRun> EndedRuns;
  std::vector<ExchangePtr> WaitingPolls; // Polls that wait for a run to end.
};

} // namespace mimosashunt::test

#endif
