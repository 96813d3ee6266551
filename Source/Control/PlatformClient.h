// HTTP client of the platform: polls the states of VMs and requests drains and
// reboots.

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

/// Polls the platform and sends it actions. Without an address it does neither.
class PlatformClient : public PlatformPort {
public:
  using ReportCallback = std::function<void(std::map<std::string, VmStatus>)>;

  /// Polls \p Address, if there is one, and passes each valid report to
  /// \p OnReport on the loop's thread. Failed polls are ignored.
  PlatformClient(EventLoop &Loop, std::optional<SocketAddress> Address,
                 const Tracing &Tracer, ReportCallback OnReport);

  /// These may be called from any thread. The platform's response is ignored.
  void drainVm(const std::string &Vm) override;
  void rebootVm(const std::string &Vm) override;

private:
  /// Requests the list of VMs, unless the previous request is in flight.
  void poll();
  /// Posts \p Action ("drain" or "reboot") for a VM.
  void sendAction(const std::string &Vm, const std::string &Action);

  EventLoop &Loop;
  HttpClient Client;
  const std::optional<SocketAddress> Address;
  const Tracing &Tracer;
  ReportCallback OnReport;
  bool IsPolling = false;
};

/// Parses the platform's list of VMs. Returns nothing if it is malformed.
std::optional<std::map<std::string, VmStatus>>
parsePlatformReport(const std::string &Body);

} // namespace mimosashunt

#endif
