#include "Daemon/Logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace mimosashunt {

void startLogging(const std::string &Level, bool AsJson) {
  log4cxx::LayoutPtr Layout;
  if (AsJson)
    Layout = std::make_shared<log4cxx::JSONLayout>();
  else
    Layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %c: %m%n"));
  auto Appender = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::configure(Appender);
  log4cxx::LoggerPtr Root = log4cxx::Logger::getRootLogger();
  Root->setLevel(log4cxx::Level::toLevel(Level));
}

Log::Log(const std::string &Component)
    : Logger(log4cxx::Logger::getLogger(Component)) {}

void Log::debug(const std::string &Message) const {
  LOG4CXX_DEBUG(Logger, Message);
}
void Log::info(const std::string &Message) const {
  LOG4CXX_INFO(Logger, Message);
}
void Log::warn(const std::string &Message) const {
  LOG4CXX_WARN(Logger, Message);
}
void Log::error(const std::string &Message) const {
  LOG4CXX_ERROR(Logger, Message);
}

} // namespace mimosashunt
