// Main function of mimosashunt-control, the daemon of a control VM.

#include "Control/ControlDaemon.h"
#include "Daemon/DaemonMain.h"
#include "Daemon/Settings.h"
#include "Daemon/Signals.h"

#include <cstdlib>
#include <iostream>
#include <thread>

using namespace mimosashunt;

int main(int Count, char **Arguments) {
  Json SettingsJson;
  std::string File;
  int Status = 0;
  if (!startDaemon(Count, Arguments,
                   "Keeps the agreed state of the fleet on a control VM.",
                   ControlSettings::schema(), SettingsJson, File, Status))
    return Status;
  ControlSettings Settings;
  std::string Diagnostic;
  if (!ControlSettings::read(SettingsJson, Settings, Diagnostic)) {
    reportBadSettings(File, Diagnostic);
    return BadSettingsStatus;
  }
  if (onlyChecks())
    return EXIT_SUCCESS;
  startLogging(Settings.LogLevel, Settings.LogAsJson);
  ControlDaemon Daemon(Settings);
  std::string FaultyKey;
  if (std::error_code Error = Daemon.open(FaultyKey)) {
    std::cerr << File << ": key '" << FaultyKey << "': " << Error.message()
              << "; expected: a free address and this VM's own data folder\n";
    return BadSettingsStatus;
  }
  std::thread([&Daemon] {
    waitForStopSignal();
    Daemon.stop();
  }).detach();
  return Daemon.run() ? EXIT_SUCCESS : EXIT_FAILURE;
}
