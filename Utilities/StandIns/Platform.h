// A test double of the platform: an HTTP server for simulated VMs, whose tasks
// report to it and which can be drained, rebooted and failed.

#ifndef MIMOSASHUNT_STANDINS_PLATFORM_H
#define MIMOSASHUNT_STANDINS_PLATFORM_H

#include "Core/JsonFields.h"
#include "Daemon/Tracing.h"
#include "Links/EventLoop.h"
#include "Links/HttpServer.h"

#include <map>
#include <memory>
#include <string>

namespace mimosashunt {

/// Serves the state of simulated VMs on its own event loop.
class Platform {
public:
  /// A reboot takes \p RebootTime. A VM is created by the first request that
  /// names it. Spans are appended to \p TraceFile unless the name is empty.
  Platform(Duration RebootTime, const std::string &TraceFile);

  std::error_code listen(const SocketAddress &At) { return Server.listen(At); }
  void run() { Loop.run(); }
  void stop() { Loop.stop(); }

private:
  struct Vm {
    std::string State = "up";
    uint64_t Boots = 1;
    /// Time at which each task last reported that it runs.
    std::map<std::string, Instant> Tasks;
  };

  void onRequest(const std::shared_ptr<HttpExchange> &Exchange);
  /// Applies an action or a task report to a VM and returns its description.
  Json applyAction(const std::string &Name, const std::string &Action,
                   const std::string &Body);
  /// Removes tasks that stopped reporting, and marks a draining VM without
  /// tasks as drained.
  void updateState(const std::string &Name);
  /// Returns the state of a VM as JSON.
  Json describeVm(const std::string &Name) const;

  const Duration RebootTime;
  const Tracing Tracer;
  EventLoop Loop;
  HttpServer Server;
  std::map<std::string, Vm> Vms;
};

} // namespace mimosashunt

#endif
