// \file The packet path. A traffic_core decides for each datagram, as ingress
// and as owner, by an immutable routing_view; it holds no socket, so tests
// drive it with a mock of traffic_sink and a virtual time. A traffic_thread
// adds the socket, and a traffic_thread_group is what the control thread sees
// of all threads.
//
//   using namespace radishyard;
//   traffic_core core(sink, 1 << 18, start);
//   core.SetView(view, now);
//   core.Receive(datagram, from, now);   // Ends in calls of the sink.
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
