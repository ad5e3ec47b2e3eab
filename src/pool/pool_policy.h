// Parameters of the placement policy of a pool.
#pragma once
#include <compare>
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Parameters of the placement policy. They are members rather than
/// constants so that a replay can vary them.
struct pool_policy {
  /// Longest wait of urgent and normal openings. Together with the way to the
  /// pool, a refusal reaches the caller within 250 ms.
  duration max_wait = 230ms;
  /// Most urgent and normal openings in the queue.
  uint32_t max_queue_length = 256;
  /// Urgent openings overtake normal ones that were queued up to this much
  /// earlier.
  duration urgent_head_start = 1s;
  /// Most bulk openings in the queue per slot that bulk requests may hold.
  uint32_t max_bulk_queue_per_slot = 4;
  /// Longest wait of bulk openings.
  duration max_bulk_wait = 10s;
  /// A bulk opening that has waited this long goes before other work while bulk
  /// requests hold less than `bulk_floor_percent` of the slots.
  duration bulk_promotion_wait = 250ms;
  /// Share of the slots that bulk openings get even while other openings wait.
  uint32_t bulk_floor_percent = 25;
  /// Largest share of the slots that bulk requests hold while there are other
  /// requests.
  uint32_t bulk_cap_percent = 70;
  /// From this share of the slots on, a bulk request takes a slot only if more
  /// than `bulk_reserve_percent` of the slots are free.
  uint32_t bulk_soft_limit_percent = 50;
  /// Share of the slots that bulk requests leave free from
  /// `bulk_soft_limit_percent` on.
  uint32_t bulk_reserve_percent = 30;
  /// Bulk requests may hold all slots if no other request has arrived for this
  /// long.
  duration bulk_uncapped_after = 10s;
  /// Time from the join of an upstream until it takes its full share.
  duration ramp = 10s;
  /// Time from the end of an ejection until the upstream takes its full share.
  duration recovery_ramp = 2s;
  /// Retries allowed per 100 first placements in any 10 s.
  uint32_t retry_percent = 10;
  /// An inherited flow without a packet for this long is taken to have ended.
  duration inherited_connection_timeout = 8s;
  /// An inherited request without a packet for this long is taken to have
  /// ended.
  duration inherited_slot_timeout = 5s;
  /// Whether requests are placed by the observed speed of the upstreams.
  bool use_observed_speed = true;
  /// Whether callers that send more openings than their share wait behind the
  /// others, and are limited to their share of connections while these are
  /// short.
  bool enforce_caller_share = true;
  /// Whether an opening is refused at once if its predicted wait exceeds
  /// `max_wait`.
  bool refuse_on_predicted_wait = true;
  /// Callers are limited to their share of connections from this use of all
  /// connections on.
  uint32_t connection_share_threshold_percent = 90;
  auto operator<=>(const pool_policy&) const = default;
};

}  // namespace radishyard
