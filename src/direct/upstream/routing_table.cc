// Looks up addresses and services in the routing table.
#include "direct/upstream/routing_table.h"

#include <algorithm>

namespace radishyard {

const published_address* FindAddress(const routing_table& table,
                                     const endpoint& address) {
  const auto row =
      std::lower_bound(table.addresses.begin(), table.addresses.end(), address,
                       [](const published_address& a, const endpoint& b) {
                         return a.address < b;
                       });
  const bool found = row != table.addresses.end() && row->address == address;
  return found ? &*row : nullptr;
}

const std::string& SelectService(const published_address& row,
                                 const flow_key& flow) {
  uint64_t total = 0;
  for (const service_share& share : row.shares) total += share.weight;
  uint64_t position = total == 0 ? 0 : StableHash(flow) % total;
  for (const service_share& share : row.shares) {
    if (position < share.weight) return share.service;
    position -= share.weight;
  }
  return row.shares.front().service;
}

}  // namespace radishyard
