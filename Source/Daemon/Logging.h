// Logging for the daemons. Each component has a logger whose name precedes its
// messages.

#ifndef MIMOSASHUNT_DAEMON_LOGGING_H
#define MIMOSASHUNT_DAEMON_LOGGING_H

#include <log4cxx/logger.h>
#include <string>

namespace mimosashunt {

/// Configures logging to standard error, as text or as lines of JSON. \p Level
/// is the lowest level that is written: debug, info, warn or error.
void startLogging(const std::string &Level, bool AsJson);

/// Logger of one component of a daemon.
class Log {
public:
  explicit Log(const std::string &Component);

  void debug(const std::string &Message) const;
  void info(const std::string &Message) const;
  void warn(const std::string &Message) const;
  void error(const std::string &Message) const;

private:
  log4cxx::LoggerPtr Logger;
};

} // namespace mimosashunt

#endif
