// Pools the loads that balancers measure. The readers of a failure domain hear
// all of its members, send the sum to the members, and to the other domains.
// The state is bounded by the number of members and domains, and may be lost.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "direct/load/load_message.h"
#include "direct/load/service_load.h"
#include "direct/upstream/upstream_directory.h"

namespace radishyard {

/// \brief A member without a sum of its own domain for this long, because the
/// readers are gone, estimates it itself. Readers send one a second at least.
inline constexpr duration kSumTimeout = 1500ms;

/// \brief The measurement of one member, and when it was received.
struct member_load {
  load_report load;
  uint64_t list_digest = 0;  ///< Of the list of `load.upstream_flows`.
  time_point received_at{};
  auto operator<=>(const member_load&) const = default;
};

/// \brief The sum over the balancers of one domain.
struct known_sum {
  domain_sum sum;
  /// Mean time at which its samples were received, by the clock of this
  /// balancer. Transfers of the sum count as instantaneous.
  time_point measured_at{};
  auto operator<=>(const known_sum&) const = default;
};

/// \brief All known measurements and sums.
struct load_pool {
  std::map<endpoint, member_load> members;  ///< Other members, own domain.
  std::map<std::string, known_sum> sums;    ///< By domain of the balancers.
  /// When `stats.peer_flows` of the upstreams was last updated.
  time_point flows_received_at{};
};

/// \brief Records the measurement that a member of the own domain has reported.
void RecordMemberLoad(load_pool& pool, const endpoint& member,
                      const member_load& load);

/// \brief Estimates the sum of a domain from the members heard within
/// kMaxLoadAge, scaled to the number of members.
/// \param own the measurement of this balancer.
/// \param other_members number of the other members of the domain.
/// \returns nothing if this balancer has not measured yet, or has heard less
/// than a quarter of the members.
std::optional<domain_sum> EstimateSum(load_pool& pool,
                                      const std::string& domain,
                                      const load_report& own,
                                      size_t other_members, time_point now);

/// \brief Records a sum unless a fresher one of its domain is known.
/// \returns true if it was recorded.
bool RecordSum(load_pool& pool, const domain_sum& sum, time_point now);

/// \brief True if the sum of `domain` is known and not older than `age`.
bool IsSumKnown(const load_pool& pool, const std::string& domain, duration age,
                time_point now);

/// \brief Returns the sums within kMaxLoadAge, with their ages.
std::vector<domain_sum> FreshSums(const load_pool& pool, time_point now);

/// \brief Sums the open flows of each upstream over this balancer and the
/// members whose report has the same list.
std::vector<uint16_t> SumUpstreamFlows(const load_pool& pool,
                                       const load_report& own,
                                       uint64_t list_digest, time_point now);

/// \brief Updates `stats.peer_flows` from the sums of a reader, which contain
/// the flows that this balancer reported last.
void ApplyUpstreamFlows(load_pool& pool, upstream_directory& directory,
                        const upstream_list& list, const load_report& own,
                        const std::vector<uint16_t>& flows, time_point now);

/// \brief Builds the loads of all services and domains with ready upstreams
/// whose sum has been received. Sums of other domains add to the load of a
/// domain's upstreams while they are not older than kMaxLoadAge.
load_view MakeLoadView(const load_pool& pool,
                       const upstream_directory& directory,
                       duration opening_timeout, time_point now);

}  // namespace radishyard
