// The only file that includes log4cxx.
#include "observe/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <array>

namespace radishyard {
namespace {

constexpr const char* kLoggerName = "radishyard";

log4cxx::LevelPtr ToLevel(severity level) {
  switch (level) {
    case severity::kTrace:
      return log4cxx::Level::getTrace();
    case severity::kDebug:
      return log4cxx::Level::getDebug();
    case severity::kInfo:
      return log4cxx::Level::getInfo();
    case severity::kWarn:
      return log4cxx::Level::getWarn();
    case severity::kError:
      break;
  }
  return log4cxx::Level::getError();
}

log4cxx::LoggerPtr& OpenedLogger() {
  static log4cxx::LoggerPtr logger;
  return logger;
}

void AppendValue(std::string& line, std::string_view value) {
  if (!value.empty() &&
      value.find_first_of(" \"=\n\\") == std::string_view::npos) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') line += '\\';
    line += c == '\n' ? ' ' : c;
  }
  line += '"';
}

}  // namespace

std::string FormatLine(std::string_view event,
                       std::initializer_list<log_field> fields) {
  std::string line = "event=";
  AppendValue(line, event);
  for (const log_field& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  return line;
}

void OpenLog(std::string_view program, severity least,
             const std::string& file) {
  const std::string pattern =
      "time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{UTC} level=%p program=" +
      std::string(program) + " %m%n";
  const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
  log4cxx::AppenderPtr appender;
  if (file == "-") {
    appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
  }
  log4cxx::LogManager::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  OpenedLogger() = log4cxx::Logger::getLogger(kLoggerName);
  OpenedLogger()->setLevel(ToLevel(least));
}

void Log(severity level, std::string_view event,
         std::initializer_list<log_field> fields) {
  const log4cxx::LoggerPtr& logger = OpenedLogger();
  if (!logger || !logger->isEnabledFor(ToLevel(level))) return;
  logger->forcedLog(ToLevel(level), FormatLine(event, fields));
}

}  // namespace radishyard
