/// \file
/// \brief Pools: exact counts of the upstreams of one service in one failure
/// domain, and the decisions over them.
///
/// `Configure` takes up the table; `Open` places, queues or refuses an opening;
/// `Poll` settles queued ones; `RecordResponse`, `RecordTimeout`, `RecordReset`
/// and `ReleaseFlow` teach the pool how its upstreams do. All are free
/// functions of (state, event, now).
#pragma once
#include "pool/pool.h"
#include "pool/pool_state.h"
