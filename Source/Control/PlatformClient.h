// Talks to the platform over HTTP: reads the states of VMs, and asks for drains
// and reboots.

#ifndef MIMOSASHUNT_CONTROL_PLATFORMCLIENT_H
#define MIMOSASHUNT_CONTROL_PLATFORMCLIENT_H

#include "Core/ControlPorts.h"
#include "Core/FleetStatus.h"
#include "Daemon/Tracing.h"
#include "Links/EventLoop.h"
#include "Links/HttpClient.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace mimosashunt {

class PlatformClient : public PlatformPort {
public:
  using Report = std::function<void(std::map<std::string, VmStatus>)>;

  /// Polls \p Address, if there is one, and hands each report to \p Take on
  /// the loop's thread.
  PlatformClient(EventLoop &Loop, std::optional<SocketAddress> Address,
                 const Tracing &Tracer, Report Take);

  /// Callable from any thread.
  void drainVm(const std::string &Vm) override;
  void rebootVm(const std::string &Vm) override;

private:
  void poll();
  void order(const std::string &Vm, const std::string &Action);

  EventLoop &Loop;
  HttpClient Client;
  const std::optional<SocketAddress> Address;
  const Tracing &Tracer;
  Report Take;
  bool Polling = false;
};

/// Parses the platform's list of VMs; none for a malformed one.
std::optional<std::map<std::string, VmStatus>>
parsePlatformReport(const std::string &Body);

} // namespace mimosashunt

#endif
