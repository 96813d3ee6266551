// Workers that speak the platform's wire on loopback, for tests and trials with
// real daemons. They run what they are told for as long as its payload says,
// under leases and fencing tokens, and note each start that breaks a promise.

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

/// What all workers together have seen of tasks; one promise broken is a line.
struct TaskBook {
  std::map<std::string, std::string> RunningOn; // Task to worker id.
  std::set<std::string> DoneOnce;
  std::set<std::string> Submitted; // Ids of jobs that callers handed in.
  std::set<std::string> Refused;   // Ids whose every try was refused.
  std::vector<std::string> Broken;
  uint64_t Starts = 0;
  uint64_t Looks = 0;
};

class StandInWorker {
public:
  struct Settings {
    std::string Id;
    std::string Pool;
    std::string Rack;
    SocketAddress Address;
    std::vector<SocketAddress> Control; // Where reports go.
    int64_t Cores = 32;
  };

  StandInWorker(EventLoop &Loop, HttpClient &Client, TaskBook &Book,
                Settings Given);

  std::error_code listen() { return Server.listen(Own.Address); }
  /// Begins to report itself.
  void begin();

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;
  struct Run {
    uint32_t Attempt = 0;
    Instant Began;
    int64_t LengthMs = 0;
    TimerId Timer = 0;
  };
  struct End {
    uint64_t Number = 0;
    std::string Task;
    uint32_t Attempt = 0;
    const char *How = "";
  };

  void onRequest(const ExchangePtr &Exchange);
  void onStart(const ExchangePtr &Exchange, const Json &Body);
  void onStop(const ExchangePtr &Exchange, const Json &Body);
  void onLook(const ExchangePtr &Exchange, const Json &Body);
  void answerLook(const ExchangePtr &Exchange);
  void finish(const std::string &Task, const char *How);
  void renew(int64_t UntilMs);
  void checkLease();
  void report();
  int64_t clockMs() const;
  void refuse(const ExchangePtr &Exchange, const char *Reason);
  void answer(const ExchangePtr &Exchange, int Status, Json Body);

  EventLoop &Loop;
  HttpClient &Client;
  TaskBook &Book;
  const Settings Own;
  const Instant Began;
  const int64_t Born;
  HttpServer Server;
  size_t NextControl = 0;
  uint64_t Sequence = 0;
  uint64_t Token = 0;
  int64_t LeaseUntilMs = 0;
  uint64_t LastNumber = 0;
  std::map<std::string, Run> Runs;
  std::map<std::string, uint32_t> HighestEnded;
  std::vector<End> Ends;
  std::vector<ExchangePtr> Waiting; // Looks that wait for an end.
};

} // namespace mimosashunt::test

#endif
