// Use and fair share by caller.
#include "pool/caller_share.h"

#include <algorithm>

namespace radishyard::internal {
namespace {

uint32_t Changed(uint32_t count, int by) {
  return static_cast<uint32_t>(
      std::max<int64_t>(0, static_cast<int64_t>(count) + by));
}

bool IsRequesting(const caller_use& use) { return use.slots + use.waiting > 0; }

uint32_t EqualPart(uint32_t total, size_t parts) {
  const auto count = static_cast<uint32_t>(std::max<size_t>(1, parts));
  return std::max(1U, total / count);
}

}  // namespace

void ChangeUse(caller_table& callers, uint32_t caller, int connections,
               int slots, int waiting) {
  caller_use& use = callers.by_address[caller];
  const bool before = IsRequesting(use);
  use.connections = Changed(use.connections, connections);
  use.slots = Changed(use.slots, slots);
  use.waiting = Changed(use.waiting, waiting);
  const bool after = IsRequesting(use);
  if (after && !before) ++callers.requesting;
  if (before && !after) --callers.requesting;
  if (!use.empty()) return;
  callers.by_address.erase(caller);
  callers.next_turn.erase(caller);
}

caller_use UseOf(const caller_table& callers, uint32_t caller) {
  const auto it = callers.by_address.find(caller);
  return it == callers.by_address.end() ? caller_use{} : it->second;
}

time_point NextTurn(const caller_table& callers, uint32_t caller) {
  const auto it = callers.next_turn.find(caller);
  return it == callers.next_turn.end() ? time_point{} : it->second;
}

time_point TakeTurn(caller_table& callers, uint32_t caller, duration interval,
                    time_point now) {
  ChangeUse(callers, caller, 0, 0, 1);
  time_point& next = callers.next_turn[caller];
  const time_point turn = std::max(now, next);
  next = turn + interval * callers.requesting;
  return turn;
}

uint32_t ConnectionShare(const caller_table& callers,
                         uint32_t total_connections) {
  return EqualPart(total_connections, callers.by_address.size());
}

}  // namespace radishyard::internal
