// Summaries of which members of a failure domain are dead, as the delegates of
// the domain send them to the other domains.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "roster/liveness.h"
#include "roster/roster.h"

namespace radishyard {

/// \brief A domain without a new summary for this time is unreachable.
constexpr duration kSummaryTimeout = 2s;

/// \brief The state of one domain by the failure detector of one of its
/// delegates. Delegates forward the summaries of other domains to the members
/// of their own.
struct domain_summary {
  std::string domain;
  member_id from;         ///< The delegate that created it.
  uint64_t sequence = 0;  ///< Rises with each summary of this run of the
                          ///< delegate.
  uint64_t roster_epoch = 0;
  std::vector<member_id> dead;  ///< Listed members that are dead.
  auto operator<=>(const domain_summary&) const = default;
};

/// \brief The latest summary of each delegate, and when it was received.
struct remote_summaries {
  struct entry {
    domain_summary summary;
    time_point received_at;
    auto operator<=>(const entry&) const = default;
  };
  /// By domain and name of the delegate.
  std::map<std::pair<std::string, std::string>, entry> entries;
  auto operator<=>(const remote_summaries&) const = default;
};

/// \brief Creates the summary of the domain of `r`, for a delegate to send.
domain_summary MakeDomainSummary(const roster& r,
                                 const liveness_state& liveness,
                                 uint64_t sequence);

/// \brief Records a summary that was received from its delegate or forwarded.
/// Only a later run of the delegate or a higher sequence number replaces the
/// entry, so that duplicates do not keep a domain reachable.
remote_summaries RecordSummary(remote_summaries state,
                               const domain_summary& summary, time_point now);

/// \brief True if a new summary of the domain was received within
/// kSummaryTimeout. New flows are not assigned to pools of an unreachable
/// domain.
bool HasCurrentSummary(const remote_summaries& state, const std::string& domain,
                       time_point now);

/// \brief The members of another domain's roster to which packets may be sent:
/// those that no current summary lists as dead; none if the domain is
/// unreachable.
std::set<member_id> LiveMembersOfDomain(const remote_summaries& state,
                                        const roster& r, time_point now);

}  // namespace radishyard
