// What a balancer saw in passing: which upstream serves which flow. It answers
// for flows whose owner was lost, and sends packets of moved flows to the right
// pool without asking.
#pragma once
#include <cstdint>
#include <vector>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief A bounded, set-associative cache from flow to upstream address; old
/// entries give way.
///
/// A wrong entry is possible only where two flows share a 32-bit tag and a set:
/// the owner of the named upstream still checks its own records first.
class flow_upstream_cache {
 public:
  /// \param entries rounded up to a power of two; 12 bytes each.
  explicit flow_upstream_cache(size_t entries);

  /// \brief Remembers that `upstream` serves the flow.
  /// \param hash StableHash of the flow's key, here and below.
  void Put(uint64_t hash, uint32_t upstream, uint32_t now_ms);
  void Put(const flow_key& key, uint32_t upstream, uint32_t now_ms) {
    Put(StableHash(key), upstream, now_ms);
  }
  /// \brief Address of the upstream, or 0.
  uint32_t Get(uint64_t hash) const;
  uint32_t Get(const flow_key& key) const { return Get(StableHash(key)); }
  /// \brief Forgets the flow, which has ended.
  void Remove(uint64_t hash);
  void Remove(const flow_key& key) { Remove(StableHash(key)); }

 private:
  static constexpr size_t kWays = 4;
  struct entry {
    uint32_t tag = 0;
    uint32_t upstream = 0;  // 0: unused.
    uint32_t seen_ms = 0;
  };
  entry* Find(uint64_t hash) const;

  mutable std::vector<entry> entries_;
  size_t set_mask_;
};

}  // namespace radishyard
