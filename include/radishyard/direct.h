// Direct server return: upstreams answer callers themselves, and each packet
// carries a mark that names its flow's upstream.
//
// RoutePacket decides on packets by a forwarding_state: a routing_table, an
// upstream_directory and a flow_tracker; direct_balancer runs it on sockets.
// docs/design/platform.md explains when this form of forwarding applies.
#pragma once
#include "direct/direct_balancer.h"
#include "direct/direct_counters.h"
#include "direct/direct_packet.h"
#include "direct/direct_settings.h"
#include "direct/flow_mark.h"
#include "direct/flow_tracker.h"
#include "direct/forwarder.h"
#include "direct/list_history.h"
#include "direct/packet_codec.h"
#include "direct/peer_exchange.h"
#include "direct/peer_members.h"
#include "direct/placement.h"
#include "direct/registry.h"
#include "direct/registry_follower.h"
#include "direct/response_sizes.h"
#include "direct/routing_table.h"
#include "direct/upstream_directory.h"
#include "direct/upstream_entry.h"
#include "direct/upstream_stats.h"
#include "direct/view_message.h"
#include "direct/view_sharing.h"
