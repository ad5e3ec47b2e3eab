// Implements the choice of a pool for a new flow.
#include "traffic/routing_view.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace radishyard {
namespace {

// Score for weighted rendezvous hashing (highest random weight):
// -weight / ln(u), where u is uniform in (0, 1).
double RendezvousScore(uint64_t flow_hash, uint16_t tag, uint64_t weight) {
  uint64_t hash = flow_hash ^ (uint64_t{tag} * 0x9e3779b97f4a7c15);
  hash = (hash ^ (hash >> 31)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 29)) * 0x94d049bb133111eb;
  const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
  return -static_cast<double>(weight) / std::log(uniform);
}

// Chooses among the reachable pools with a weight that `accept` allows.
template <typename Accept>
std::optional<uint16_t> PickAmong(const routing_view& view,
                                  const port_route& route, uint64_t flow_hash,
                                  const Accept& accept) {
  std::optional<uint16_t> best;
  double best_score = 0;
  for (const uint16_t index : route.pools) {
    const pool_route& pool = view.pools[index];
    if (!pool.reachable || pool.weight == 0 || !accept(pool)) continue;
    const double score = RendezvousScore(flow_hash, pool.tag, pool.weight);
    if (!best || score > best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

}  // namespace

size_t ThreadIndex(const pool_name& name, size_t threads) {
  const std::string text = name.service + "/" + name.domain;
  return XXH3_64bits(text.data(), text.size()) % std::max<size_t>(threads, 1);
}

std::optional<uint16_t> PickPool(const routing_view& view,
                                 const port_route& route, uint64_t flow_hash) {
  const auto best =
      PickAmong(view, route, flow_hash,
                [](const pool_route& pool) { return !pool.evacuated; });
  if (best) return best;
  return PickAmong(view, route, flow_hash,
                   [](const pool_route&) { return true; });
}

std::optional<uint16_t> PickPoolBeforeEvacuation(const routing_view& view,
                                                 const port_route& route,
                                                 uint64_t flow_hash) {
  const auto best =
      PickAmong(view, route, flow_hash, [](const pool_route& pool) {
        return !pool.evacuated || !pool.substituted;
      });
  return best ? best : PickPool(view, route, flow_hash);
}

}  // namespace radishyard
