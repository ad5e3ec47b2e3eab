// The flows of one traffic thread: a slab of records with a hash index over it.
// A record keeps its slot while the flow lives, so timers and queues name flows
// by slot.
#pragma once
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "flow/flow_record.h"

namespace radishyard {

/// \brief A map from flow key to record with stable slots.
///
/// \code
/// flow_table flows;
/// const uint32_t slot = flows.Insert(key);
/// flows.At(slot).upstream = address;
/// if (auto found = flows.Find(key)) flows.Erase(*found);
/// \endcode
class flow_table {
 public:
  flow_table();
  flow_table(const flow_table&) = delete;
  flow_table& operator=(const flow_table&) = delete;

  /// \brief Slot of the flow, if it is known.
  std::optional<uint32_t> Find(const flow_key& key) const;

  /// \brief Adds an empty record. \warning The key must not be present.
  uint32_t Insert(const flow_key& key);

  /// \brief Removes the record in `slot`, which a later Insert() may use again.
  void Erase(uint32_t slot);

  flow_record& At(uint32_t slot) {
    return chunks_[slot / kChunk][slot % kChunk];
  }
  const flow_record& At(uint32_t slot) const {
    return chunks_[slot / kChunk][slot % kChunk];
  }
  /// \brief True if `slot` holds a flow.
  bool IsOccupied(uint32_t slot) const;

  size_t size() const { return index_.size(); }
  /// \brief One more than the highest slot ever used; a sweep goes over [0,
  /// SlotLimit()).
  uint32_t SlotLimit() const { return next_; }

 private:
  static constexpr uint32_t kChunk = 4096;  // Records per allocation.

  struct slot_hash {
    using is_transparent = void;
    const flow_table* table;
    size_t operator()(uint32_t slot) const {
      return (*this)(table->At(slot).key);
    }
    size_t operator()(const flow_key& key) const { return absl::HashOf(key); }
  };
  struct slot_equal {
    using is_transparent = void;
    const flow_table* table;
    bool operator()(uint32_t a, uint32_t b) const { return a == b; }
    bool operator()(uint32_t a, const flow_key& key) const {
      return table->At(a).key == key;
    }
    bool operator()(const flow_key& key, uint32_t b) const {
      return table->At(b).key == key;
    }
  };

  // Invariant: a slot is either in index_ or in free_.
  std::vector<std::unique_ptr<flow_record[]>> chunks_;
  absl::flat_hash_set<uint32_t, slot_hash, slot_equal> index_;
  std::vector<uint32_t> free_;
  uint32_t next_ = 0;
};

}  // namespace radishyard
