// Choice of an upstream for one opening.
#pragma once
#include <cstdint>

#include "pool/pool_state.h"

namespace radishyard::internal {

/// \brief What the choice needs to know of an opening.
struct choice_need {
  port_kind kind = port_kind::kFeed;
  priority_class priority = priority_class::kNormal;
  uint32_t except = 0;     ///< Address of an upstream to leave out; 0 for none.
  uint32_t preferred = 0;  ///< Address of one that comes first; 0 for none.
};

/// \brief Whether `u` may take a regular opening; a ramp is not counted, as it
/// yields when all others are full.
bool TakesNew(const pool_upstream& u, port_kind kind, time_point now);

/// \brief Whether `u` would take a regular opening if it had room.
bool LacksRoom(const pool_upstream& u, port_kind kind, time_point now);

/// \brief Whether `u` is so slow that a request had better go to another pool
/// with room, if there is one.
bool IsWorthPassing(const pool_upstream& u, port_kind kind);

/// \brief The best upstream that takes the opening; none where all are full.
///
/// The preferred one comes first if it takes new openings. An ejected upstream
/// whose probe is due comes first, but not for an urgent opening. Then the
/// cheapest within their ramps, then any with room.
pool_upstream* Choose(pool_state& pool, const choice_need& need,
                      time_point now);

}  // namespace radishyard::internal
