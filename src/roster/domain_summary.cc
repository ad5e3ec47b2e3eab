// Creates the summaries of dead members that the delegates of a domain send to
// other domains, and records the latest summary of each delegate.
#include "roster/domain_summary.h"

#include <tuple>

namespace radishyard {
namespace {

bool IsCurrentSummaryOf(const remote_summaries::entry& entry,
                        const std::string& domain, time_point now) {
  return entry.summary.domain == domain &&
         now - entry.received_at < kSummaryTimeout;
}

}  // namespace

domain_summary MakeDomainSummary(const roster& r,
                                 const liveness_state& liveness,
                                 uint64_t sequence) {
  domain_summary summary{r.domain, liveness.self, sequence, r.epoch, {}};
  for (const member& m : r.members) {
    if (LivenessOf(liveness, m.id) == peer_liveness::kDead)
      summary.dead.push_back(m.id);
  }
  return summary;
}

remote_summaries RecordSummary(remote_summaries state,
                               const domain_summary& summary, time_point now) {
  const auto recency = [](const domain_summary& s) {
    return std::tuple(s.from.incarnation, s.sequence);
  };
  const auto [found, added] =
      state.entries.try_emplace({summary.domain, summary.from.name},
                                remote_summaries::entry{summary, now});
  if (!added && recency(found->second.summary) < recency(summary)) {
    found->second = {summary, now};
  }
  return state;
}

bool HasCurrentSummary(const remote_summaries& state, const std::string& domain,
                       time_point now) {
  for (const auto& [key, entry] : state.entries) {
    if (IsCurrentSummaryOf(entry, domain, now)) return true;
  }
  return false;
}

std::set<member_id> LiveMembersOfDomain(const remote_summaries& state,
                                        const roster& r, time_point now) {
  // Without a current summary, the state of every member is unknown and none
  // counts as alive. With several, one that lists a member as dead suffices.
  std::set<member_id> alive;
  if (!HasCurrentSummary(state, r.domain, now)) return alive;
  for (const member& m : r.members) alive.insert(m.id);
  for (const auto& [key, entry] : state.entries) {
    if (!IsCurrentSummaryOf(entry, r.domain, now)) continue;
    for (const member_id& id : entry.summary.dead) alive.erase(id);
  }
  return alive;
}

}  // namespace radishyard
