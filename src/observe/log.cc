// Writes the log through log4cxx, within the line budget of each event.
#include "observe/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <mutex>

#include "observe/log_budget.h"
#include "observe/stdout_appender.h"

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

log4cxx::LoggerPtr& ProcessLogger() {
  static log4cxx::LoggerPtr logger;
  return logger;
}

/// The log budget that all threads of the process share.
struct shared_budget {
  std::mutex mutex;
  log_budget budget;
};

shared_budget& SharedBudget() {
  static shared_budget budget;
  return budget;
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

void OpenLog(std::string_view program, severity min_level,
             const std::string& file) {
  const std::string pattern =
      "time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{UTC} level=%p program=" +
      std::string(program) + " %m%n";
  const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
  log4cxx::AppenderPtr appender;
  if (file == "-") {
    appender = std::make_shared<internal::stdout_appender>();
    appender->setLayout(layout);
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
  }
  log4cxx::LogManager::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  ProcessLogger() = log4cxx::Logger::getLogger(kLoggerName);
  ProcessLogger()->setLevel(ToLevel(min_level));
}

void Log(severity level, std::string_view event,
         std::initializer_list<log_field> fields) {
  const log4cxx::LoggerPtr& logger = ProcessLogger();
  if (!logger || !logger->isEnabledFor(ToLevel(level))) return;
  shared_budget& shared = SharedBudget();
  const std::lock_guard lock(shared.mutex);
  const time_point now = std::chrono::steady_clock::now();
  for (const suppressed_lines& suppressed : StartNextSecond(shared.budget, now))
    logger->forcedLog(
        ToLevel(severity::kWarn),
        FormatLine("log_lines_suppressed",
                   {{"of", suppressed.event}, {"lines", suppressed.lines}}));
  if (AllowLine(shared.budget, event))
    logger->forcedLog(ToLevel(level), FormatLine(event, fields));
}

}  // namespace radishyard
