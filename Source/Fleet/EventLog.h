// Structured log of the job path's daemons: one line of JSON for each event, on
// standard output, through log4cxx. Writing never blocks: lines wait in a
// bounded buffer, and what does not fit is counted and the count is logged.

#ifndef MIMOSASHUNT_FLEET_EVENTLOG_H
#define MIMOSASHUNT_FLEET_EVENTLOG_H

#include "Core/JsonFields.h"

#include <cstdint>
#include <log4cxx/logger.h>
#include <map>
#include <memory>
#include <string>

namespace mimosashunt {

class LineBuffer;

class EventLog {
public:
  /// \p Vm and \p Role stand in each line. \p File is where lines go.
  EventLog(std::string Vm, std::string Role, const std::string &Level,
           int File = 1);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Logs one event under its fixed \p Kind.
  void note(const char *Kind, Json Fields = Json::object());

  /// Hands what waits to the system; called at the end of each turn.
  void flush();

  uint64_t written() const;
  uint64_t dropped() const { return Dropped; }

private:
  bool withinRate(const char *Kind);

  const std::string Vm;
  const std::string Role;
  std::shared_ptr<LineBuffer> Buffer;
  log4cxx::LoggerPtr Logger;
  struct KindRate {
    int64_t Second = 0;
    uint32_t Count = 0;
    uint64_t LeftOut = 0;
  };
  std::map<std::string, KindRate> Rates;
  uint64_t Dropped = 0;
};

} // namespace mimosashunt

#endif
