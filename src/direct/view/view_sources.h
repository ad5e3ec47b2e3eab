// The balancers from which a newer view can be fetched, by their reports.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "packet/flow_key.h"
#include "store/store_revision.h"

namespace radishyard {

/// \brief Most sources remembered.
inline constexpr size_t kMaxViewSources = 16;
/// \brief A report shows for this long that its sender can serve a view.
inline constexpr duration kViewSourceRetention = 2s;

/// \brief A balancer with the view that it last reported.
struct view_source {
  endpoint peer;
  uint64_t table_version = 0;
  store_revision revision;  ///< Of its upstream list.
  time_point reported_at{};
  auto operator<=>(const view_source&) const = default;
};

/// \brief Records a source; the oldest one is dropped beyond kMaxViewSources.
void RecordSource(std::vector<view_source>& sources, const view_source& source);

/// \brief Removes the sources that no longer have a newer view than the given
/// one, and returns one of the others, which varies with `round`.
std::optional<endpoint> SelectSource(std::vector<view_source>& sources,
                                     uint64_t table_version,
                                     const store_revision& revision,
                                     uint64_t round, time_point now);

}  // namespace radishyard
