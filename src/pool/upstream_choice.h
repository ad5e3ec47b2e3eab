// Chooses an upstream for an opening.
#pragma once
#include <cstdint>

#include "pool/pool_state.h"

namespace radishyard::internal {

/// \brief Properties of an opening that determine the choice.
struct choice_criteria {
  port_kind kind = port_kind::kFeed;
  priority_class priority = priority_class::kNormal;
  uint32_t excluded_upstream = 0;   ///< Address that is not chosen; 0 for none.
  uint32_t preferred_upstream = 0;  ///< Address chosen first; 0 for none.
};

/// \brief Whether `u` is healthy and has room for an opening of `kind`. Its
/// ramp is ignored, because it does not apply when all others are full.
bool CanTakeOpening(const pool_upstream& u, port_kind kind, time_point now);

/// \brief Whether `u` is healthy and accepts new flows but has no room for one.
bool IsFullButHealthy(const pool_upstream& u, port_kind kind, time_point now);

/// \brief Whether `u` is so slow that a request is better placed in another
/// pool with room, if there is one.
bool IsTooSlow(const pool_upstream& u, port_kind kind);

/// \brief Chooses the best upstream for an opening.
///
/// The order is: the preferred upstream if it can take the opening; an ejected
/// upstream whose probe is due, unless the opening is urgent; the upstream with
/// the lowest cost among those within their ramp; the one with the lowest cost
/// among all with room.
/// \returns nullptr if no upstream can take the opening.
pool_upstream* ChooseUpstream(pool_state& pool, const choice_criteria& criteria,
                              time_point now);

}  // namespace radishyard::internal
