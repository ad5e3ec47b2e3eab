// Writes the log lines of decisions.
#include "direct/forward/decision_log.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>

#include "observe/log.h"

namespace radishyard {
namespace {

/// The log event for a change of the directory.
std::string_view ToEventName(directory_change::kind event) {
  constexpr std::array<std::string_view, 6> kNames{
      "upstream_joined",  "upstream_restarted", "upstream_returned",
      "upstream_leaving", "upstream_gone",      "upstream_missing"};
  return kNames.at(static_cast<size_t>(event));
}

}  // namespace

uint64_t ListAgeMs(const upstream_directory& directory, time_point now) {
  return static_cast<uint64_t>(ToMs(now - directory.read_at));
}

void LogVerdict(const direct_packet& packet, const verdict& decision,
                const forwarding_state& state, time_point now) {
  if (packet.is_opening) {
    // Under overload the summary lines of admission control take the place of
    // these, which would use up the limit on lines of this event.
    const bool is_not_admitted =
        decision.reason == verdict_reason::kDelayedByAdmission ||
        decision.reason == verdict_reason::kRefusedByAdmission;
    Log(is_not_admitted ? severity::kDebug : severity::kInfo, "opening",
        {{"flow", ToString(packet.flow)},
         {"copy", uint64_t{packet.retransmission_count}},
         {"decision", ToName(decision.reason)},
         {"upstream", ToHex(decision.upstream)},
         {"mark", uint64_t{decision.mark}},
         {"table", state.table.version},
         {"revision", state.directory.revision.number},
         {"age_ms", ListAgeMs(state.directory, now)}});
  } else if (decision.action != verdict_action::kForward) {
    Log(severity::kWarn,
        decision.action == verdict_action::kRefuse ? "flow_reset"
                                                   : "packet_dropped",
        {{"flow", ToString(packet.flow)},
         {"decision", ToName(decision.reason)},
         {"mark", uint64_t{packet.mark}},
         {"revision", state.directory.revision.number},
         {"age_ms", ListAgeMs(state.directory, now)}});
  } else if (decision.first_sent_at) {
    Log(severity::kWarn, "data_repeated",
        {{"flow", ToString(packet.flow)},
         {"upstream", ToHex(decision.upstream)},
         {"unanswered_ms",
          static_cast<uint64_t>(ToMs(now - *decision.first_sent_at))}});
  }
}

void LogDirectoryChanges(const std::vector<directory_change>& changes,
                         uint64_t revision) {
  for (const directory_change& change : changes)
    Log(severity::kInfo, ToEventName(change.event),
        {{"upstream", ToHex(change.upstream)}, {"revision", revision}});
}

void LogHealthChanges(const std::vector<health_change>& changes,
                      const upstream_directory& directory) {
  for (const health_change& change : changes) {
    const upstream_stats& stats = directory.upstreams.at(change.upstream).stats;
    Log(severity::kInfo, "upstream_believed",
        {{"upstream", ToHex(change.upstream)},
         {"before", ToName(change.before)},
         {"after", ToName(change.after)},
         {"unanswered", uint64_t{stats.unanswered}},
         {"repetitions", uint64_t{stats.max_retransmissions}},
         {"failure_percent", static_cast<uint64_t>(100 * stats.failure_rate)},
         {"flows", uint64_t{stats.flows}},
         {"answer_ms", static_cast<uint64_t>(1000 * stats.mean_response_s)}});
  }
}

void LogEvacuations(const std::string& source,
                    const evacuation_set& evacuations) {
  std::string domains;
  for (const std::string& domain : evacuations.list.domains)
    domains += (domains.empty() ? "" : ",") + domain;
  Log(severity::kInfo, "evacuations",
      {{"source", source},
       {"revision", evacuations.list.revision.number},
       {"domains", domains.empty() ? "none" : domains}});
}

void LogShareChanges(const std::vector<service_shares>& changes) {
  constexpr double kPercent = 100;
  const auto to_count = [](double value) {
    return static_cast<uint64_t>(std::lround(value));
  };
  for (const service_shares& s : changes) {
    for (const spill_input& input : s.inputs) {
      const auto at =
          std::ranges::find(s.shares, input.domain, &domain_share::domain);
      if (at == s.shares.end()) continue;
      Log(severity::kInfo, "share_changed",
          {{"service", s.service},
           {"domain", input.domain},
           {"share_percent", to_count(kPercent * at->share)},
           {"slots", to_count(input.slots)},
           {"demand", to_count(input.demand)},
           {"busy", to_count(input.busy)},
           {"failure_percent", to_count(kPercent * input.failure_share)},
           {"age_ms",
            static_cast<uint64_t>(std::max<int64_t>(0, ToMs(input.age)))},
           {"known", input.is_known ? "yes" : "no"},
           {"silent", input.is_silent ? "yes" : "no"}});
    }
  }
}

void LogNotice(const silence_notice& notice, bool is_contradicted) {
  for (const silent_upstream& silent : notice.silent)
    Log(severity::kInfo, "silence_heard",
        {{"from", ToString(notice.sender)},
         {"upstream", ToHex(silent.upstream)},
         {"silent_ms", uint64_t{silent.age_ms}},
         {"callers", uint64_t{silent.callers.size()}},
         {"contradicted", is_contradicted ? "yes" : "no"}});
  for (const upstream_age& alive : notice.alive)
    Log(severity::kInfo, "silence_contradicted",
        {{"from", ToString(notice.sender)},
         {"upstream", ToHex(alive.upstream)},
         {"alive_ms", uint64_t{alive.age_ms}}});
}

}  // namespace radishyard
