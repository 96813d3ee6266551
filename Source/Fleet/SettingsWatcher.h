// Watches the settings file and reports its new content, after a change of the
// file or a reload signal.

#ifndef MIMOSASHUNT_FLEET_SETTINGSWATCHER_H
#define MIMOSASHUNT_FLEET_SETTINGSWATCHER_H

#include "Fleet/FleetSettings.h"
#include "Links/EventLoop.h"

#include <functional>
#include <string>

namespace mimosashunt {

/// Polls the settings file for changes on the event loop.
class SettingsWatcher {
public:
  /// Runs with the settings if they are valid.
  using ChangeHandler = std::function<void(const FleetSettings &)>;
  /// Runs with a diagnostic if the settings are invalid; the old ones stay in
  /// force.
  using ErrorHandler = std::function<void(const std::string &Diagnostic)>;

  SettingsWatcher(EventLoop &Loop, std::string File, ChangeHandler OnChange,
                  ErrorHandler OnError);
  ~SettingsWatcher();
  SettingsWatcher(const SettingsWatcher &) = delete;
  SettingsWatcher &operator=(const SettingsWatcher &) = delete;

  /// Reads the file now, whether or not it has changed. Used for SIGHUP.
  void reload();

private:
  void checkForChange();
  std::string readFile() const;

  EventLoop &Loop;
  const std::string File;
  const ChangeHandler OnChange;
  const ErrorHandler OnError;
  std::string LastText; // Content at the last check, valid or not.
  TimerId Timer = 0;
};

} // namespace mimosashunt

#endif
