// Counts what each caller holds and waits for in a pool, and computes the
// virtual start times and connection shares that keep callers fair.
#include "pool/caller_share.h"

#include <algorithm>

namespace radishyard::internal {
namespace {

// Adds `change` to `count`; the result is at least 0.
uint32_t AddClamped(uint32_t count, int change) {
  return static_cast<uint32_t>(
      std::max<int64_t>(0, static_cast<int64_t>(count) + change));
}

bool UsesSlots(const caller_use& use) { return use.slots + use.waiting > 0; }

uint32_t EqualShare(uint32_t total, size_t holders) {
  const auto count = static_cast<uint32_t>(std::max<size_t>(1, holders));
  return std::max(1U, total / count);
}

}  // namespace

void AdjustUse(caller_table& callers, uint32_t caller, int connections,
               int slots, int waiting) {
  caller_use& use = callers.by_address[caller];
  const bool before = UsesSlots(use);
  use.connections = AddClamped(use.connections, connections);
  use.slots = AddClamped(use.slots, slots);
  use.waiting = AddClamped(use.waiting, waiting);
  const bool after = UsesSlots(use);
  if (after && !before) ++callers.slot_callers;
  if (before && !after) --callers.slot_callers;
  if (!use.empty()) return;
  callers.by_address.erase(caller);
  callers.next_virtual_start.erase(caller);
}

caller_use FindUse(const caller_table& callers, uint32_t caller) {
  const auto it = callers.by_address.find(caller);
  return it == callers.by_address.end() ? caller_use{} : it->second;
}

time_point NextVirtualStart(const caller_table& callers, uint32_t caller) {
  const auto it = callers.next_virtual_start.find(caller);
  return it == callers.next_virtual_start.end() ? time_point{} : it->second;
}

time_point AssignVirtualStart(caller_table& callers, uint32_t caller,
                              duration interval, time_point now) {
  AdjustUse(callers, caller, 0, 0, 1);
  time_point& next = callers.next_virtual_start[caller];
  const time_point virtual_start = std::max(now, next);
  // With n callers that use slots, an equal service serves each of them once
  // in n intervals.
  next = virtual_start + interval * callers.slot_callers;
  return virtual_start;
}

uint32_t ConnectionShare(const caller_table& callers,
                         uint32_t connection_limit) {
  return EqualShare(connection_limit, callers.by_address.size());
}

}  // namespace radishyard::internal
