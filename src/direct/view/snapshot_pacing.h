// Limits the share of a VM's link that snapshots for other balancers take up.
// Without it, a balancer that is the first to have a new table sends it to all
// members of its failure domain at once, and callers' packets are dropped
// meanwhile.
#pragma once
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace radishyard {

/// \brief Share of the link that snapshots may take up.
inline constexpr double kSnapshotLinkShare = 0.25;
/// \brief Longest time that a request waits for its turn. Other balancers have
/// the same view by then, so the requester had better ask one of them.
inline constexpr duration kMaxSnapshotWait = 300ms;

/// \brief The turns of the snapshots that are sent.
struct snapshot_pacing {
  uint64_t bytes_per_second = 0;  ///< 0: without limit.
  time_point next_turn{};         ///< Before it, no further snapshot is sent.
  auto operator<=>(const snapshot_pacing&) const = default;
};

/// \brief The rate of snapshots on a link of `link_mbps` megabits a second.
uint64_t ToSnapshotRate(uint32_t link_mbps);

/// \brief Reserves the next turn for a snapshot of `bytes`.
/// \returns how long to wait before sending it, or nothing if that exceeds
/// kMaxSnapshotWait; then nothing is reserved.
std::optional<duration> ReserveTurn(snapshot_pacing& pacing, size_t bytes,
                                    time_point now);

}  // namespace radishyard
