// Makes, applies and evaluates notices of silent upstreams.
#include "direct/forward/silence.h"

#include <algorithm>

namespace radishyard {
namespace {

uint32_t ToAgeMs(duration age) {
  return static_cast<uint32_t>(std::clamp<int64_t>(ToMs(age), 0, UINT32_MAX));
}

silence_witness MakeWitness(const endpoint& sender,
                            const silent_upstream& silent,
                            time_point silent_since, time_point now) {
  silence_witness witness{sender, silent_since, now, silent.callers};
  if (witness.callers.size() > kMaxSilentCallers)
    witness.callers.resize(kMaxSilentCallers);
  return witness;
}

void RecordWitness(known_upstream& upstream, const silence_witness& witness,
                   time_point now) {
  std::erase_if(upstream.witnesses, [&](const silence_witness& w) {
    return w.peer == witness.peer || now - w.heard_at > kWitnessRetention;
  });
  if (upstream.witnesses.size() < kMaxSilenceWitnesses)
    upstream.witnesses.push_back(witness);
}

}  // namespace

std::optional<silence_notice> MakeSilenceNotice(forwarding_state& state,
                                                upstream_id upstream,
                                                time_point now) {
  const auto found = state.directory.upstreams.find(upstream);
  if (found == state.directory.upstreams.end()) return std::nullopt;
  known_upstream& known = found->second;
  const bool is_due = now - known.notice_sent_at >= kNoticeInterval;
  const bool is_silent = known.stats.max_retransmissions > 0;
  if (!is_due || !is_silent || IsCallerPathDelayed(state.tracker, now))
    return std::nullopt;
  known.notice_sent_at = now;
  ++state.silences.sent;
  silence_notice notice;
  notice.silent.push_back({upstream,
                           ToAgeMs(now - known.stats.unanswered_since),
                           ListSilentCallers(known.stats, now)});
  return notice;
}

std::optional<silence_notice> ApplySilenceNotice(forwarding_state& state,
                                                 const silence_notice& notice,
                                                 time_point now) {
  auto& upstreams = state.directory.upstreams;
  for (const upstream_age& alive : notice.alive) {
    const auto found = upstreams.find(alive.upstream);
    if (found == upstreams.end()) continue;
    upstream_stats& stats = found->second.stats;
    const time_point alive_at = now - milliseconds(alive.age_ms);
    const bool is_news =
        stats.unanswered > 0 && alive_at > stats.unanswered_since + kLifeMargin;
    // Recorded as of now: what callers have retransmitted until now was lost on
    // the way, so it must not count together with later retransmissions.
    if (is_news) RecordAlive(stats, now);
  }
  silence_notice reply;
  state.silences.received += notice.silent.size();
  for (const silent_upstream& silent : notice.silent) {
    const auto found = upstreams.find(silent.upstream);
    if (found == upstreams.end()) continue;
    known_upstream& known = found->second;
    const time_point silent_since = now - milliseconds(silent.age_ms);
    if (known.stats.last_alive_at > silent_since + kLifeMargin)
      reply.alive.push_back(
          {silent.upstream, ToAgeMs(now - known.stats.last_alive_at)});
    else
      RecordWitness(known,
                    MakeWitness(notice.sender, silent, silent_since, now), now);
  }
  if (reply.alive.empty()) return std::nullopt;
  state.silences.contradicted += reply.alive.size();
  return reply;
}

bool IsSilenceProven(const forwarding_state& state,
                     const known_upstream& upstream, time_point now) {
  const bool is_confirmed =
      !state.has_peers || CountWitnesses(upstream, now) > 0;
  return is_confirmed &&
         CountSilentCallers(upstream, now) >= kMinSilentCallers &&
         !IsCallerPathDelayed(state.tracker, now) &&
         !IsPathSuspect(state.directory, now);
}

}  // namespace radishyard
