#include "Fleet/SettingsWatch.h"

#include "Daemon/Settings.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace mimosashunt {

namespace {
/// Well within the time in which a change must be in force.
constexpr Duration CheckPeriod = seconds(1);
} // namespace

SettingsWatch::SettingsWatch(EventLoop &Loop, std::string File, Changed Take,
                             Refused Report)
    : Loop(Loop), File(std::move(File)), Take(std::move(Take)),
      Report(std::move(Report)), Text(read()) {
  Timer = Loop.timers().scheduleEvery(CheckPeriod, [this] { check(); });
}

SettingsWatch::~SettingsWatch() { Loop.timers().cancel(Timer); }

std::string SettingsWatch::read() const {
  std::ifstream In(File);
  std::stringstream Bytes;
  Bytes << In.rdbuf();
  return Bytes.str();
}

void SettingsWatch::check() {
  std::string Now = read();
  // An empty file is one that is just being written.
  if (Now.empty() || Now == Text)
    return;
  Text = std::move(Now);
  reload();
}

void SettingsWatch::reload() {
  Json In;
  FleetSettings Settings;
  std::string Diagnostic;
  if (loadSettings(File, FleetSettings::schema(), In, Diagnostic) &&
      FleetSettings::read(In, Settings, Diagnostic))
    Take(Settings);
  else
    Report(Diagnostic);
}

} // namespace mimosashunt
