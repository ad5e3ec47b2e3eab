// \file The roster of a failure domain: its members, the owner of each pool,
// the successors that may take a pool over, and the order of the members to
// which an ingress forwards a pool's packets. Further the failure detector, the
// choice of the members that exchange heartbeats, and the summaries that
// domains send to each other. All are pure functions; the control thread reads
// and writes the roster object in the store.
//
//   using namespace radishyard;
//   roster next = AddMember(current, self);         // When a balancer starts.
//   auto proposal = ReassignPools(next, inputs);    // After any change.
//   auto order = ForwardingOrder(next, "order-desk", alive);
#pragma once
#include "roster/domain_summary.h"
#include "roster/forwarding_order.h"
#include "roster/link_topology.h"
#include "roster/liveness.h"
#include "roster/rendezvous.h"
#include "roster/roster.h"
#include "roster/roster_json.h"
#include "roster/roster_update.h"
