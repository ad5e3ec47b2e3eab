// A bounded table of the flows whose packets pass through this balancer. It
// serves placement and the statistics of upstreams. Forwarding does not need
// it: a packet of an open flow is forwarded by its mark, recorded or not.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "direct/forward/response_sizes.h"
#include "direct/load/address_demand.h"
#include "direct/upstream/direct_packet.h"
#include "direct/upstream/upstream_directory.h"
#include "observe/time_histogram.h"

namespace radishyard {

/// \brief Most flows that one balancer records.
inline constexpr size_t kMaxTrackedFlows = 65'536;

/// \brief Initial value of the smoothed time from an opening to the caller's
/// next packet, in seconds.
inline constexpr double kInitialConfirmSeconds = 0.01;

/// \brief The record of one flow.
struct tracked_flow {
  uint32_t mark = 0;  ///< Mark of the flow's upstream.
  /// Sequence number after the last byte that the caller has sent.
  uint32_t next_sequence = 0;
  uint32_t acknowledged = 0;     ///< Highest acknowledgement from the caller.
  bool was_placed_here = false;  ///< This balancer placed the opening.
  bool is_confirmed = false;     ///< A packet after the opening has arrived.
  /// The caller has not acknowledged a response to its last request.
  bool is_awaiting_response = false;
  bool is_overdue = false;  ///< That request has been counted as failed.
  /// Retransmissions of the caller's last data since the upstream last showed
  /// that it is alive.
  uint8_t retransmissions = 0;
  time_point requested_at{};  ///< Valid if is_awaiting_response.
  time_point sent_at{};  ///< When an opening or new data was last forwarded.
  time_point retransmitted_at{};  ///< Valid if retransmissions > 0.
  time_point last_seen_at{};
};

/// \brief The recorded flows, keyed by caller and service address.
///
/// Invariant: for each upstream of the directory, `stats.flows` is the number
/// of recorded flows with its mark, `stats.pending_requests` the number of
/// those that await a response, and `stats.overdue_requests` that of overdue
/// ones.
struct flow_tracker {
  absl::flat_hash_map<flow_key, tracked_flow> flows;
  size_t max_flows = kMaxTrackedFlows;
  /// Smoothed time from an opening to the caller's next packet, in seconds.
  double mean_confirm_s = kInitialConfirmSeconds;
  /// End of the last pause of this process. A retransmission of data forwarded
  /// before is no evidence against the upstream: the acknowledgement of its
  /// response may still be unread in the socket.
  time_point resumed_at{};
  /// When the last responses to retransmitted requests were recorded; see
  /// IsCallerPathDelayed().
  std::deque<time_point> answered_retransmissions;
  response_sizes sizes_by_address;
  address_demands demands;  ///< Of admission control.
  /// Response times contain waits in upstreams' queues; see RecordWork().
  bool is_queueing = false;
  time_histogram confirm_times;   ///< Samples of `mean_confirm_s`.
  time_histogram response_times;  ///< From a request to its response.
};

/// \brief The time after which an unconfirmed opening is overdue.
duration OpeningTimeout(const flow_tracker& tracker);

/// \brief True if callers have just retransmitted several requests that did get
/// a response. Their packets then arrive here late, so retransmissions are no
/// evidence against upstreams.
bool IsCallerPathDelayed(const flow_tracker& tracker, time_point now);

/// \brief Records that the flow of an opening was placed on `upstream`. Does
/// nothing for a new flow if the table is full.
void TrackOpening(flow_tracker& tracker, upstream_directory& directory,
                  const direct_packet& packet, known_upstream& upstream,
                  time_point now);

/// \brief Records a packet of an open flow that is forwarded to `upstream`. A
/// flow without a record gets one only from a packet with data, because the
/// caller still sends acknowledgements after the end of a flow.
/// \returns for retransmitted data, when it was first forwarded; nothing if the
/// data is new or the retransmission is not counted.
std::optional<time_point> TrackPacket(flow_tracker& tracker,
                                      upstream_directory& directory,
                                      const direct_packet& packet,
                                      known_upstream& upstream, time_point now);

/// \brief Removes the record of a flow, if there is one.
void RemoveFlow(flow_tracker& tracker, upstream_directory& directory,
                const flow_key& flow);

/// \brief Removes the flows without a packet for longer than `idle_timeout`.
/// \returns the number of flows removed.
size_t ExpireIdleFlows(flow_tracker& tracker, upstream_directory& directory,
                       duration idle_timeout, time_point now);

/// \brief Records a failure for each request that has been pending far longer
/// than usual for its upstream. To be called several times a second.
void FailOverdueRequests(flow_tracker& tracker, upstream_directory& directory,
                         time_point now);

/// \brief Recomputes `stats.flows` and `stats.pending_requests` of each
/// upstream after a change of the directory.
void RecountFlows(const flow_tracker& tracker, upstream_directory& directory);

}  // namespace radishyard
