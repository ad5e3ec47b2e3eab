// Makes and applies the messages that carry loads.
#include "direct/view/load_exchange.h"

namespace radishyard {

load_report MeasureLoad(forwarding_state& state, time_point now) {
  if (!state.spill.is_enabled) return {};
  CountEnded(state.spill.meter, state.directory);
  return ExtractLoadReport(state.spill.meter, state.directory,
                           state.applied_list, now);
}

void UpdateOwnSum(forwarding_state& state, bool is_reader, size_t members,
                  time_point now) {
  load_pool& pool = state.spill.pool;
  if (!state.spill.is_enabled) return;
  if (!is_reader && IsSumKnown(pool, state.domain, kSumTimeout, now)) return;
  const auto sum =
      EstimateSum(pool, state.domain, state.spill.meter.last, members, now);
  if (sum) RecordSum(pool, *sum, now);
  if (!is_reader) return;
  const load_report& own = state.spill.meter.last;
  ApplyUpstreamFlows(pool, state.directory, state.applied_list, own,
                     SumUpstreamFlows(pool, own, state.digest, now), now);
}

load_notice MakeMemberNotice(const forwarding_state& state,
                             const view_member& self, time_point now) {
  const load_pool& pool = state.spill.pool;
  return {.sender = self,
          .sums = FreshSums(pool, now),
          .list_digest = state.digest,
          .upstream_flows = SumUpstreamFlows(pool, state.spill.meter.last,
                                             state.digest, now)};
}

std::optional<load_notice> MakeDomainNotice(const forwarding_state& state,
                                            const view_member& self,
                                            time_point now) {
  load_notice notice{.sender = self};
  for (domain_sum& sum : FreshSums(state.spill.pool, now))
    if (sum.domain == state.domain) notice.sums.push_back(std::move(sum));
  if (notice.sums.empty()) return std::nullopt;
  return notice;
}

bool ApplyLoadNotice(forwarding_state& state, const load_notice& notice,
                     time_point now) {
  if (!state.spill.is_enabled) return false;
  bool is_fresher = false;
  for (const domain_sum& sum : notice.sums)
    is_fresher |= RecordSum(state.spill.pool, sum, now);
  if (notice.sender.domain != state.domain) return is_fresher;
  if (notice.list_digest == state.digest)
    ApplyUpstreamFlows(state.spill.pool, state.directory, state.applied_list,
                       state.spill.meter.last, notice.upstream_flows, now);
  return false;
}

}  // namespace radishyard
