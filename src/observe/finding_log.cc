// Remembers findings for one interval.
#include "observe/finding_log.h"

namespace radishyard {

std::vector<finding> SelectUnlogged(finding_log& log, const findings& found,
                                    time_point now) {
  std::erase_if(log.logged_at, [now](const auto& item) {
    return now - item.second >= kFindingLogInterval;
  });
  std::vector<finding> selected;
  for (const finding& element : found.list()) {
    if (log.logged_at.size() >= kMaxLoggedFindings) break;
    if (log.logged_at.try_emplace(element, now).second)
      selected.push_back(element);
  }
  return selected;
}

}  // namespace radishyard
