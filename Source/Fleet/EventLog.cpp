#include "Fleet/EventLog.h"

#include "Links/SystemTime.h"

#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/level.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/spi/loggingevent.h>
#include <string_view>
#include <type_traits>
#include <unistd.h>
#include <utility>

namespace mimosashunt {

namespace {

/// More buffered bytes than this are not kept; further lines are dropped.
constexpr size_t MaxPendingBytes = 1 << 20;

} // namespace

/// Buffers lines until the reader of the descriptor accepts them.
class LineBuffer {
public:
  explicit LineBuffer(int FileDescriptor) : FileDescriptor(FileDescriptor) {
    int Flags = fcntl(FileDescriptor, F_GETFL);
    if (Flags >= 0)
      fcntl(FileDescriptor, F_SETFL, Flags | O_NONBLOCK);
  }

  /// Returns false if the line does not fit.
  bool append(const std::string &Line) {
    if (Pending.size() + Line.size() > MaxPendingBytes)
      return false;
    Pending += Line;
    Pending += '\n';
    return true;
  }

  void flush() {
    size_t Offset = 0;
    while (Offset < Pending.size()) {
      ssize_t Count = write(FileDescriptor, Pending.data() + Offset,
                            Pending.size() - Offset);
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count <= 0)
        break;
      Offset += static_cast<size_t>(Count);
    }
    WrittenBytes += Offset;
    Pending.erase(0, Offset);
  }

  uint64_t WrittenBytes = 0;
  uint64_t RejectedLines = 0;

private:
  const int FileDescriptor;
  std::string Pending;
};

namespace {

/// Appends log4cxx's events to the buffer.
class BufferAppender : public log4cxx::AppenderSkeleton {
public:
  explicit BufferAppender(std::shared_ptr<LineBuffer> Buffer)
      : Buffer(std::move(Buffer)) {}

  void close() override {}
  bool requiresLayout() const override { return false; }

protected:
  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &) override {
    if (!Buffer->append(Event->getRenderedMessage()))
      ++Buffer->RejectedLines;
  }

private:
  std::shared_ptr<LineBuffer> Buffer;
};

} // namespace

EventLog::EventLog(std::string Vm, std::string Role, const std::string &Level,
                   int FileDescriptor)
    : Vm(std::move(Vm)), Role(std::move(Role)),
      Buffer(std::make_shared<LineBuffer>(FileDescriptor)),
      Logger(log4cxx::Logger::getLogger("events." + this->Vm)) {
  Logger->removeAllAppenders();
  Logger->setAdditivity(false);
  Logger->addAppender(std::make_shared<BufferAppender>(Buffer));
  Logger->setLevel(log4cxx::Level::toLevel(Level));
}

EventLog::~EventLog() {
  Buffer->flush();
  Logger->removeAllAppenders();
}

bool EventLog::admitEvent(const char *EventName, uint32_t MaxPerSecond) {
  constexpr int64_t MillisPerSecond = 1000;
  int64_t Second = wallNow() / MillisPerSecond;
  auto Found = RatesByEvent.find(std::string_view(EventName));
  if (Found == RatesByEvent.end())
    Found = RatesByEvent.try_emplace(EventName).first;
  EventRate &Rate = Found->second;
  if (Rate.Second != Second) {
    uint64_t SuppressedLines = std::exchange(Rate.SuppressedLines, 0);
    Rate.Second = Second;
    Rate.Count = 0;
    if (SuppressedLines > 0)
      log("lines_left_out", {{"of", EventName}, {"count", SuppressedLines}});
  }
  if (++Rate.Count <= MaxPerSecond)
    return true;
  ++Rate.SuppressedLines;
  ++DroppedLines;
  return false;
}

void EventLog::log(const char *EventName, Json Fields, uint32_t MaxPerSecond) {
  if (!Logger->isInfoEnabled() || !admitEvent(EventName, MaxPerSecond))
    return;
  Fields["at"] = wallNow();
  Fields["vm"] = Vm;
  Fields["role"] = Role;
  Fields["event"] = EventName;
  // LOG4CXX_INFO would first convert the line from the locale's character set.
  static_assert(std::is_same_v<log4cxx::LogString, std::string>);
  Logger->forcedLogLS(log4cxx::Level::getInfo(), toText(Fields),
                      LOG4CXX_LOCATION);
}

void EventLog::flush() {
  DroppedLines += std::exchange(Buffer->RejectedLines, 0);
  Buffer->flush();
}

uint64_t EventLog::writtenBytes() const { return Buffer->WrittenBytes; }

} // namespace mimosashunt
