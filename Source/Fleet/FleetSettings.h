// Settings of the job path's two daemons, the gateway on entry VMs and the
// scheduler on control VMs.

#ifndef MIMOSASHUNT_FLEET_FLEETSETTINGS_H
#define MIMOSASHUNT_FLEET_FLEETSETTINGS_H

#include "Core/JsonFields.h"
#include "Core/Time.h"
#include "Links/ClientLimits.h"
#include "Links/ConnectionPlan.h"
#include "Links/SocketAddress.h"

#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

/// Settings of one daemon. Sockets that a daemon does not use are unset.
struct FleetSettings {
  std::string Vm;
  std::string DataCentre;
  /// Address where the system's own processes reach this daemon.
  SocketAddress InternalListen;
  /// Control VMs that were known when the settings were written, by the
  /// addresses that operators and workers use.
  std::vector<SocketAddress> Seeds;
  std::optional<SocketAddress> MetricsListen;
  std::string LogLevel = "info";
  Duration StopGracePeriod = seconds(6); // From the stop signal to the kill.

  // Entry VMs.
  std::optional<SocketAddress> CallersListen;
  std::optional<SocketAddress> ReadyListen;

  // Control VMs.
  std::optional<SocketAddress> ControlListen;
  std::string DataFolder;
  /// True only when the whole system starts for the first time, with empty
  /// disks.
  bool FirstStart = false;
  std::optional<SocketAddress> PlatformAddress;
  std::optional<SocketAddress> AdviceAddress;
  /// Maximum rate of orders that the platform accepts from all daemons
  /// together.
  double PlatformOrdersPerSecond = 4;
  /// Longest lease that workers grant.
  Duration MaxLeaseDuration = seconds(6);
  /// A new leader issues no orders for a VM until this time has passed, since
  /// its predecessor's orders may still be carried out.
  Duration OrderGracePeriod = seconds(3);
  /// True if the platform refuses VM orders with a fencing token that is lower
  /// than one that it has seen.
  bool PlatformChecksTokens = false;
  /// Time that the maintenance of one VM takes.
  Duration MaintenanceDuration = seconds(2);
  /// Names of the data centres that operators may evacuate; if empty, those of
  /// the workers.
  std::vector<std::string> DataCentres;
  /// Commit on which workers a job may run before its first start there.
  bool RecordPlacements = false;
  /// Share scarce capacity between organisations by their weights.
  bool OrganisationShares = false;
  /// Let tasks wait for capacity near their data while that pays.
  bool LocalityWait = false;
  /// How many times as long a task runs far from its data.
  double RemoteFactor = 1;
  /// For how long callers may ask for the state of a job that has ended.
  Duration StatusRetention = seconds(120);
  /// Memory that this daemon may use, in MB.
  int64_t MemoryMb = 128;
  /// Descriptors that this daemon may have open.
  size_t MaxDescriptors = descriptorLimit();
  /// Of callers, where the configuration in force names no others.
  ClientLimits CallerLimits = {.MaxHeadBytes = 16384,
                               .MaxBodyBytes = 262144,
                               .HeadTimeout = seconds(3),
                               .IdleTimeout = seconds(15)};

  /// The seeds' internal addresses: their IP addresses with this VM's internal
  /// port, which is the same on each VM.
  std::vector<std::string> seedInternalAddresses() const;
  /// Address for operators and workers of the control VM that has the given
  /// internal address; empty if \p InternalAddress is empty.
  std::string controlAddressOf(const std::string &InternalAddress) const;

  /// JSON schema of the settings file.
  static Json schema();
  /// Reads settings that conform to schema(). Returns false and a one-line
  /// diagnostic if they violate a rule that the schema cannot express.
  static bool read(const Json &In, FleetSettings &Result,
                   std::string &Diagnostic);
};

} // namespace mimosashunt

#endif
