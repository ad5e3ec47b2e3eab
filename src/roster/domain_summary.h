// What the delegates of a domain tell the other domains about its members.
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

/// A domain of which no new summary came for so long is unreachable.
constexpr duration kSummaryTimeout = 2s;

/// \brief The state of one domain as one of its delegates sees it. Delegates
/// pass the summaries of other domains on to the members of their own.
struct domain_summary {
  std::string domain;
  member_id from;         ///< The delegate that made it.
  uint64_t sequence = 0;  ///< Rises with each summary of this delegate's run.
  uint64_t roster_epoch = 0;
  std::vector<member_id> dead;  ///< Members listed and believed dead.
  auto operator<=>(const domain_summary&) const = default;
};

/// \brief The latest summary of each delegate, with when it came.
struct remote_state {
  struct entry {
    domain_summary summary;
    time_point received_at;
    auto operator<=>(const entry&) const = default;
  };
  /// By domain and name of the delegate.
  std::map<std::pair<std::string, std::string>, entry> entries;
  auto operator<=>(const remote_state&) const = default;
};

/// \brief Summary of the own domain, to be sent by a delegate.
domain_summary SummaryOf(const roster& r, const liveness_state& liveness,
                         uint64_t sequence);

/// \brief A summary arrived, from its maker or passed on. Of a delegate's run
/// only higher sequences count, so an old copy keeps nothing alive.
remote_state OnSummary(remote_state state, const domain_summary& summary,
                       time_point now);

/// \brief True where a delegate of the domain was heard within
/// kSummaryTimeout; pools of an unreachable domain are left out of the choice
/// for new flows.
bool IsReachable(const remote_state& state, const std::string& domain,
                 time_point now);

/// \brief The members of another domain's roster that may be sent packets:
/// those that no reachable delegate believes dead; none where the domain is
/// unreachable.
std::set<member_id> AliveIn(const remote_state& state, const roster& r,
                            time_point now);

}  // namespace radishyard
