// Startup code that the daemons' main functions share: command-line flags,
// settings and signals.

#ifndef MIMOSASHUNT_DAEMON_DAEMONMAIN_H
#define MIMOSASHUNT_DAEMON_DAEMONMAIN_H

#include "Core/JsonFields.h"

#include <string>

namespace mimosashunt {

/// Parses the flags --settings, --check and --schema, loads the settings and
/// blocks the stop signals. Returns false with the exit \p Status if the daemon
/// must exit. Otherwise \p Settings conforms to \p Schema and \p File is the
/// name of the settings file.
bool startDaemon(int Count, char **Arguments, const std::string &Usage,
                 const Json &Schema, Json &Settings, std::string &File,
                 int &Status);

/// Prints a one-line diagnostic about the settings to standard error.
void reportBadSettings(const std::string &File, const std::string &Diagnostic);

/// Returns true if --check was given: the daemon must exit once its settings
/// are checked.
bool onlyChecks();

} // namespace mimosashunt

#endif
