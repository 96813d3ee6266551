// Loads settings files in JSON and checks them against a JSON schema. A
// diagnostic names the file, the key, the problem and the remedy in one line.

#ifndef MIMOSASHUNT_DAEMON_SETTINGS_H
#define MIMOSASHUNT_DAEMON_SETTINGS_H

#include "Core/JsonFields.h"

#include <string>

namespace mimosashunt {

/// A violation of a schema.
struct SchemaFault {
  std::string Key;     // Dotted path of the offending key.
  std::string Problem; // What is wrong with its value.
  std::string Remedy;  // What the schema expects instead.
};

/// Checks \p Value against \p Schema. Returns false with the first \p Fault if
/// it does not conform.
bool conforms(const Json &Value, const Json &Schema, SchemaFault &Fault);

/// Reads a settings file and checks it against \p Schema. Returns false with a
/// one-line diagnostic if the file is unreadable, malformed or does not
/// conform.
bool loadSettings(const std::string &File, const Json &Schema, Json &Settings,
                  std::string &Diagnostic);

/// Returns the schema of an "IP:port" string. conforms() and loadSettings()
/// also parse the address in every string with this format.
Json addressSchema(const std::string &Description);

/// Exit status of a daemon whose settings are invalid.
constexpr int BadSettingsStatus = 2;

} // namespace mimosashunt

#endif
