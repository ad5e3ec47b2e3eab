// Counts the log lines of each event within the current second.
#include "observe/log_budget.h"

namespace radishyard {

std::vector<suppressed_lines> StartNextSecond(log_budget& budget,
                                              time_point now) {
  std::vector<suppressed_lines> suppressed;
  if (now - budget.second_start < 1s) return suppressed;
  for (const auto& [event, counts] : budget.events)
    if (counts.suppressed > 0) suppressed.push_back({event, counts.suppressed});
  budget.events.clear();
  budget.second_start = now;
  return suppressed;
}

bool AllowLine(log_budget& budget, std::string_view event) {
  const auto found = budget.events.find(event);
  log_budget::line_counts& counts = found != budget.events.end()
                                        ? found->second
                                        : budget.events[std::string(event)];
  if (counts.written >= budget.max_lines_per_second) {
    ++counts.suppressed;
    return false;
  }
  ++counts.written;
  return true;
}

}  // namespace radishyard
