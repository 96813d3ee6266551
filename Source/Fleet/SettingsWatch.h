// Notices that the settings file has changed, with or without a signal, and
// hands on what may change while a daemon runs.

#ifndef MIMOSASHUNT_FLEET_SETTINGSWATCH_H
#define MIMOSASHUNT_FLEET_SETTINGSWATCH_H

#include "Fleet/FleetSettings.h"
#include "Links/EventLoop.h"

#include <functional>
#include <string>

namespace mimosashunt {

class SettingsWatch {
public:
  /// Runs with settings that conform; a file that does not is left aside with
  /// its diagnostic.
  using Changed = std::function<void(const FleetSettings &)>;
  using Refused = std::function<void(const std::string &Diagnostic)>;

  SettingsWatch(EventLoop &Loop, std::string File, Changed Take,
                Refused Report);
  ~SettingsWatch();
  SettingsWatch(const SettingsWatch &) = delete;
  SettingsWatch &operator=(const SettingsWatch &) = delete;

  /// Reads the file now; for SIGHUP.
  void reload();

private:
  void check();
  std::string read() const;

  EventLoop &Loop;
  const std::string File;
  const Changed Take;
  const Refused Report;
  std::string Text; // As last taken in or refused.
  TimerId Timer = 0;
};

} // namespace mimosashunt

#endif
