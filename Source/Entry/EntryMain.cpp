// Main program of the entry VM's daemon: reads the settings, then serves until
// a stop signal arrives.

#include "Daemon/DaemonMain.h"
#include "Daemon/Settings.h"
#include "Daemon/Signals.h"
#include "Entry/EntryDaemon.h"

#include <cstdlib>
#include <iostream>
#include <thread>

using namespace mimosashunt;

int main(int ArgumentCount, char **Arguments) {
  Json SettingsJson;
  std::string SettingsFile;
  int ExitStatus = 0;
  if (!startDaemon(ArgumentCount, Arguments,
                   "Serves callers and backend servers on an entry VM.",
                   EntrySettings::schema(), SettingsJson, SettingsFile,
                   ExitStatus))
    return ExitStatus;
  EntrySettings Settings;
  std::string Diagnostic;
  if (!EntrySettings::read(SettingsJson, Settings, Diagnostic)) {
    reportBadSettings(SettingsFile, Diagnostic);
    return BadSettingsStatus;
  }
  if (onlyChecks())
    return EXIT_SUCCESS;
  startLogging(Settings.LogLevel, Settings.LogAsJson);
  EntryDaemon Daemon(Settings);
  if (std::error_code Error = Daemon.listen()) {
    std::cerr << SettingsFile
              << ": keys 'listen', 'peerListen': " << Error.message()
              << "; expected: free addresses of this VM\n";
    return BadSettingsStatus;
  }
  std::thread([&Daemon] {
    waitForStopSignal();
    Daemon.stop();
  }).detach();
  Daemon.run();
  return EXIT_SUCCESS;
}
