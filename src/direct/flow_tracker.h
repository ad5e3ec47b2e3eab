// A bounded memory of the flows seen here, for placement and for what is
// learned of upstreams: a packet of an open flow is forwarded by its mark,
// whether the flow is known here or not.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "direct/direct_packet.h"
#include "direct/response_sizes.h"
#include "direct/upstream_directory.h"
#include "observe/time_histogram.h"

namespace radishyard {

/// \brief Most flows remembered by one balancer.
inline constexpr size_t kMaxTrackedFlows = 65'536;

/// \brief Time from an opening to the caller's next packet, in seconds, before
/// any was seen.
inline constexpr double kInitialConfirmSeconds = 0.01;

/// \brief What is remembered of a flow.
struct tracked_flow {
  uint32_t mark = 0;             ///< Upstream that the flow is on.
  uint32_t next_sequence = 0;    ///< After the last byte that the caller sent.
  uint32_t acknowledged = 0;     ///< Highest acknowledgement of the caller.
  bool was_placed_here = false;  ///< Its opening was placed by this balancer.
  bool is_confirmed = false;     ///< A packet after the opening was seen.
  bool is_awaiting_response =
      false;                ///< A request has no acknowledged answer yet.
  bool is_overdue = false;  ///< That request has counted as failed.
  /// Times that the caller repeated its last data since its upstream's last
  /// sign of life.
  uint8_t retransmissions = 0;
  time_point requested_at{};  ///< Valid while waiting.
  time_point sent_at{};       ///< When the last new data or opening went on.
  time_point retransmitted_at{};  ///< Last repetition; valid if there are any.
  time_point last_seen_at{};
};

/// \brief The flows, by caller and service address.
///
/// Invariant: for each upstream of the directory, `load.flows` and
/// `load.waiting` count the flows here that have its mark.
struct flow_tracker {
  absl::flat_hash_map<flow_key, tracked_flow> flows;
  size_t max_flows = kMaxTrackedFlows;
  /// Smoothed time from an opening to the caller's next packet.
  double mean_confirm_s = kInitialConfirmSeconds;
  /// End of this process's last pause. Data sent on before says nothing of its
  /// upstream when it is repeated: the answers may still wait to be read.
  time_point resumed_at{};
  /// When repeated requests were answered after all, the last ones; see
  /// IsDelayed().
  std::deque<time_point> answered_retransmissions;
  response_sizes sizes_by_address;
  time_histogram confirm_times;   ///< As smoothed in `confirm_s`.
  time_histogram response_times;  ///< From a request to its answer.
};

/// \brief An opening is overdue after this time.
duration OpeningTimeout(const flow_tracker& tracker);

/// \brief True where callers repeat requests that are answered: their packets
/// arrive late here, so that repetitions say nothing of upstreams.
bool IsCallerPathDelayed(const flow_tracker& tracker, time_point now);

/// \brief Notes that the flow of an opening was placed on `upstream`.
void TrackOpening(flow_tracker& tracker, upstream_directory& directory,
                  const direct_packet& packet, known_upstream& upstream,
                  time_point now);

/// \brief Learns from a packet of an open flow that goes to `upstream`. Only
/// data makes an unknown flow known: an ended one still acknowledges.
/// \returns for data that the caller repeats, when it was first sent on.
std::optional<time_point> TrackPacket(flow_tracker& tracker,
                                      upstream_directory& directory,
                                      const direct_packet& packet,
                                      known_upstream& upstream, time_point now);

/// \brief Forgets a flow, if it is known.
void RemoveFlow(flow_tracker& tracker, upstream_directory& directory,
                const flow_key& flow);

/// \brief Forgets flows idle for longer than `idle_timeout`.
/// \returns how many.
size_t ExpireIdleFlows(flow_tracker& tracker, upstream_directory& directory,
                       duration idle_timeout, time_point now);

/// \brief Counts requests as failed that wait far longer than usual at their
/// upstream. To be called a few times a second.
void FailOverdueRequests(flow_tracker& tracker, upstream_directory& directory,
                         time_point now);

/// \brief Counts the flows of each upstream anew, after the directory changed.
void RecountFlows(const flow_tracker& tracker, upstream_directory& directory);

}  // namespace radishyard
