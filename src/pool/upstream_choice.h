// Choice of an upstream for one opening.
#pragma once
#include <cstdint>

#include "pool/pool_state.h"

namespace radishyard::internal {

/// \brief Whether `u` takes a new flow of `kind` now.
bool TakesNew(const pool_upstream& u, port_kind kind, time_point now);

/// \brief The best upstream that takes the opening; none where all are full.
/// \param except An upstream to leave out; 0 for none.
/// \param bulk Whether it is a bulk request.
pool_upstream* Choose(pool_state& pool, port_kind kind, uint32_t except,
                      time_point now, bool bulk);

}  // namespace radishyard::internal
