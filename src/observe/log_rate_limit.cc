// Counts the log lines of each event within the current second.
#include "observe/log_rate_limit.h"

namespace radishyard {

std::vector<suppressed_lines> StartNextSecond(log_rate_limit& limit,
                                              time_point now) {
  std::vector<suppressed_lines> suppressed;
  if (now - limit.second_start < 1s) return suppressed;
  for (const auto& [event, counts] : limit.events)
    if (counts.suppressed > 0) suppressed.push_back({event, counts.suppressed});
  limit.events.clear();
  limit.second_start = now;
  return suppressed;
}

bool AllowLine(log_rate_limit& limit, std::string_view event) {
  const auto found = limit.events.find(event);
  log_rate_limit::line_counts& counts = found != limit.events.end()
                                            ? found->second
                                            : limit.events[std::string(event)];
  if (counts.written >= limit.max_lines_per_second) {
    ++counts.suppressed;
    return false;
  }
  ++counts.written;
  return true;
}

}  // namespace radishyard
