// Adds up the loads of balancers and of domains.
#include "direct/load/load_pool.h"

#include <algorithm>
#include <tuple>

#include "direct/load/load_meter.h"

namespace radishyard {
namespace {

constexpr double kThousandths = 1000;
/// Most members and domains kept.
constexpr size_t kMaxMembers = 4096;
constexpr size_t kMaxDomains = 64;
/// An estimate needs one of so many members: scaled up from fewer, the noise of
/// their few requests would look like overload.
constexpr size_t kMembersPerSample = 4;

/// A sample whose counts are added up without loss.
struct sample_sum {
  double busy_milli = 0;
  double ended_milli_per_s = 0;
  double failures_milli_per_s = 0;

  void Add(const load_sample& s) {
    busy_milli += s.busy_milli;
    ended_milli_per_s += s.ended_milli_per_s;
    failures_milli_per_s += s.failures_milli_per_s;
  }
};

uint32_t ToCount(double value) {
  constexpr double kLargest = UINT32_MAX;
  return static_cast<uint32_t>(std::clamp(value, 0.0, kLargest));
}

uint32_t ToAgeMs(duration age) {
  return static_cast<uint32_t>(std::clamp<int64_t>(ToMs(age), 0, UINT32_MAX));
}

std::vector<load_sample> Scale(const std::map<load_key, sample_sum>& totals,
                               double factor) {
  std::vector<load_sample> samples;
  samples.reserve(totals.size());
  for (const auto& [key, total] : totals)
    samples.push_back({key.first, key.second,
                       ToCount(total.busy_milli * factor),
                       ToCount(total.ended_milli_per_s * factor),
                       ToCount(total.failures_milli_per_s * factor)});
  return samples;
}

/// Adds the part of `sum` that concerns upstreams of `load` to it.
void AddSum(service_load& load, const domain_sum& sum) {
  for (const load_sample& s : sum.samples) {
    if (s.service != load.service || s.domain != load.domain) continue;
    load.busy += s.busy_milli / kThousandths;
    load.failures_per_s += s.failures_milli_per_s / kThousandths;
  }
}

void RemoveExpiredMembers(load_pool& pool, time_point now) {
  std::erase_if(pool.members, [now](const auto& item) {
    return now - item.second.received_at > kMaxLoadAge;
  });
}

void RemoveExpiredSums(load_pool& pool, time_point now) {
  std::erase_if(pool.sums, [now](const auto& item) {
    return now - item.second.measured_at > kMaxLoadAge;
  });
}

}  // namespace

void RecordMemberLoad(load_pool& pool, const endpoint& member,
                      const member_load& load) {
  if (load.load.interval_ms == 0) return;
  const bool is_new = !pool.members.contains(member);
  // A member that does not estimate sums would otherwise keep the loads of all
  // balancers that it has ever heard.
  if (is_new) RemoveExpiredMembers(pool, load.received_at);
  if (is_new && pool.members.size() >= kMaxMembers) return;
  pool.members[member] = load;
}

std::optional<domain_sum> EstimateSum(load_pool& pool,
                                      const std::string& domain,
                                      const load_report& own,
                                      size_t other_members, time_point now) {
  if (own.interval_ms == 0) return std::nullopt;
  RemoveExpiredMembers(pool, now);
  std::map<load_key, sample_sum> totals;
  duration total_age{};
  for (const load_sample& s : own.samples) totals[{s.service, s.domain}].Add(s);
  for (const auto& [peer, member] : pool.members) {
    total_age += now - member.received_at;
    for (const load_sample& s : member.load.samples)
      totals[{s.service, s.domain}].Add(s);
  }
  const size_t heard = pool.members.size() + 1;
  const size_t members = std::max(other_members + 1, heard);
  if (heard * kMembersPerSample < members) return std::nullopt;
  return domain_sum{
      domain, ToAgeMs(total_age / static_cast<int64_t>(heard)),
      Scale(totals, static_cast<double>(members) / static_cast<double>(heard))};
}

bool RecordSum(load_pool& pool, const domain_sum& sum, time_point now) {
  const time_point measured_at = now - milliseconds(sum.age_ms);
  const auto known = pool.sums.find(sum.domain);
  if (known == pool.sums.end()) {
    // Sums of domains that no longer exist must not exclude new ones for good.
    if (pool.sums.size() >= kMaxDomains) RemoveExpiredSums(pool, now);
    if (pool.sums.size() >= kMaxDomains) return false;
  } else if (known->second.measured_at >= measured_at) {
    return false;
  }
  pool.sums[sum.domain] = {sum, measured_at};
  return true;
}

bool IsSumKnown(const load_pool& pool, const std::string& domain, duration age,
                time_point now) {
  const auto known = pool.sums.find(domain);
  return known != pool.sums.end() && now - known->second.measured_at <= age;
}

std::vector<domain_sum> FreshSums(const load_pool& pool, time_point now) {
  std::vector<domain_sum> sums;
  for (const auto& [domain, known] : pool.sums) {
    if (now - known.measured_at > kMaxLoadAge) continue;
    sums.push_back(known.sum);
    sums.back().age_ms = ToAgeMs(now - known.measured_at);
  }
  return sums;
}

std::vector<uint16_t> SumUpstreamFlows(const load_pool& pool,
                                       const load_report& own,
                                       uint64_t list_digest, time_point now) {
  std::vector<uint16_t> sums(own.upstream_flows.begin(),
                             own.upstream_flows.end());
  for (const auto& [peer, member] : pool.members) {
    const std::vector<uint8_t>& flows = member.load.upstream_flows;
    const bool is_usable = member.list_digest == list_digest &&
                           flows.size() == sums.size() &&
                           now - member.received_at <= kMaxLoadAge;
    if (!is_usable) continue;
    for (size_t i = 0; i < flows.size(); ++i)
      sums[i] = static_cast<uint16_t>(
          std::min<uint32_t>(sums[i] + flows[i], UINT16_MAX));
  }
  return sums;
}

void ApplyUpstreamFlows(load_pool& pool, upstream_directory& directory,
                        const upstream_list& list, const load_report& own,
                        const std::vector<uint16_t>& flows, time_point now) {
  if (flows.empty() || flows.size() != list.upstreams.size() ||
      own.upstream_flows.size() != flows.size())
    return;
  std::vector<upstream_id> ids;
  for (const upstream_entry& entry : list.upstreams) ids.push_back(entry.id);
  std::sort(ids.begin(), ids.end());
  for (size_t i = 0; i < ids.size(); ++i) {
    const auto found = directory.upstreams.find(ids[i]);
    if (found == directory.upstreams.end()) continue;
    const uint32_t own_flows = own.upstream_flows[i];
    found->second.stats.peer_flows =
        flows[i] > own_flows ? flows[i] - own_flows : 0;
  }
  pool.flows_received_at = now;
}

load_view MakeLoadView(const load_pool& pool,
                       const upstream_directory& directory,
                       duration opening_timeout, time_point now) {
  load_view view;
  for (const auto& [service, upstreams] : directory.ready_by_service) {
    for (const auto& [domain, slots] :
         CountUsableSlots(upstreams, opening_timeout, now)) {
      const auto own = pool.sums.find(domain);
      if (own == pool.sums.end()) continue;
      service_load load{.service = service,
                        .domain = domain,
                        .slots = slots,
                        .measured_at = own->second.measured_at};
      for (const auto& [source, known] : pool.sums)
        if (source == domain || now - known.measured_at <= kMaxLoadAge)
          AddSum(load, known.sum);
      view.loads.push_back(std::move(load));
    }
  }
  return view;
}

}  // namespace radishyard
