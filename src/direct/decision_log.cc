// Writes the log lines of decisions.
#include "direct/decision_log.h"

#include <array>
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
    Log(severity::kInfo, "opening",
        {{"flow", ToString(packet.flow)},
         {"copy", uint64_t{packet.retransmission_count}},
         {"decision", ToName(decision.reason)},
         {"upstream", ToHex(decision.upstream)},
         {"mark", uint64_t{decision.mark}},
         {"table", state.table.version},
         {"revision", state.directory.revision},
         {"age_ms", ListAgeMs(state.directory, now)}});
  } else if (decision.action != verdict_action::kForward) {
    Log(severity::kWarn,
        decision.action == verdict_action::kRefuse ? "flow_reset"
                                                   : "packet_dropped",
        {{"flow", ToString(packet.flow)},
         {"decision", ToName(decision.reason)},
         {"mark", uint64_t{packet.mark}},
         {"revision", state.directory.revision},
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
       {"revision", evacuations.list.revision},
       {"domains", domains.empty() ? "none" : domains}});
}

void LogNotice(const silence_notice& notice, bool is_contradicted) {
  for (const upstream_age& silent : notice.silent)
    Log(severity::kInfo, "silence_heard",
        {{"from", ToString(notice.sender)},
         {"upstream", ToHex(silent.upstream)},
         {"silent_ms", uint64_t{silent.age_ms}},
         {"contradicted", is_contradicted ? "yes" : "no"}});
  for (const upstream_age& alive : notice.alive)
    Log(severity::kInfo, "silence_contradicted",
        {{"from", ToString(notice.sender)},
         {"upstream", ToHex(alive.upstream)},
         {"alive_ms", uint64_t{alive.age_ms}}});
}

}  // namespace radishyard
