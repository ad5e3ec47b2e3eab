// What a balancer observes of the demand at each published address: how much
// work a request needs, how many requests a flow carries and how many flows
// open. Admission control ranks openings by it under overload.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <compare>
#include <cstdint>

#include "base/time.h"
#include "packet/flow_key.h"

namespace radishyard {

/// \brief Assumed work of a request while none has been observed, in seconds.
inline constexpr double kDefaultWorkSeconds = 0.02;

/// \brief The demand at one address. The counts decay exponentially, so they
/// describe the last seconds.
struct address_demand {
  /// Smoothed time of a request without waiting in the upstream's queue.
  double work_s = kDefaultWorkSeconds;
  uint32_t work_samples = 0;
  double openings = 0;  ///< Openings, placed or not, without retransmissions.
  double placed = 0;  ///< Of these and of their retransmissions, those placed.
  double requests = 0;      ///< Requests on flows of the address.
  time_point decayed_at{};  ///< When the counts were last brought up to date.
  auto operator<=>(const address_demand&) const = default;
};

/// \brief Demands, keyed by published address. An entry is made by an opening
/// to an address of the table, and only where admission control is enabled;
/// other records of an address without an entry are ignored.
using address_demands = absl::flat_hash_map<endpoint, address_demand>;

/// \brief Records an opening to `address` that is not a retransmission.
void RecordOfferedOpening(address_demands& demands, const endpoint& address,
                          time_point now);

/// \brief Records that an opening was placed on an upstream.
void RecordPlacedOpening(address_demands& demands, const endpoint& address,
                         time_point now);

/// \brief Records the first data of a request.
void RecordRequest(address_demands& demands, const endpoint& address,
                   time_point now);

/// \brief Records the time from a request to its response.
/// \param is_queueing true while upstreams are so busy that the time contains a
/// wait in their queue. Such times are used only until there are enough
/// samples.
void RecordWork(address_demands& demands, const endpoint& address,
                duration elapsed, bool is_queueing);

/// \brief The mean number of requests of a placed flow, at least 1.
double RequestsPerFlow(const address_demand& demand);

/// \brief Openings to the address per second, as seen here.
double OpeningsPerSecond(const address_demand& demand, time_point now);

}  // namespace radishyard
