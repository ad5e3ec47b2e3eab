// Looks up loads by service and domain, and whether requests wait.
#include "direct/load/service_load.h"

#include <algorithm>
#include <tuple>

namespace radishyard {

const service_load* FindLoad(const load_view& view, std::string_view service,
                             std::string_view domain) {
  const auto key = std::tuple(service, domain);
  const auto key_of = [](const service_load& load) {
    return std::tuple<std::string_view, std::string_view>(load.service,
                                                          load.domain);
  };
  const auto found = std::ranges::lower_bound(view.loads, key, {}, key_of);
  if (found == view.loads.end() || key_of(*found) != key) return nullptr;
  return &*found;
}

bool HasQueues(const load_view& view, time_point now) {
  return std::ranges::any_of(view.loads, [now](const service_load& load) {
    return load.busy > load.slots && now - load.measured_at <= kMaxLoadAge;
  });
}

}  // namespace radishyard
