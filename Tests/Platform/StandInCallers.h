// Callers that speak the platform's wire on loopback: they hand jobs in at a
// steady rate, come back as they are told, and ask for the state until a job
// has ended.

#ifndef MIMOSASHUNT_TESTS_PLATFORM_STANDINCALLERS_H
#define MIMOSASHUNT_TESTS_PLATFORM_STANDINCALLERS_H

#include "Platform/StandInWorkers.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace mimosashunt::test {

struct CallerCounts {
  uint64_t Submitted = 0;
  uint64_t Accepted = 0;
  uint64_t Refused = 0; // Jobs given up after refusals alone.
  uint64_t Unclear = 0; // Jobs given up without a clear answer.
  uint64_t Completed = 0;
  std::vector<int64_t> TookMs; // Of each completed job, by polling.
};

class StandInCallers {
public:
  struct Settings {
    std::vector<SocketAddress> Entries;
    std::vector<SocketAddress> Control;
    std::vector<std::string> Pools; // Each with one open queue.
    double JobsPerSecond = 5;
    uint32_t Steps = 2;
    uint32_t Width = 6;
    int64_t TaskMs = 400;
    int64_t Cpu = 1800; // Thousandths of a core.
    uint32_t Seed = 1;
  };

  StandInCallers(EventLoop &Loop, HttpClient &Client, TaskBook &Book,
                 Settings Given);

  /// Puts the configuration in force, then calls \p Ready.
  void configure(std::function<void()> Ready);
  void beginSubmitting();
  void stopSubmitting() { Submitting = false; }
  /// Jobs that were accepted and are not known to have ended.
  size_t open() const { return Open.size(); }
  /// True once no job is asked for or awaited any more.
  bool idle() const { return Open.empty() && Asking.empty(); }
  const CallerCounts &counts() const { return Counts; }

private:
  struct Job {
    std::string Path;
    std::string Body;
    Instant Began;
    int Tries = 0;
    bool MaybeTaken = false; // Some try had no clear answer.
  };

  void submit();
  void send(const std::string &Id);
  void answered(const std::string &Id, const HttpResult &Result);
  void tryAgain(const std::string &Id);
  void poll(const std::string &Id);
  const SocketAddress &anyEntry();
  HttpRequest request(const char *Method, const std::string &Path) const;

  EventLoop &Loop;
  HttpClient &Client;
  TaskBook &Book;
  const Settings Own;
  std::mt19937_64 Random;
  bool Submitting = false;
  size_t NextControl = 0;
  std::map<std::string, Job> Asking;
  std::map<std::string, Job> Open;
  CallerCounts Counts;
};

} // namespace mimosashunt::test

#endif
