// Set-associative cache that replaces the oldest entry of a set.
#include "flow/flow_upstream_cache.h"

#include <algorithm>
#include <bit>

namespace radishyard {

flow_upstream_cache::flow_upstream_cache(size_t entries)
    : entries_(std::bit_ceil(std::max(entries, kWays))),
      set_mask_(entries_.size() / kWays - 1) {}

flow_upstream_cache::entry* flow_upstream_cache::Find(uint64_t hash) const {
  entry* const set = &entries_[(hash & set_mask_) * kWays];
  const auto tag = static_cast<uint32_t>(hash >> 32);
  entry* const found = std::find_if(set, set + kWays, [tag](const entry& e) {
    return e.upstream != 0 && e.tag == tag;
  });
  return found == set + kWays ? nullptr : found;
}

void flow_upstream_cache::Put(uint64_t hash, uint32_t upstream,
                              uint32_t now_ms) {
  entry* victim = Find(hash);
  if (victim == nullptr) {
    entry* const set = &entries_[(hash & set_mask_) * kWays];
    victim = std::max_element(
        set, set + kWays, [now_ms](const entry& a, const entry& b) {
          const uint32_t age_a =
              a.upstream == 0 ? UINT32_MAX : now_ms - a.updated_ms;
          const uint32_t age_b =
              b.upstream == 0 ? UINT32_MAX : now_ms - b.updated_ms;
          return age_a < age_b;
        });
  }
  *victim = {static_cast<uint32_t>(hash >> 32), upstream, now_ms};
}

uint32_t flow_upstream_cache::Get(uint64_t hash) const {
  const entry* const found = Find(hash);
  return found == nullptr ? 0 : found->upstream;
}

void flow_upstream_cache::Remove(uint64_t hash) {
  if (entry* const found = Find(hash)) *found = entry{};
}

}  // namespace radishyard
