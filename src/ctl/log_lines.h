// Log lines of the daemons, read back.
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
  std::string
      source;        ///< The file that it came from, and what stood before it.
  std::string time;  ///< As written; sorts by text.
  std::string event;
  std::map<std::string, std::string> fields;  ///< Without time and event.
  auto operator<=>(const log_line&) const = default;
};

/// \brief Reads a line of key=value pairs. The last word before "time=", such
/// as a collector's name of the VM, goes to the source. \returns nothing where
/// the line has no time or no event.
std::optional<log_line> ParseLogLine(std::string_view text,
                                     const std::string& source);

/// \brief Reads all lines of a log; lines of other programs are passed over.
std::vector<log_line> ReadLogLines(std::istream& in, const std::string& source);

/// \brief The field of that key, or "".
const std::string& Field(const log_line& line, const std::string& key);

}  // namespace radishyard
