// The published addresses of services and where their new flows go.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "packet/flow_key.h"

namespace radishyard {

/// \brief What a caller may do with a request that failed.
enum class request_class : uint8_t { kIdempotent, kNonIdempotent, kDownload };

/// \brief Share of an address's new flows that goes to one service.
struct service_share {
  std::string service;
  uint32_t weight = 1;
  auto operator<=>(const service_share&) const = default;
};

/// \brief One published address. Invariant: `shares` is not empty and its
/// weights are not all 0.
struct published_address {
  endpoint address;
  std::vector<service_share> shares;
  request_class retry_class = request_class::kNonIdempotent;
  duration timeout{};         ///< Of one request.
  duration target_latency{};  ///< Latency that callers hope for.
  uint8_t priority = 0;       ///< 0 is the highest.
  auto operator<=>(const published_address&) const = default;
};

/// \brief One version of the table. Invariant: `addresses` rises by address,
/// without duplicates.
struct routing_table {
  uint64_t version = 0;  ///< Rises with each edit; 0: none read yet.
  std::vector<published_address> addresses;
  duration idle_timeout = 15s;   ///< Flows silent for longer may be forgotten.
  uint32_t invalid_entries = 0;  ///< Rows left out of a reading since unusable.
  auto operator<=>(const routing_table&) const = default;
};

/// \brief The row of `address`, or null where the table has none.
const published_address* FindAddress(const routing_table& table,
                                     const endpoint& address);

/// \brief The service that a new flow goes to: by weight and the flow's hash,
/// so copies of an opening agree on every balancer.
const std::string& SelectService(const published_address& row,
                                 const flow_key& flow);

}  // namespace radishyard
