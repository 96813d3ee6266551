#include "Fleet/EventLog.h"

#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/level.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/spi/loggingevent.h>
#include <unistd.h>
#include <utility>

namespace mimosashunt {

namespace {

constexpr size_t MaxWaitingBytes = 1 << 20;
/// Lines of one kind in a second; more are counted and left out.
constexpr uint32_t MaxLinesPerSecond = 1000;

int64_t wallMillis() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
}

} // namespace

/// Lines that wait until the reader takes them.
class LineBuffer {
public:
  explicit LineBuffer(int File) : File(File) {
    int Flags = fcntl(File, F_GETFL);
    if (Flags >= 0)
      fcntl(File, F_SETFL, Flags | O_NONBLOCK);
  }

  bool add(const std::string &Line) {
    if (Waiting.size() + Line.size() > MaxWaitingBytes)
      return false;
    Waiting += Line;
    Waiting += '\n';
    return true;
  }

  void flush() {
    size_t Done = 0;
    while (Done < Waiting.size()) {
      ssize_t Count = write(File, Waiting.data() + Done, Waiting.size() - Done);
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count <= 0)
        break;
      Done += static_cast<size_t>(Count);
    }
    Written += Done;
    Waiting.erase(0, Done);
  }

  uint64_t Written = 0;
  uint64_t Refused = 0;

private:
  const int File;
  std::string Waiting;
};

namespace {

/// Hands log4cxx's events to the buffer.
class BufferAppender : public log4cxx::AppenderSkeleton {
public:
  explicit BufferAppender(std::shared_ptr<LineBuffer> To) : To(std::move(To)) {}

  void close() override {}
  bool requiresLayout() const override { return false; }

protected:
  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &) override {
    if (!To->add(Event->getRenderedMessage()))
      ++To->Refused;
  }

private:
  std::shared_ptr<LineBuffer> To;
};

} // namespace

EventLog::EventLog(std::string Vm, std::string Role, const std::string &Level,
                   int File)
    : Vm(std::move(Vm)), Role(std::move(Role)),
      Buffer(std::make_shared<LineBuffer>(File)),
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

bool EventLog::withinRate(const char *Kind) {
  constexpr int64_t MillisPerSecond = 1000;
  int64_t Second = wallMillis() / MillisPerSecond;
  KindRate &Rate = Rates[Kind];
  if (Rate.Second != Second) {
    uint64_t LeftOut = std::exchange(Rate.LeftOut, 0);
    Rate.Second = Second;
    Rate.Count = 0;
    if (LeftOut > 0)
      note("lines_left_out", {{"of", Kind}, {"count", LeftOut}});
  }
  if (++Rate.Count <= MaxLinesPerSecond)
    return true;
  ++Rate.LeftOut;
  ++Dropped;
  return false;
}

void EventLog::note(const char *Kind, Json Fields) {
  if (!Logger->isInfoEnabled() || !withinRate(Kind))
    return;
  Fields["at"] = wallMillis();
  Fields["vm"] = Vm;
  Fields["role"] = Role;
  Fields["event"] = Kind;
  LOG4CXX_INFO(Logger,
               Fields.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void EventLog::flush() {
  Dropped += std::exchange(Buffer->Refused, 0);
  Buffer->flush();
}

uint64_t EventLog::written() const { return Buffer->Written; }

} // namespace mimosashunt
