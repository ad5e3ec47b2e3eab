// Decides which share of the new flows of a service goes to each failure
// domain: all to the own one while it has capacity, and its overflow to domains
// with spare capacity. It addresses callers of one domain that need more than
// its upstreams can serve while those of other domains are idle.
//
// The decision compares demand, the slots that the requests of a domain's
// callers need wherever they are placed, with slots. Demand does not depend on
// the shares, so old sums of it make no feedback loop that could oscillate.
// Requests in service on a domain's upstreams would, because they contain what
// the decision itself has placed there.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "direct/load/load_meter.h"
#include "direct/load/load_pool.h"
#include "direct/load/service_load.h"
#include "direct/upstream/upstream_directory.h"

namespace radishyard {

/// \brief Lowest demand per slot above which a domain has no spare capacity.
/// Above it, the queues of upstreams grow fast with the load.
inline constexpr double kSpillThreshold = 0.7;
/// \brief The highest one, which applies if the domains together need as much.
/// Requests wait for 1.8 times as long as they are served there (M/M/2).
inline constexpr double kMaxSpillThreshold = 0.8;

/// \brief What a decision knows of one domain and one service.
struct spill_input {
  std::string domain;
  double slots = 0;  ///< Of ready and usable upstreams; 0 if there are none.
  /// Slots that the requests of the domain's callers need, wherever placed.
  double demand = 0;
  double busy = 0;  ///< Requests in service or queued on its upstreams.
  /// Share of the requests there that fail.
  double failure_share = 0;
  duration age{};         ///< Of the sum of its balancers; see service_load.
  bool is_known = false;  ///< The age is within kMaxLoadAge.
  /// Its upstreams leave openings of this balancer unanswered; see
  /// IsDomainSilent(). Always false for the own domain.
  bool is_silent = false;
  auto operator<=>(const spill_input&) const = default;
};

/// \brief The share of one domain in the new flows of a service.
struct domain_share {
  std::string domain;
  double share = 0;  ///< 0 to 1.
  auto operator<=>(const domain_share&) const = default;
};

/// \brief The shares in effect for one service. Invariant: `shares` has one
/// entry for each domain with ready upstreams, and adds up to 1 unless empty.
struct service_shares {
  std::string service;
  std::vector<domain_share> shares;
  time_point decided_at{};
  double logged_own_share = 1;      ///< As last logged.
  std::vector<spill_input> inputs;  ///< Of the last decision.
  auto operator<=>(const service_shares&) const = default;
};

/// \brief State of the part in a balancer.
struct spill_over_state {
  bool is_enabled = false;
  load_meter meter;
  load_pool pool;
  std::vector<service_shares> services;  ///< Sorted by service.
};

/// \brief Computes the shares that the inputs call for, without smoothing.
///
/// The overflow of a domain is its demand beyond a threshold x slots (see
/// kMaxSpillThreshold), its spare capacity what is left below. All overflowing
/// domains divide the spare capacity in proportion to their overflow. What
/// fits nowhere stays in the own domain. Failures raise the demand of the own
/// domain and take the spare capacity of another one. A domain whose load is
/// unknown counts with a small part of its slots.
/// \param inputs the domains with ready upstreams, and the own domain.
std::vector<domain_share> ComputeShares(const std::vector<spill_input>& inputs,
                                        std::string_view own_domain);

/// \brief Moves the shares in effect towards `target`: fast out of the own
/// domain, slowly back and between other domains.
std::vector<domain_share> SmoothShares(
    const std::vector<domain_share>& in_effect,
    const std::vector<domain_share>& target, std::string_view own_domain,
    duration elapsed);

/// \brief True if upstreams of another domain leave openings unanswered for
/// longer than `opening_timeout`, none of its upstreams has shown a sign of
/// life since, and it is too early for another opening. The domain, or the way
/// to it, is down.
bool IsDomainSilent(const std::vector<known_upstream*>& upstreams,
                    std::string_view domain, duration opening_timeout,
                    time_point now);

/// \brief Updates the shares of all services. To be called several times a
/// second.
/// \param loads the present MakeLoadView().
/// \returns the services whose share of the own domain has changed by more
/// than a step since it was last returned, to be logged.
std::vector<service_shares> UpdateShares(spill_over_state& spill,
                                         const load_view& loads,
                                         const upstream_directory& directory,
                                         const std::string& own_domain,
                                         duration opening_timeout,
                                         time_point now);

/// \brief The domain of a new flow, and those that it must avoid.
struct domain_choice {
  std::string domain;
  std::vector<std::string> silent;  ///< See IsDomainSilent().
  auto operator<=>(const domain_choice&) const = default;
};

/// \brief Selects the domain of a new flow by the shares and the flow's hash.
/// Domains that are silent now are left out.
/// \returns the own domain while the part is off or no shares are known.
domain_choice SelectDomain(const spill_over_state& spill,
                           const upstream_directory& directory,
                           std::string_view service,
                           const std::string& own_domain, uint64_t flow_hash,
                           duration opening_timeout, time_point now);

/// \brief True if the pooled flows of upstreams are fresh enough to be used.
bool HasPeerFlows(const spill_over_state& spill, time_point now);

}  // namespace radishyard
