/// \file
/// \brief Pools: the upstreams of one service in one failure domain with exact
/// counts of their flows, and the functions that place flows on them.
///
/// `Configure` applies the table; `Open` places, queues or refuses an opening;
/// `Poll` places or refuses queued ones; `RetryOnOtherUpstream` places an
/// opening again; `RecordResponse`, `RecordTimeout`, `RecordReset` and
/// `ReleaseFlow` record how upstreams respond and how flows end. All are free
/// functions of (state, event, now).
#pragma once
#include "pool/pool.h"
#include "pool/pool_state.h"
