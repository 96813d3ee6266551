#include "Daemon/DaemonMain.h"

#include "Daemon/Settings.h"
#include "Daemon/Signals.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "JSON file with the daemon's settings");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_bool(schema, false, "print the JSON Schema of the settings and exit");

namespace mimosashunt {

bool startDaemon(int Count, char **Arguments, const std::string &Usage,
                 const Json &Schema, Json &Settings, std::string &File,
                 int &Status) {
  gflags::SetUsageMessage(Usage);
  gflags::SetVersionString(MIMOSASHUNT_VERSION);
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  Status = 0;
  if (FLAGS_schema) {
    std::cout << Schema.dump(2) << '\n';
    return false;
  }
  File = FLAGS_settings;
  std::string Diagnostic;
  if (!loadSettings(File, Schema, Settings, Diagnostic)) {
    std::cerr << Diagnostic << '\n';
    Status = BadSettingsStatus;
    return false;
  }
  blockStopSignals();
  return true;
}

void reportBadSettings(const std::string &File, const std::string &Diagnostic) {
  std::cerr << File << ": " << Diagnostic << '\n';
}

bool onlyChecks() { return FLAGS_check; }

} // namespace mimosashunt
