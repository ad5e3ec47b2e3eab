// Differences of sorted count lists.
#include "peer/pool_delta.h"

#include <algorithm>
#include <iterator>

namespace radishyard {
namespace {

bool ByAddress(const upstream_count& a, const upstream_count& b) {
  return a.address < b.address;
}

}  // namespace

pool_counts CountsOf(const pool_load& load) {
  pool_counts counts{{}, load.waiting, load.free_slots};
  for (const upstream_load& u : load.upstreams)
    counts.counts.push_back({u.address, u.connections, u.slots});
  std::sort(counts.counts.begin(), counts.counts.end(), ByAddress);
  return counts;
}

pool_delta DeltaOf(const std::string& service, const std::string& domain,
                   const pool_counts* before, const pool_counts& now) {
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

void Apply(pool_counts& known, const pool_delta& delta) {
  known.queue_length = delta.queue_length;
  known.free_slots = delta.free_slots;
  if (delta.full) known.counts.clear();
  for (const upstream_count& count : delta.counts) {
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
