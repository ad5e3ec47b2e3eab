// Implements the flow table: a slab of records in chunks, free slots, an index.
#include "flow/flow_table.h"

#include <cassert>

namespace radishyard {

flow_table::flow_table() : index_(0, slot_hash{this}, slot_equal{this}) {}

std::optional<uint32_t> flow_table::Find(const flow_key& key) const {
  const auto found = index_.find(key);
  if (found == index_.end()) return std::nullopt;
  return *found;
}

uint32_t flow_table::Insert(const flow_key& key) {
  assert(!Find(key) && "the key must not be present");
  uint32_t slot = slot_limit_;
  if (free_slots_.empty()) {
    if (slot / kChunkRecords == chunks_.size())
      chunks_.push_back(std::make_unique<flow_record[]>(kChunkRecords));
    ++slot_limit_;
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
  }
  At(slot) = flow_record{};
  At(slot).key = key;
  index_.insert(slot);
  return slot;
}

void flow_table::Erase(uint32_t slot) {
  assert(IsOccupied(slot) && "the slot must hold a flow");
  index_.erase(slot);
  free_slots_.push_back(slot);
}

bool flow_table::IsOccupied(uint32_t slot) const {
  return slot < slot_limit_ && index_.contains(slot);
}

}  // namespace radishyard
