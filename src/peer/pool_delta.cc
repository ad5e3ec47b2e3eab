// Computes and applies differences between sorted lists of counts.
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
                            const std::string& domain,
                            const pool_usage* previous,
                            const pool_usage& current) {
  pool_delta delta{service,           domain, false, {}, current.queue_length,
                   current.free_slots};
  delta.full = previous == nullptr ||
               !std::includes(current.counts.begin(), current.counts.end(),
                              previous->counts.begin(), previous->counts.end(),
                              ByAddress);
  if (delta.full) {
    delta.counts = current.counts;
    return delta;
  }
  std::set_difference(current.counts.begin(), current.counts.end(),
                      previous->counts.begin(), previous->counts.end(),
                      std::back_inserter(delta.counts));
  return delta;
}

void ApplyPoolDelta(pool_usage& receiver_counts, const pool_delta& delta) {
  receiver_counts.queue_length = delta.queue_length;
  receiver_counts.free_slots = delta.free_slots;
  if (delta.full) receiver_counts.counts.clear();
  for (const upstream_usage& count : delta.counts) {
    const auto at =
        std::lower_bound(receiver_counts.counts.begin(),
                         receiver_counts.counts.end(), count, ByAddress);
    if (at != receiver_counts.counts.end() && at->address == count.address) {
      *at = count;
    } else {
      receiver_counts.counts.insert(at, count);
    }
  }
}

}  // namespace radishyard
