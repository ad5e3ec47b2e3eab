// Structured log: one line of key=value pairs for each event, through log4cxx.
#pragma once
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace radishyard {

/// \brief Severity of an event.
enum class severity : uint8_t { kTrace, kDebug, kInfo, kWarn, kError };

/// \brief One pair of a log line. Numbers and text alike are kept as text.
struct log_field {
  log_field(std::string_view k, std::string_view v) : key(k), value(v) {}
  log_field(std::string_view k, const char* v) : key(k), value(v) {}
  log_field(std::string_view k, uint64_t v)
      : key(k), value(std::to_string(v)) {}
  std::string_view key;
  std::string value;
};

/// \brief Opens the log. \param file path, or "-" for standard output, where a
/// line that its reader has no room for is dropped and counted.
void OpenLog(std::string_view program, severity least, const std::string& file);

/// \brief Writes one line: time=... level=... event=NAME key=value ...
///
/// Of one event, kLinesPerSecond lines are written in a second; the rest is
/// counted and told by one line, "log_lines_suppressed".
///
/// \code
/// Log(severity::kInfo, "table_adopted", {{"service", name}, {"version",
/// version}}); \endcode
void Log(severity level, std::string_view event,
         std::initializer_list<log_field> fields = {});

/// \brief A line's text without time and level; values with spaces or quotes
/// are quoted.
std::string FormatLine(std::string_view event,
                       std::initializer_list<log_field> fields);

}  // namespace radishyard
