// Stand-in callers that speak the platform's HTTP interface on loopback. They
// submit jobs at a given mean rate, retry submissions that are not accepted,
// and poll each accepted job until it has ended.

#ifndef MIMOSASHUNT_TESTS_PLATFORM_STANDINCALLERS_H
#define MIMOSASHUNT_TESTS_PLATFORM_STANDINCALLERS_H

#include "Platform/StandInWorkers.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace mimosashunt::test {

/// Totals over all jobs of the callers.
struct CallerCounts {
  uint64_t Submitted = 0;
  uint64_t Accepted = 0;
  uint64_t Refused = 0;   // Jobs given up after every attempt was refused.
  uint64_t Uncertain = 0; // Jobs given up that may have been accepted.
  uint64_t Completed = 0;
  /// Per completed job, from its submission until a poll sees the completion.
  std::vector<int64_t> LatenciesMs;
};

/// Simulates all callers of the fleet.
class StandInCallers {
public:
  struct Settings {
    std::vector<SocketAddress> EntryAddresses;
    std::vector<SocketAddress> ControlAddresses;
    std::vector<std::string> Pools; // Each has a public queue per entry VM.
    double JobsPerSecond = 5;
    uint32_t Steps = 2;
    uint32_t TasksPerStep = 6;
    int64_t TaskDurationMs = 400;
    int64_t Cpu = 1800; // Thousandths of a core.
    uint32_t Seed = 1;
  };

  StandInCallers(EventLoop &Loop, HttpClient &Client, TaskHistory &History,
                 Settings InitialConfig);

  /// Uploads the configuration, with retries until it is accepted, and then
  /// calls \p Done.
  void uploadConfiguration(std::function<void()> Done);
  void beginSubmitting();
  void stopSubmitting() { IsSubmitting = false; }
  /// Number of accepted jobs that have not been seen to end.
  size_t openJobCount() const { return AcceptedJobs.size(); }
  /// True while no submission is pending and no accepted job is open.
  bool isIdle() const { return AcceptedJobs.empty() && PendingJobs.empty(); }
  const CallerCounts &counts() const { return Counts; }

private:
  struct Job {
    std::string Path;
    std::string Body;
    Instant SubmittedAt;
    int Attempts = 0;
    bool MaybeAccepted = false; // Some attempt had no definite answer.
  };

  /// Submits a job to a random pool and schedules the next one after an
  /// exponentially distributed gap, until stopSubmitting.
  void submitNextJob();
  void sendSubmission(const std::string &Id);
  /// Begins to poll an accepted job. Any other answer leads to a retry, until
  /// the attempts are used up.
  void handleSubmitResponse(const std::string &Id, const HttpResult &Result);
  void scheduleRetry(const std::string &Id);
  void pollJob(const std::string &Id);
  const SocketAddress &randomEntry();
  HttpRequest makeRequest(const char *Method, const std::string &Path) const;

  EventLoop &Loop;
  HttpClient &Client;
  TaskHistory &History;
  const Settings Config;
  std::mt19937_64 Random;
  bool IsSubmitting = false;
  size_t NextControl = 0;
  // Both by job id.
  std::map<std::string, Job> PendingJobs;
  std::map<std::string, Job> AcceptedJobs;
  CallerCounts Counts;
};

} // namespace mimosashunt::test

#endif
