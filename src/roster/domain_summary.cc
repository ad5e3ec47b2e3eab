// Creates summaries and records the latest one of each delegate.
#include "roster/domain_summary.h"

#include <tuple>

namespace radishyard {
namespace {

bool IsCurrent(const remote_summaries::entry& entry, const std::string& domain,
               time_point now) {
  return entry.summary.domain == domain &&
         now - entry.received_at < kSummaryTimeout;
}

}  // namespace

domain_summary MakeDomainSummary(const roster& r,
                                 const liveness_state& liveness,
                                 uint64_t sequence) {
  domain_summary summary{r.domain, liveness.self, sequence, r.epoch, {}};
  for (const member& m : r.members) {
    if (HealthOf(liveness, m.id) == peer_health::kDead)
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

bool IsReachable(const remote_summaries& state, const std::string& domain,
                 time_point now) {
  for (const auto& [key, entry] : state.entries) {
    if (IsCurrent(entry, domain, now)) return true;
  }
  return false;
}

std::set<member_id> LiveMembersOfDomain(const remote_summaries& state,
                                        const roster& r, time_point now) {
  std::set<member_id> alive;
  if (!IsReachable(state, r.domain, now)) return alive;
  for (const member& m : r.members) alive.insert(m.id);
  for (const auto& [key, entry] : state.entries) {
    if (!IsCurrent(entry, r.domain, now)) continue;
    for (const member_id& id : entry.summary.dead) alive.erase(id);
  }
  return alive;
}

}  // namespace radishyard
