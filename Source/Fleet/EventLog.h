// Structured log of the job path's daemons: one line of JSON per event, by
// default on standard output, through log4cxx. Logging never blocks: lines are
// buffered up to a limit, and lines that exceed it are dropped and counted.
// Lines that exceed the rate of one event name are also reported in the log.

#ifndef MIMOSASHUNT_FLEET_EVENTLOG_H
#define MIMOSASHUNT_FLEET_EVENTLOG_H

#include "Core/JsonFields.h"

#include <cstdint>
#include <functional>
#include <log4cxx/logger.h>
#include <map>
#include <memory>
#include <string>

namespace mimosashunt {

class LineBuffer;

/// Rate limit of one event name; lines beyond it are counted and dropped.
inline constexpr uint32_t MaxLinesPerSecond = 1000;
/// Rate limit of an event that anybody outside can cause.
inline constexpr uint32_t MaxRefusalLinesPerSecond = 20;
/// Texts from outside are cut to this length.
inline constexpr size_t MaxLoggedTextBytes = 200;

/// Writes events as lines of JSON.
class EventLog {
public:
  /// Each line contains \p Vm and \p Role. \p FileDescriptor is the descriptor
  /// that lines are written to; it is set to non-blocking mode.
  EventLog(std::string Vm, std::string Role, const std::string &Level,
           int FileDescriptor = 1);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Logs one event. \p EventName is its constant name, which limits its rate
  /// to \p MaxPerSecond lines per second.
  void log(const char *EventName, Json Fields = Json::object(),
           uint32_t MaxPerSecond = MaxLinesPerSecond);

  /// Writes buffered lines as far as the descriptor accepts them. Called at the
  /// end of each event loop iteration.
  void flush();

  uint64_t writtenBytes() const;
  uint64_t droppedLines() const { return DroppedLines; }

private:
  /// Counts a line of this event name. Returns false if it exceeds the rate
  /// limit of the current second.
  bool admitEvent(const char *EventName, uint32_t MaxPerSecond);

  const std::string Vm;
  const std::string Role;
  std::shared_ptr<LineBuffer> Buffer;
  log4cxx::LoggerPtr Logger;
  struct EventRate {
    int64_t Second = 0;           // Since the Unix epoch.
    uint32_t Count = 0;           // Lines in this second.
    uint64_t SuppressedLines = 0; // Since they were last reported.
  };
  std::map<std::string, EventRate, std::less<>> RatesByEvent;
  uint64_t DroppedLines = 0;
};

} // namespace mimosashunt

#endif
