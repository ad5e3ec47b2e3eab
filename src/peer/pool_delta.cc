// Differences of sorted count lists.
#include "peer/pool_delta.h"

#include <algorithm>
#include <iterator>

namespace radishyard {
namespace {

bool ByAddress(const upstream_usage& a, const upstream_usage& b) {
  return a.address < b.address;
}

}  // namespace

pool_usage ToPoolUsage(const pool_load& load) {
  pool_usage counts{{}, load.waiting, load.free_slots};
  for (const upstream_load& u : load.upstreams)
    counts.counts.push_back({u.address, u.connections, u.slots});
  std::sort(counts.counts.begin(), counts.counts.end(), ByAddress);
  return counts;
}

pool_delta ComputePoolDelta(const std::string& service,
                            const std::string& domain, const pool_usage* before,
                            const pool_usage& now) {
  pool_delta delta{service, domain,           false,
                   {},      now.queue_length, now.free_slots};
  delta.full =
      before == nullptr ||
      !std::includes(now.counts.begin(), now.counts.end(),
                     before->counts.begin(), before->counts.end(), ByAddress);
  if (delta.full) {
    delta.counts = now.counts;
    return delta;
  }
  std::set_difference(now.counts.begin(), now.counts.end(),
                      before->counts.begin(), before->counts.end(),
                      std::back_inserter(delta.counts));
  return delta;
}

void ApplyPoolDelta(pool_usage& known, const pool_delta& delta) {
  known.queue_length = delta.queue_length;
  known.free_slots = delta.free_slots;
  if (delta.full) known.counts.clear();
  for (const upstream_usage& count : delta.counts) {
    const auto at = std::lower_bound(known.counts.begin(), known.counts.end(),
                                     count, ByAddress);
    if (at != known.counts.end() && at->address == count.address) {
      *at = count;
    } else {
      known.counts.insert(at, count);
    }
  }
}

}  // namespace radishyard
