// What the main functions of the job path's daemons share.

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

/// Reads the settings. Returns false with the exit status if the daemon must
/// not go on.
inline bool startFleetDaemon(int Count, char **Arguments,
                             const std::string &Usage, FleetSettings &Settings,
                             std::string &File, int &Status) {
  Json In;
  if (!startDaemon(Count, Arguments, Usage, FleetSettings::schema(), In, File,
                   Status))
    return false;
  std::string Diagnostic;
  if (FleetSettings::read(In, Settings, Diagnostic))
    return !onlyChecks();
  reportBadSettings(File, Diagnostic);
  Status = BadSettingsStatus;
  return false;
}

/// Opens and runs a daemon until a stop signal; returns the exit status.
template <class Daemon, class Runner>
int runFleetDaemon(Daemon &Served, const std::string &File, Runner Run) {
  std::string Key;
  if (std::error_code Error = Served.open(Key)) {
    std::cerr << File << ": key '" << Key << "': " << Error.message()
              << "; expected: a free address and this VM's own data folder\n";
    return BadSettingsStatus;
  }
  std::thread([&Served] {
    while (waitForSignal() == DaemonSignal::Reload)
      Served.reload();
    Served.stop();
  }).detach();
  return Run() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace mimosashunt

#endif
