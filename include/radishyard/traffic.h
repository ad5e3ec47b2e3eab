// \file The packet path. A traffic_core handles each datagram, as ingress and
// as pool owner, according to an immutable routing_view. It uses no socket and
// no clock, so that tests can run it with a mock of traffic_sink and a virtual
// time. A traffic_thread runs a traffic_core on a UDP socket, and the control
// thread uses all threads through a traffic_thread_group.
//
//   using namespace radishyard;
//   traffic_core core(sink, 1 << 18, start);
//   core.SetView(view, now);
//   core.Receive(datagram, from, now);   // Calls the sink.
//   core.Tick(now);                      // About every 10 ms.
#pragma once
#include "traffic/flow_owner.h"
#include "traffic/routing_view.h"
#include "traffic/traffic_core.h"
#include "traffic/traffic_counters.h"
#include "traffic/traffic_histograms.h"
#include "traffic/traffic_sink.h"
#include "traffic/traffic_thread.h"
#include "traffic/traffic_thread_group.h"
