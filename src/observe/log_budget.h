// A limit on the log lines of each event per second, so that logging cannot
// take up most of a process's time, whatever its load.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace radishyard {

/// \brief Maximum number of lines of one event that are written per second.
inline constexpr uint32_t kMaxLinesPerEventPerSecond = 50;

/// \brief Number of lines of one event that were not written.
struct suppressed_lines {
  std::string event;
  uint64_t lines = 0;
  auto operator<=>(const suppressed_lines&) const = default;
};

/// \brief Limit and line counts of the current second, by event.
struct log_budget {
  struct line_counts {
    uint32_t written = 0;
    uint64_t suppressed = 0;
  };
  uint32_t max_lines_per_second = kMaxLinesPerEventPerSecond;  ///< Per event.
  time_point second_start{};  ///< Start of the current second.
  std::map<std::string, line_counts, std::less<>> events;
};

/// \brief Resets the counts if the current second has ended at `now`.
/// \returns the events that had lines suppressed in the second that ended;
/// empty if it has not ended.
std::vector<suppressed_lines> StartNextSecond(log_budget& budget,
                                              time_point now);

/// \brief Counts a line of `event` in the current second.
/// \returns true if the line may be written, false if it is suppressed.
bool AllowLine(log_budget& budget, std::string_view event);

}  // namespace radishyard
