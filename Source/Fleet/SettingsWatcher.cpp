#include "Fleet/SettingsWatcher.h"

#include "Daemon/Settings.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace mimosashunt {

namespace {
/// Well below the time within which a change must be in force.
constexpr Duration CheckInterval = seconds(1);
} // namespace

SettingsWatcher::SettingsWatcher(EventLoop &Loop, std::string File,
                                 ChangeHandler OnChange, ErrorHandler OnError)
    : Loop(Loop), File(std::move(File)), OnChange(std::move(OnChange)),
      OnError(std::move(OnError)), LastText(readFile()) {
  Timer =
      Loop.timers().scheduleEvery(CheckInterval, [this] { checkForChange(); });
}

SettingsWatcher::~SettingsWatcher() { Loop.timers().cancel(Timer); }

std::string SettingsWatcher::readFile() const {
  std::ifstream Input(File);
  std::stringstream Bytes;
  Bytes << Input.rdbuf();
  return Bytes.str();
}

void SettingsWatcher::checkForChange() {
  std::string NewText = readFile();
  // An empty file is one that is still being written.
  if (NewText.empty() || NewText == LastText)
    return;
  LastText = std::move(NewText);
  reload();
}

void SettingsWatcher::reload() {
  Json Document;
  FleetSettings Settings;
  std::string Diagnostic;
  if (loadSettings(File, FleetSettings::schema(), Document, Diagnostic) &&
      FleetSettings::read(Document, Settings, Diagnostic))
    OnChange(Settings);
  else
    OnError(Diagnostic);
}

} // namespace mimosashunt
