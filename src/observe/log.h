// Structured logging through log4cxx: one line of key=value pairs per event.
#pragma once
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace radishyard {

/// \brief Severity of an event.
enum class severity : uint8_t { kTrace, kDebug, kInfo, kWarn, kError };

/// \brief One key=value pair of a log line. Numbers are converted to text.
struct log_field {
  log_field(std::string_view k, std::string_view v) : key(k), value(v) {}
  log_field(std::string_view k, const char* v) : key(k), value(v) {}
  log_field(std::string_view k, uint64_t v)
      : key(k), value(std::to_string(v)) {}
  std::string_view key;
  std::string value;
};

/// \brief Opens the log. Until then, Log() writes nothing.
/// \param program name that each line carries.
/// \param min_level lowest severity that is written.
/// \param file path to append to, or "-" for standard output. A line that does
/// not fit into the pipe behind standard output is dropped and counted.
void OpenLog(std::string_view program, severity min_level,
             const std::string& file);

/// \brief Writes one line: time=... level=... event=NAME key=value ...
///
/// At most kMaxLinesPerEventPerSecond lines of one event are written per
/// second. The lines beyond that are counted; the first call after that second
/// logs the count as the event "log_lines_suppressed".
///
/// \code
/// Log(severity::kInfo, "service_adopted",
///     {{"service", name}, {"version", version}});
/// \endcode
void Log(severity level, std::string_view event,
         std::initializer_list<log_field> fields = {});

/// \brief Formats a line without its time and level. Values that are empty or
/// contain spaces, quotes, backslashes, equals signs or line feeds are quoted.
std::string FormatLine(std::string_view event,
                       std::initializer_list<log_field> fields);

}  // namespace radishyard
