// Draws candidates by the hash of the flow.
#include "direct/load/pooled_choice.h"

#include <xxhash.h>

namespace radishyard {
namespace {

const pooled_candidate& Draw(const std::vector<pooled_candidate>& candidates,
                             double total_speed, double fraction) {
  double remaining = total_speed * fraction;
  for (const pooled_candidate& c : candidates) {
    remaining -= c.speed;
    if (remaining < 0) return c;
  }
  return candidates.back();
}

double RelativeLoad(const pooled_candidate& c) {
  const upstream_stats& stats = c.upstream->stats;
  return (stats.flows + stats.peer_flows + 1) / c.speed;
}

}  // namespace

double DrawFraction(uint64_t flow_hash, uint64_t seed) {
  constexpr double kHashes = 18446744073709551616.0;  // 2^64.
  const double fraction =
      static_cast<double>(XXH64(&flow_hash, sizeof flow_hash, seed)) / kHashes;
  return fraction < 1 ? fraction : 0;
}

bool IsOwnCountSmall(const std::vector<known_upstream*>& upstreams) {
  uint64_t own = 0;
  uint64_t peers = 0;
  for (const known_upstream* u : upstreams) {
    own += u->stats.flows;
    peers += u->stats.peer_flows;
  }
  return own < peers;
}

known_upstream* ChooseOfTwo(const std::vector<pooled_candidate>& candidates,
                            uint64_t flow_hash) {
  if (candidates.empty()) return nullptr;
  double total_speed = 0;
  for (const pooled_candidate& c : candidates) total_speed += c.speed;
  const pooled_candidate& first =
      Draw(candidates, total_speed, DrawFraction(flow_hash, 1));
  const pooled_candidate& second =
      Draw(candidates, total_speed, DrawFraction(flow_hash, 2));
  return RelativeLoad(second) < RelativeLoad(first) ? second.upstream
                                                    : first.upstream;
}

}  // namespace radishyard
