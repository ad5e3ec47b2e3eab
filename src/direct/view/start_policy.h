// Decides how long a balancer that has just started waits for the view of
// another one before it reads the platform itself. When hundreds of VMs start
// or are replaced, the platform is thus read by a few of them.
#pragma once
#include <compare>

#include "base/time.h"

namespace radishyard {

/// \brief Time in which another balancer answers a discovery request and its
/// view is fetched.
inline constexpr duration kDiscoveryTime = 40ms;
/// \brief Longest wait for a fetch in progress.
inline constexpr duration kMaxFetchWait = 600ms;
/// \brief Longest wait for the readers at the first start of all balancers,
/// before there are callers.
inline constexpr duration kMaxFirstStartWait = 2s;

/// \brief What a balancer without a view knows of the others.
struct start_state {
  time_point started_at{};
  bool has_seeds = false;       ///< The settings name other balancers.
  bool is_first_start = false;  ///< All balancers start for the first time.
  bool is_reader = false;       ///< As far as it knows the members by now.
  bool has_members = false;     ///< Other members of its domain have reported.
  bool is_fetching = false;     ///< A snapshot is being fetched.
  auto operator<=>(const start_state&) const = default;
};

/// \brief True while a balancer without a view waits for that of another one.
bool AwaitsPeerView(const start_state& state, time_point now);

}  // namespace radishyard
