// Counting lines by event.
#include "observe/log_rate_limit.h"

namespace radishyard {

std::vector<suppressed_lines> Renew(log_budget& budget, time_point now) {
  std::vector<suppressed_lines> left_out;
  if (now - budget.second < 1s) return left_out;
  for (const auto& [event, spent] : budget.events)
    if (spent.suppressed > 0) left_out.push_back({event, spent.suppressed});
  budget.events.clear();
  budget.second = now;
  return left_out;
}

bool Admit(log_budget& budget, std::string_view event) {
  const auto found = budget.events.find(event);
  log_budget::spent& spent = found != budget.events.end()
                                 ? found->second
                                 : budget.events[std::string(event)];
  if (spent.written >= budget.lines_per_second) {
    ++spent.suppressed;
    return false;
  }
  ++spent.written;
  return true;
}

}  // namespace radishyard
