// \file Direct server return: upstreams send their responses directly to the
// callers, and each packet from a caller carries a mark that names the upstream
// of its flow.
//
// RoutePacket decides on a packet according to a forwarding_state, which
// contains a routing_table, an upstream_directory and a flow_tracker.
// direct_balancer calls it for the packets that its sockets receive.
// docs/design/platform.md explains when this form of forwarding applies.
#pragma once
#include "direct/direct_balancer.h"
#include "direct/direct_counters.h"
#include "direct/direct_settings.h"
#include "direct/evacuation/evacuation.h"
#include "direct/forward/flow_tracker.h"
#include "direct/forward/forwarder.h"
#include "direct/forward/packet_codec.h"
#include "direct/forward/placement.h"
#include "direct/forward/response_sizes.h"
#include "direct/load/address_demand.h"
#include "direct/load/admission.h"
#include "direct/load/admission_report.h"
#include "direct/load/load_meter.h"
#include "direct/load/load_pool.h"
#include "direct/load/pooled_choice.h"
#include "direct/load/service_load.h"
#include "direct/load/spill_over.h"
#include "direct/upstream/direct_packet.h"
#include "direct/upstream/flow_mark.h"
#include "direct/upstream/list_history.h"
#include "direct/upstream/routing_table.h"
#include "direct/upstream/upstream_directory.h"
#include "direct/upstream/upstream_entry.h"
#include "direct/upstream/upstream_stats.h"
#include "direct/view/evacuation_follower.h"
#include "direct/view/load_exchange.h"
#include "direct/view/peer_exchange.h"
#include "direct/view/peer_members.h"
#include "direct/view/registry.h"
#include "direct/view/registry_follower.h"
#include "direct/view/view_message.h"
#include "direct/view/view_sharing.h"
