// Start-up and signal handling shared by the main functions of the job path's
// daemons.

#ifndef MIMOSASHUNT_FLEET_FLEETMAIN_H
#define MIMOSASHUNT_FLEET_FLEETMAIN_H

#include "Daemon/DaemonMain.h"
#include "Daemon/Settings.h"
#include "Daemon/Signals.h"
#include "Fleet/FleetSettings.h"

#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace mimosashunt {

/// Parses the command line and reads the settings file, whose name is stored in
/// \p SettingsFile. Returns false and sets \p Status to the exit status if the
/// daemon must not run: the settings are invalid or were only to be checked.
inline bool loadFleetSettings(int ArgumentCount, char **Arguments,
                              const std::string &Usage, FleetSettings &Settings,
                              std::string &SettingsFile, int &Status) {
  Json Document;
  if (!startDaemon(ArgumentCount, Arguments, Usage, FleetSettings::schema(),
                   Document, SettingsFile, Status))
    return false;
  std::string Diagnostic;
  if (FleetSettings::read(Document, Settings, Diagnostic))
    return !onlyChecks();
  reportBadSettings(SettingsFile, Diagnostic);
  Status = BadSettingsStatus;
  return false;
}

/// Opens a daemon and runs it with \p Run until a stop signal; a reload signal
/// reloads its settings. Returns the exit status.
template <class Daemon, class RunFunction>
int runFleetDaemon(Daemon &Instance, const std::string &SettingsFile,
                   RunFunction Run) {
  std::string Key;
  if (std::error_code Error = Instance.open(Key)) {
    std::cerr << SettingsFile << ": key '" << Key << "': " << Error.message()
              << "; expected: a free address and this VM's own data folder\n";
    return BadSettingsStatus;
  }
  std::thread([&Instance] {
    while (waitForSignal() == DaemonSignal::Reload)
      Instance.reload();
    Instance.stop();
  }).detach();
  return Run() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace mimosashunt

#endif
