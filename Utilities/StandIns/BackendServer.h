// A test double of a backend server: it announces itself to an entry VM by
// heartbeats, runs requests in its slots, and drains before it stops. Faulty
// behaviour can be selected for tests.

#ifndef MIMOSASHUNT_STANDINS_BACKENDSERVER_H
#define MIMOSASHUNT_STANDINS_BACKENDSERVER_H

#include "Core/EntryTypes.h"
#include "Daemon/Logging.h"
#include "Daemon/Tracing.h"
#include "Links/EventLoop.h"
#include "Links/HttpClient.h"
#include "Links/HttpServer.h"

#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosashunt {

/// How the server answers requests.
enum class BackendBehaviour {
  Normal,
  Silent,       // Runs requests but never answers.
  Failing,      // Answers every request with status 500.
  WrongAttempt, // Answers with the id of another attempt.
};

/// Identity, addresses and behaviour of a backend server.
struct BackendServerOptions {
  std::string Name;
  std::string Service;
  std::string Vm;
  SocketAddress Listen;
  /// Peer addresses of the entry VMs in the data centre of the server.
  std::vector<SocketAddress> Entries;
  /// Address of the platform; without it the VM is never drained.
  std::optional<SocketAddress> Platform;
  /// Requests that may run at once.
  uint32_t Slots = 8;
  /// Time that each request runs.
  Duration Work = milliseconds(5);
  BackendBehaviour Behaviour = BackendBehaviour::Normal;
  /// File to which the attempt and request id of each run are appended when it
  /// starts, for tests. Empty disables it.
  std::string JournalFile;
  /// File to which the start and end of each ended run are appended. Empty
  /// disables it.
  std::string TimesFile;
  std::string TraceFile;
};

/// Serves requests on its own event loop until it is stopped.
class BackendServer {
public:
  explicit BackendServer(BackendServerOptions Options);

  std::error_code listen() { return Server.listen(Options.Listen); }
  void run() { Loop.run(); }
  /// Drains the running requests and then ends run(). Thread-safe.
  void stop();

private:
  struct Run {
    std::shared_ptr<HttpExchange> Exchange;
    SpanPtr Span;
    TimerId EndTimer = 0;
    Instant StartedAt;
  };

  /// Runs a request, or refuses it if its session is not valid, all slots are
  /// used or the attempt runs already.
  void onRequest(const std::shared_ptr<HttpExchange> &Exchange);
  /// Answers the request of a run; \p Stopped is true if it hit its run
  /// timeout.
  void endRun(const AttemptId &Attempt, bool Stopped);
  /// Answers that the attempt was not run.
  void refuse(HttpExchange &Exchange, const AttemptId &Attempt);
  bool hasValidSession() const;
  /// Announces the server to its entry VM unless an announcement is in flight.
  void heartbeat();
  void handleAnnouncementReply(Instant SentAt, uint64_t SentEpoch,
                               const HttpResult &Result);
  /// Switches to the next entry VM and starts a new session.
  void switchEntryVm();
  /// Reports to the platform whether the server runs; the reply holds the state
  /// of the VM.
  void reportToPlatform();
  void handlePlatformReply(const HttpResult &Result);
  /// Stops the event loop once no request runs and either the owner has
  /// released the server or LeaveTimeout has passed.
  void stopIfDrained();

  const BackendServerOptions Options;
  const Log Logger;
  EventLoop Loop;
  HttpServer Server;
  HttpClient Client;
  Tracing Tracer;
  std::ofstream Journal;
  std::ofstream Times; // Start and end of ended runs in microseconds.
  std::map<AttemptId, Run> Running;
  uint64_t Epoch; // Identifies the session; grows with each new one.
  /// Index of the entry VM that announcements are sent to.
  size_t EntryIndex = 0;
  /// Peer address of the owner; empty while no entry VM answers.
  std::string OwnerAddress;
  Instant SessionExpiry; // Requests are refused from this time on.
  bool AnnouncementInFlight = false;
  bool Leaving = false;
  bool Released = false; // The owner has confirmed the leave.
  bool Stopping = false;
  Instant LeaveStartedAt;
};

} // namespace mimosashunt

#endif
