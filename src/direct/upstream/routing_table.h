// The routing table: published addresses and the services that receive their
// new flows.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "packet/flow_key.h"

namespace radishyard {

/// \brief Whether a caller may retry a failed request.
enum class request_class : uint8_t { kIdempotent, kNonIdempotent, kDownload };

/// \brief The share of one service in the new flows of an address.
struct service_share {
  std::string service;
  uint32_t weight = 1;
  auto operator<=>(const service_share&) const = default;
};

/// \brief A row of the table: one published address. Invariant: `shares` is not
/// empty and its weights are not all 0.
struct published_address {
  endpoint address;
  std::vector<service_share> shares;
  request_class retry_class = request_class::kNonIdempotent;
  duration timeout{};         ///< Timeout of one request.
  duration target_latency{};  ///< Target latency of one request.
  uint8_t priority = 0;       ///< 0 is the highest.
  auto operator<=>(const published_address&) const = default;
};

/// \brief The rate at which cold upstreams of a service may get openings; see
/// start_limit.h.
struct service_start_rate {
  std::string service;
  /// Openings in 1,000 s, summed over all balancers; 0 if there is no limit.
  uint32_t openings_per_1000s = 0;
  duration cold_start{};  ///< Length of a cold start.
  auto operator<=>(const service_start_rate&) const = default;
};

/// \brief One version of the table. Invariant: `addresses` is sorted by address
/// and has no duplicates.
struct routing_table {
  uint64_t version = 0;  ///< Increases with each edit; 0 if there is no table.
  std::vector<published_address> addresses;
  duration idle_timeout = 15s;   ///< Records of flows idle for longer expire.
  uint32_t invalid_entries = 0;  ///< Unusable rows that a read left out.
  /// Services with a limit of openings on cold upstreams.
  std::vector<service_start_rate> start_rates;
  auto operator<=>(const routing_table&) const = default;
};

/// \brief Returns the row of `address`, or null if the table has none.
const published_address* FindAddress(const routing_table& table,
                                     const endpoint& address);

/// \brief Selects the service of a new flow by the weights and the flow's hash.
/// Retransmissions of an opening thus go to the same service on every balancer.
const std::string& SelectService(const published_address& row,
                                 const flow_key& flow);

}  // namespace radishyard
