// Parses the log lines of balancers.
#pragma once
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishyard {

/// \brief One line of a collected log.
struct log_line {
  /// Name of the log file; if a word precedes the line's time, ":" and the
  /// word.
  std::string source;
  std::string time;  ///< As written. Its text sorts in order of time.
  std::string event;
  std::map<std::string, std::string> fields;  ///< All except time and event.
  auto operator<=>(const log_line&) const = default;
};

/// \brief Parses a line of key=value pairs. The last word before "time=", such
/// as the VM name that a log collector adds, is appended to the source.
/// \param source name of the log file.
/// \returns nothing if the line has no time or no event.
std::optional<log_line> ParseLogLine(std::string_view text,
                                     const std::string& source);

/// \brief Reads all lines of a log. Lines that ParseLogLine() does not accept,
/// such as those of other programs, are skipped.
std::vector<log_line> ReadLogLines(std::istream& in, const std::string& source);

/// \brief Returns the value of the field `key`, or "" if there is none.
const std::string& FieldOrEmpty(const log_line& line, const std::string& key);

}  // namespace radishyard
