// \file Flow state of a traffic thread: the table of the flows that it owns,
// the batches in which flows are handed over to another balancer, and the cache
// of the upstreams of flows whose packets it forwards for other owners.
//
//   using namespace radishyard;
//   flow_table flows;
//   const uint32_t slot = flows.Insert(key);
//   flows.At(slot).upstream = upstream;
//   if (const auto known = flows.Find(key)) flows.Erase(*known);
#pragma once
#include "flow/flow_batch.h"
#include "flow/flow_record.h"
#include "flow/flow_table.h"
#include "flow/flow_upstream_cache.h"
