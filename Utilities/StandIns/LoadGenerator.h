// Sends requests through entry VMs, checks that each answer is complete and
// belongs to its request, and counts every outcome.

#ifndef MIMOSASHUNT_STANDINS_LOADGENERATOR_H
#define MIMOSASHUNT_STANDINS_LOADGENERATOR_H

#include "Core/JsonFields.h"
#include "Daemon/Metrics.h"
#include "Daemon/Tracing.h"
#include "Links/EventLoop.h"
#include "Links/HttpClient.h"

#include <map>
#include <string>
#include <vector>

namespace mimosashunt {

/// Target, rate and content of the generated load.
struct LoadOptions {
  std::vector<SocketAddress> Entries;
  std::string Key; // If empty, no key is sent.
  std::string Queue;
  /// Requests to send.
  uint64_t Count = 1000;
  /// Senders, each with at most one request in flight.
  uint32_t Concurrency = 32;
  /// Stops sending after this time; zero means no limit.
  Duration TimeLimit = Duration::zero();
  /// Pause of each sender between requests.
  Duration Pause = Duration::zero();
  /// Sends POST, which is not idempotent, instead of PUT.
  bool Post = true;
  /// Gives each request an id and retries it with the same id if its answer is
  /// lost.
  bool WithIds = false;
  size_t BodyBytes = 64;
  /// Sends to backend servers directly, without entry VMs, as a baseline.
  bool Direct = false;
  std::string TraceFile;
  /// Samples one trace in this many requests.
  unsigned TraceEvery = 100;
};

/// Sends the load on its own event loop.
class LoadGenerator {
public:
  explicit LoadGenerator(LoadOptions Options);

  /// Sends all requests, waits for their results, and returns the counts of the
  /// outcomes, the throughput and the latency quantiles.
  Json run();

private:
  void sendNext();
  void send(const std::string &Body, const std::string &Id, unsigned Attempt);
  void handleResult(const std::string &Body, const std::string &Id,
                    unsigned Attempt, Instant Started,
                    const HttpResult &Result);
  /// Counts the outcome of an answer and checks its body.
  void classify(const std::string &Body, const HttpResponse &Response);
  /// Lets the sender go on with its next request, after its pause.
  void finishRequest();
  /// Returns true once no more requests are to be started.
  bool isFinished() const;

  const LoadOptions Options;
  EventLoop Loop;
  HttpClient Client;
  Metrics LoadMetrics;
  prometheus::Summary &Latency;
  Tracing Tracer;
  uint64_t Sent = 0;
  uint64_t InFlight = 0;
  uint64_t WrongAnswers = 0;
  uint64_t CutOff = 0; // Requests whose connection was lost before the answer.
  Instant StartedAt;
  Instant LastAccepted;
  std::map<std::string, uint64_t> Outcomes;
  std::string IdPrefix; // Starts all request ids, unique to this run.
};

} // namespace mimosashunt

#endif
