// The pooled load of each service in each failure domain of its upstreams, as a
// balancer knows it. Placement and admission base their decisions on it.
#pragma once
#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace radishyard {

/// \brief An older sum counts as unknown: of a moving peak with a period of
/// 13 s it shows another quarter.
inline constexpr duration kMaxLoadAge = 3s;

/// \brief The load of the upstreams of one service in one failure domain.
struct service_load {
  std::string service;
  std::string domain;
  double slots = 0;  ///< Slots of its ready upstreams that can be used.
  /// Requests in service or queued there, summed over all balancers.
  double busy = 0;
  double failures_per_s = 0;  ///< Failed requests, summed over all balancers.
  /// Mean time at which the samples of the domain's own balancers, the greater
  /// part of the sum, were received. Each of them is a mean over the report
  /// interval before.
  time_point measured_at{};
  auto operator<=>(const service_load&) const = default;
};

/// \brief The known loads. Invariant: sorted by service, then domain, without
/// duplicates.
struct load_view {
  std::vector<service_load> loads;
  auto operator<=>(const load_view&) const = default;
};

/// \brief Returns the load of `service` in `domain`, of any age, or null if
/// there is none.
const service_load* FindLoad(const load_view& view, std::string_view service,
                             std::string_view domain);

/// \brief True if requests wait in the queues of upstreams, by a load that is
/// not older than kMaxLoadAge.
bool HasQueues(const load_view& view, time_point now);

}  // namespace radishyard
