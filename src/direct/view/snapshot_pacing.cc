// Spaces snapshots by the time that each takes at the permitted rate.
#include "direct/view/snapshot_pacing.h"

#include <algorithm>

namespace radishyard {

uint64_t ToSnapshotRate(uint32_t link_mbps) {
  constexpr double kBytesPerMegabit = 1e6 / 8;
  return static_cast<uint64_t>(link_mbps * kBytesPerMegabit *
                               kSnapshotLinkShare);
}

std::optional<duration> ReserveTurn(snapshot_pacing& pacing, size_t bytes,
                                    time_point now) {
  if (pacing.bytes_per_second == 0) return duration{};
  const time_point turn = std::max(pacing.next_turn, now);
  if (turn - now > kMaxSnapshotWait) return std::nullopt;
  const std::chrono::duration<double> takes(
      static_cast<double>(bytes) /
      static_cast<double>(pacing.bytes_per_second));
  pacing.next_turn = turn + std::chrono::duration_cast<duration>(takes);
  return turn - now;
}

}  // namespace radishyard
