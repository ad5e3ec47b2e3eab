// \file The roster of a failure domain and the decisions over it: who is a
// member, who owns which pool and who may take it over, and to whom an ingress
// sends a pool's packets. All are pure functions; reading and writing the
// roster object is the control thread's work. Also which members are alive, who
// exchanges heartbeats with whom, and what domains tell each other.
//
//   using namespace radishyard;
//   roster next = AddMember(current, self);         // on start
//   auto proposal = ReassignPools(next, view);      // on any change
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
