// Orders the states of the evacuation requests by the store's revision.
#include "direct/evacuation/evacuation.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishyard {
namespace {

/// Below this interval, readers would call the platform more often than all
/// members together with a read for each bound.
constexpr duration kMinRelayedInterval = 1s;

using domain_list = std::vector<std::string>;

/// Returns the domains that are evacuated while `set.kept` is of effect: those
/// kept, and those requested since the return.
domain_list MergeKept(const evacuation_set& set, const domain_list& listed) {
  domain_list requested;
  std::set_difference(listed.begin(), listed.end(), set.copied.begin(),
                      set.copied.end(), std::back_inserter(requested));
  domain_list merged;
  std::set_union(set.kept.begin(), set.kept.end(), requested.begin(),
                 requested.end(), std::back_inserter(merged));
  return merged;
}

/// Replaces the list if the new one, current at `at`, is not older.
evacuation_effect ReplaceList(evacuation_set& set, evacuation_list list,
                              time_point at) {
  if (!IsKnown(list.revision) || list.revision < set.list.revision)
    return evacuation_effect::kOlder;
  const uint64_t epoch_before = set.list.revision.epoch;
  const bool has_returned =
      epoch_before != 0 && list.revision.epoch > epoch_before;
  if (has_returned) {
    set.kept = set.list.domains;
    set.copied = list.domains;
    set.kept_until = at + kEvacuationRewriteTime;
  }
  if (at < set.kept_until) list.domains = MergeKept(set, list.domains);
  const bool is_same =
      IsKnown(set.list.revision) && list.domains == set.list.domains;
  set.list = std::move(list);
  return is_same ? evacuation_effect::kConfirmed : evacuation_effect::kChanged;
}

}  // namespace

bool IsEvacuated(const evacuation_list& list, std::string_view domain) {
  return std::binary_search(list.domains.begin(), list.domains.end(), domain);
}

evacuation_effect ApplyEvacuations(evacuation_set& set, evacuation_list list,
                                   time_point read_at) {
  const evacuation_effect effect = ReplaceList(set, std::move(list), read_at);
  if (effect == evacuation_effect::kOlder) return effect;
  set.read_at = std::max(set.read_at, read_at);
  set.confirmed_at = std::max(set.confirmed_at, read_at);
  return effect;
}

evacuation_effect ApplyEvacuationReport(evacuation_set& set,
                                        const evacuation_report& report,
                                        time_point now) {
  evacuation_list list{{report.epoch, report.revision}, report.domains};
  std::sort(list.domains.begin(), list.domains.end());
  const evacuation_effect effect = ReplaceList(set, std::move(list), now);
  const bool is_confirmation =
      effect != evacuation_effect::kOlder && report.age_ms != kNotConfirmed;
  if (!is_confirmation) return effect;
  const time_point at = now - milliseconds(report.age_ms);
  if (report.is_read_by_sender) set.direct_at = std::max(set.direct_at, at);
  set.confirmed_at = std::max(set.confirmed_at, at);
  return effect;
}

evacuation_report MakeEvacuationReport(const evacuation_set& set,
                                       time_point now) {
  evacuation_report report{.revision = set.list.revision.number,
                           .domains = set.list.domains,
                           .epoch = set.list.revision.epoch};
  const time_point at = std::max(set.read_at, set.direct_at);
  if (at == time_point{}) return report;
  report.is_read_by_sender = set.read_at >= set.direct_at;
  report.age_ms = static_cast<uint32_t>(
      std::clamp<int64_t>(ToMs(now - at), 0, kNotConfirmed));
  return report;
}

void RecordSuspension(evacuation_set& set, duration elapsed) {
  for (time_point* const at : {&set.read_at, &set.direct_at, &set.confirmed_at})
    if (*at != time_point{}) *at -= elapsed;
}

bool LimitDomains(evacuation_list& list,
                  const std::vector<std::string>& known_domains) {
  const auto is_known = [&known_domains](const std::string& domain) {
    return std::find(known_domains.begin(), known_domains.end(), domain) !=
           known_domains.end();
  };
  std::stable_partition(list.domains.begin(), list.domains.end(), is_known);
  size_t bytes = 0;
  const auto first_left_out = std::find_if(
      list.domains.begin(), list.domains.end(), [&bytes](const auto& domain) {
        bytes += domain.size() + kNameHeaderBytes;
        return bytes > kMaxEvacuationBytes;
      });
  const bool is_complete = first_left_out == list.domains.end();
  list.domains.erase(first_left_out, list.domains.end());
  std::sort(list.domains.begin(), list.domains.end());
  return is_complete;
}

evacuation_times MakeEvacuationTimes(duration bound,
                                     const answer_timing& timing,
                                     duration recheck_interval) {
  const duration relayed =
      std::min(bound / 2, bound - LostAnswerDelay(timing) - kEvacuationSpread);
  const bool is_relayed = relayed >= kMinRelayedInterval;
  return {
      .read_interval = is_relayed ? relayed : MaxAnswerInterval(bound, timing),
      .confirmation_timeout = bound - recheck_interval - kReadTimeAllowance,
      .is_relayed = is_relayed};
}

}  // namespace radishyard
