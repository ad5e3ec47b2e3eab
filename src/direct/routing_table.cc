// Look-ups in the routing table.
#include "direct/routing_table.h"

#include <algorithm>

namespace radishyard {

const published_address* Find(const routing_table& table,
                              const endpoint& address) {
  const auto row =
      std::lower_bound(table.addresses.begin(), table.addresses.end(), address,
                       [](const published_address& a, const endpoint& b) {
                         return a.address < b;
                       });
  const bool found = row != table.addresses.end() && row->address == address;
  return found ? &*row : nullptr;
}

const std::string& ServiceOf(const published_address& row,
                             const flow_key& flow) {
  uint64_t total = 0;
  for (const service_share& share : row.shares) total += share.weight;
  uint64_t at = total == 0 ? 0 : StableHash(flow) % total;
  for (const service_share& share : row.shares) {
    if (at < share.weight) return share.service;
    at -= share.weight;
  }
  return row.shares.front().service;
}

}  // namespace radishyard
