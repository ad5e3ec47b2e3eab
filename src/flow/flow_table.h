// The flows of one traffic thread: a slab of records with a hash index. A
// record keeps its slot until it is removed, so that timers and queues can
// refer to flows by slot.
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

  /// \brief Slot of the flow; nothing if the table does not contain it.
  std::optional<uint32_t> Find(const flow_key& key) const;

  /// \brief Adds a record with default values and returns its slot.
  /// \warning The table must not contain the key.
  uint32_t Insert(const flow_key& key);

  /// \brief Removes the record in `slot`, which a later Insert() may reuse.
  void Erase(uint32_t slot);

  flow_record& At(uint32_t slot) {
    return chunks_[slot / kChunkRecords][slot % kChunkRecords];
  }
  const flow_record& At(uint32_t slot) const {
    return chunks_[slot / kChunkRecords][slot % kChunkRecords];
  }
  /// \brief Whether `slot` contains a flow.
  bool IsOccupied(uint32_t slot) const;

  size_t size() const { return index_.size(); }
  /// \brief One more than the highest slot ever used. A sweep over all flows
  /// visits the slots [0, SlotLimit()).
  uint32_t SlotLimit() const { return slot_limit_; }

 private:
  static constexpr uint32_t kChunkRecords = 4096;  // Per allocation.

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

  // Invariant: Each slot below slot_limit_ is either in index_ or in
  // free_slots_.
  std::vector<std::unique_ptr<flow_record[]>> chunks_;
  absl::flat_hash_set<uint32_t, slot_hash, slot_equal> index_;
  std::vector<uint32_t> free_slots_;
  uint32_t slot_limit_ = 0;
};

}  // namespace radishyard
