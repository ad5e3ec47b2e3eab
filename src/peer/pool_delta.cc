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
  pool_usage usage{{}, load.queued, load.free_slots};
  for (const upstream_load& u : load.upstreams)
    usage.counts.push_back({u.address, u.connections, u.slots});
  std::sort(usage.counts.begin(), usage.counts.end(), ByAddress);
  return usage;
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

void ApplyPoolDelta(pool_usage& receiver_usage, const pool_delta& delta) {
  receiver_usage.queue_length = delta.queue_length;
  receiver_usage.free_slots = delta.free_slots;
  if (delta.full) receiver_usage.counts.clear();
  for (const upstream_usage& entry : delta.counts) {
    const auto at =
        std::lower_bound(receiver_usage.counts.begin(),
                         receiver_usage.counts.end(), entry, ByAddress);
    if (at != receiver_usage.counts.end() && at->address == entry.address) {
      *at = entry;
    } else {
      receiver_usage.counts.insert(at, entry);
    }
  }
}

}  // namespace radishyard
