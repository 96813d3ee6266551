// Settings of the control VM's daemon: their JSON schema and their values.

#ifndef MIMOSASHUNT_CONTROL_CONTROLSETTINGS_H
#define MIMOSASHUNT_CONTROL_CONTROLSETTINGS_H

#include "Core/ControlCore.h"
#include "Links/SocketAddress.h"

#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

/// A control VM and its addresses, as listed in the settings of every control
/// VM.
struct ControlPeer {
  ControlVm Vm;
  SocketAddress Rpc;
  SocketAddress Admin;
};

/// Settings of one control VM.
struct ControlSettings {
  ControlVm Self; // This VM.
  SocketAddress RpcListen;
  SocketAddress AdminListen;
  std::string DataFolder;
  std::vector<ControlPeer> Peers; // All control VMs, including this one.
  std::optional<SocketAddress> Platform;
  std::string LogLevel = "info";
  bool LogAsJson = false;
  std::string TraceFile; // Spans are dropped if empty.
  /// Shows the screen without an operator's key to anyone who can reach the
  /// admin address.
  bool IsScreenPublic = false;
  WavePolicy Waves = BudgetLimited{};
  /// Memory that this daemon may use, in MB.
  int64_t MemoryMb = 128;
  /// Number of log entries between snapshots.
  size_t EntriesPerSnapshot = 2000;

  /// Returns the JSON schema of the settings file.
  static Json schema();
  /// Reads settings that conform to schema(). Returns false with a one-line
  /// diagnostic if they break a rule that the schema cannot express: each VM is
  /// listed once, and this VM is one of the peers.
  static bool read(const Json &SettingsJson, ControlSettings &Result,
                   std::string &Diagnostic);
};

} // namespace mimosashunt

#endif
