// \file The control thread of a balancer: it follows the table and the rosters,
// exchanges heartbeats, keeps an owner for each pool of its domain, hands pools
// over, and publishes routing views to the traffic threads.
//
//   using namespace radishyard;
//   controller control(io, *store, config, incarnation, traffic);
//   control.Start();
//   io.run();
//   ...
//   control.Leave([&] { io.stop(); });   // Hands over pools and flows first.
#pragma once
#include "control/controller.h"
#include "control/handover.h"
#include "control/peer_hub.h"
#include "control/roster_cache.h"
#include "control/store_follower.h"
#include "control/view_builder.h"
