// Settings of a control VM's daemon.

#ifndef MIMOSASHUNT_CONTROL_CONTROLSETTINGS_H
#define MIMOSASHUNT_CONTROL_CONTROLSETTINGS_H

#include "Core/ControlCore.h"
#include "Links/SocketAddress.h"

#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

/// A control VM's addresses as all settings name them.
struct ControlPeer {
  ControlVm Vm;
  SocketAddress Rpc;
  SocketAddress Admin;
};

struct ControlSettings {
  ControlVm Self;
  SocketAddress RpcListen;
  SocketAddress AdminListen;
  std::string DataFolder;
  std::vector<ControlPeer> Peers; // This VM included.
  std::optional<SocketAddress> Platform;
  std::string LogLevel = "info";
  bool LogAsJson = false;
  std::string TraceFile;
  /// Lets anybody who reaches the admin address see the screen.
  bool OpenScreen = false;
  WavePolicy Waves = BudgetLimited{};
  size_t EntriesPerSnapshot = 2000;

  static Json schema();
  /// Reads settings that conform to schema(). Returns false with a one-line
  /// diagnostic for what the schema cannot express.
  static bool read(const Json &In, ControlSettings &Result,
                   std::string &Diagnostic);
};

} // namespace mimosashunt

#endif
