// Selects the findings to log where the same faulty input is read again and
// again, such as an unusable object in a store.
#pragma once
#include <map>
#include <vector>

#include "base/finding.h"
#include "base/time.h"

namespace radishyard {

/// \brief Most distinct findings remembered. Further ones are not logged.
inline constexpr size_t kMaxLoggedFindings = 128;
/// \brief A finding that persists is logged again after this time.
inline constexpr duration kFindingLogInterval = 60s;

/// \brief The findings logged lately.
struct finding_log {
  std::map<finding, time_point> logged_at;
};

/// \brief Selects the elements of `found` that have not been logged within
/// kFindingLogInterval, and records them as logged at `now`.
std::vector<finding> SelectUnlogged(finding_log& log, const findings& found,
                                    time_point now);

}  // namespace radishyard
