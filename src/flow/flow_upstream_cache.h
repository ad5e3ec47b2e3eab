// Records which upstream serves which flow, as observed in the packets that
// this balancer forwards. With it, a balancer can reply about flows whose owner
// was lost, and forward packets of flows to the right pool without a request to
// other balancers.
#pragma once
#include <cstdint>
#include <vector>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief A bounded, set-associative cache from flow to upstream address. A new
/// entry replaces the oldest of its set.
///
/// An entry may be wrong if two flows have the same 32-bit tag and set. This is
/// harmless: the owner of the upstream checks its own records first.
class flow_upstream_cache {
 public:
  /// \param entries Capacity, rounded up to a power of two. An entry takes 12
  /// bytes.
  explicit flow_upstream_cache(size_t entries);

  /// \brief Records that `upstream` serves the flow.
  /// \param hash StableHash() of the flow key, here and below.
  /// \param now_ms Present time in milliseconds, modulo 2^32.
  void Put(uint64_t hash, uint32_t upstream, uint32_t now_ms);
  void Put(const flow_key& key, uint32_t upstream, uint32_t now_ms) {
    Put(StableHash(key), upstream, now_ms);
  }
  /// \brief Address of the upstream that serves the flow; 0 if not recorded.
  uint32_t Get(uint64_t hash) const;
  uint32_t Get(const flow_key& key) const { return Get(StableHash(key)); }
  /// \brief Removes the entry of a flow that has ended.
  void Remove(uint64_t hash);
  void Remove(const flow_key& key) { Remove(StableHash(key)); }

 private:
  static constexpr size_t kWays = 4;
  struct entry {
    uint32_t tag = 0;
    uint32_t upstream = 0;  // 0: unused.
    uint32_t updated_ms = 0;
  };
  entry* Find(uint64_t hash) const;

  mutable std::vector<entry> entries_;
  size_t set_mask_;
};

}  // namespace radishyard
