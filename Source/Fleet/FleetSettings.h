// Settings of the two daemons of the job path.

#ifndef MIMOSASHUNT_FLEET_FLEETSETTINGS_H
#define MIMOSASHUNT_FLEET_FLEETSETTINGS_H

#include "Core/JsonFields.h"
#include "Core/Time.h"
#include "Links/SocketAddress.h"

#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

/// What both daemons are told.
struct FleetSettings {
  std::string Vm;
  std::string DataCentre;
  /// Where the system's own processes reach this one.
  SocketAddress Internal;
  /// Control VMs that were known when the settings were written: the addresses
  /// that operators and workers use.
  std::vector<SocketAddress> Seeds;
  std::optional<SocketAddress> MetricsListen;
  std::string LogLevel = "info";
  Duration Grace = seconds(6); // From the stop signal to the kill.

  // Entry VMs.
  std::optional<SocketAddress> CallersListen;
  std::optional<SocketAddress> ReadyListen;

  // Control VMs.
  std::optional<SocketAddress> ControlListen;
  std::string DataFolder;
  bool FirstStart = false; // The whole system starts for the first time.
  std::optional<SocketAddress> Platform;
  std::optional<SocketAddress> Advice;
  /// Most orders that the platform takes from all daemons together.
  double PlatformOrdersPerSecond = 4;
  /// Longest lease that workers grant.
  Duration LongestLease = seconds(6);
  /// Two leaders do not order the same VM within this time.
  Duration OrderPause = seconds(3);
  Duration MaintenanceTime = seconds(2);

  /// Addresses where the seeds' own processes listen.
  std::vector<std::string> seedsInternal() const;
  /// The control VM's address for operators and workers, by its internal one.
  std::string controlAddressOf(const std::string &InternalAddress) const;

  static Json schema();
  /// Reads settings that conform to schema(). Returns false with a one-line
  /// diagnostic for what the schema cannot express.
  static bool read(const Json &In, FleetSettings &Result,
                   std::string &Diagnostic);
};

} // namespace mimosashunt

#endif
