// Records what is observed of an upstream and assesses its health.
#include "direct/upstream/upstream_stats.h"

#include <algorithm>
#include <array>

namespace radishyard {
namespace {

/// Least weight of a new sample in the smoothed response time.
constexpr double kSampleWeight = 0.08;
/// Weight of one request in the failure rate.
constexpr double kFailureWeight = 0.12;
/// Above this failure rate new flows avoid the upstream. Three failures in a
/// row exceed it.
constexpr double kFailingRate = 0.3;
/// Without further failures, a failing upstream receives new flows again after
/// this time.
constexpr duration kFailureRetention = 3s;
/// Delay after a first unanswered opening until a suspect upstream receives
/// another one. It doubles with each further unanswered opening or
/// retransmission.
constexpr duration kFirstRetryDelay = 250ms;
/// Most times that the delay doubles.
constexpr uint32_t kMaxDoublings = 4;
/// Retransmissions of the same data that make an upstream unresponsive. Neither
/// one lost datagram nor a slow upstream explains that many.
constexpr uint32_t kUnresponsiveRetransmissions = 2;
/// Data must be unanswered for this long before an upstream is unresponsive. It
/// is longer than the delay before a caller's first retransmission.
constexpr duration kMinUnansweredTime = 350ms;
/// Retransmissions older than this do not count. Callers of an unresponsive
/// upstream retransmit data at shorter intervals.
constexpr duration kRetransmissionRetention = 1s;

void RecordSilentCaller(upstream_stats& stats, uint32_t caller,
                        time_point now) {
  std::erase_if(stats.silent_callers, [&](const silent_caller& c) {
    return c.address == caller ||
           now - c.retransmitted_at > kRetransmissionRetention;
  });
  if (stats.silent_callers.size() < kMaxSilentCallers)
    stats.silent_callers.push_back({caller, now});
}

}  // namespace

std::string_view ToName(health_state health) {
  constexpr std::array<std::string_view, 4> kNames{"good", "doubted", "failing",
                                                   "silent"};
  return kNames.at(static_cast<size_t>(health));
}

health_state AssessHealth(const upstream_stats& stats, duration opening_timeout,
                          time_point now) {
  if (IsUnresponsive(stats, now)) return health_state::kUnresponsive;
  if (IsFailing(stats, now)) return health_state::kFailing;
  if (IsSuspect(stats, opening_timeout, now)) return health_state::kSuspect;
  return health_state::kHealthy;
}

void RecordResponseTime(upstream_stats& stats, duration elapsed) {
  const double elapsed_s = std::chrono::duration<double>(elapsed).count();
  ++stats.responses;
  ++stats.unreported.responses;
  stats.unreported.total_response_s += elapsed_s;
  const double weight = std::max(kSampleWeight, 1.0 / stats.responses);
  stats.mean_response_s += weight * (elapsed_s - stats.mean_response_s);
}

void RecordSuccess(upstream_stats& stats) {
  stats.failure_rate *= 1 - kFailureWeight;
}

void RecordFailure(upstream_stats& stats, time_point now) {
  stats.failure_rate += kFailureWeight * (1 - stats.failure_rate);
  stats.last_failure_at = now;
  ++stats.unreported.failures;
}

bool IsFailing(const upstream_stats& stats, time_point now) {
  return stats.failure_rate > kFailingRate &&
         now - stats.last_failure_at < kFailureRetention;
}

void RecordAlive(upstream_stats& stats, time_point now) {
  stats.last_alive_at = now;
  stats.unanswered = 0;
  stats.max_retransmissions = 0;
  stats.silent_callers.clear();
}

void RecordOpening(upstream_stats& stats, time_point now) {
  if (stats.unanswered++ == 0) stats.unanswered_since = now;
  stats.last_opening_at = now;
}

void RecordRetransmission(upstream_stats& stats, uint32_t caller,
                          uint32_t count, time_point sent_at, time_point now) {
  const bool is_expired =
      stats.max_retransmissions > 0 &&
      now - stats.retransmitted_at > kRetransmissionRetention;
  if (is_expired) stats.unanswered = stats.max_retransmissions = 0;
  if (stats.unanswered++ == 0) stats.unanswered_since = sent_at;
  stats.max_retransmissions = std::max(stats.max_retransmissions, count);
  stats.retransmitted_at = now;
  if (count >= kUnresponsiveRetransmissions)
    RecordSilentCaller(stats, caller, now);
}

bool IsSuspect(const upstream_stats& stats, duration opening_timeout,
               time_point now) {
  if (stats.unanswered == 0 || now - stats.unanswered_since <= opening_timeout)
    return false;
  const uint32_t doublings = std::min(stats.unanswered - 1, kMaxDoublings);
  return now - stats.last_opening_at <
         kFirstRetryDelay * (int64_t{1} << doublings);
}

bool IsUnresponsive(const upstream_stats& stats, time_point now) {
  return stats.max_retransmissions >= kUnresponsiveRetransmissions &&
         now - stats.retransmitted_at <= kRetransmissionRetention &&
         now - stats.unanswered_since >= kMinUnansweredTime;
}

std::vector<uint32_t> ListSilentCallers(const upstream_stats& stats,
                                        time_point now) {
  std::vector<uint32_t> callers;
  for (const silent_caller& c : stats.silent_callers)
    if (now - c.retransmitted_at <= kRetransmissionRetention)
      callers.push_back(c.address);
  return callers;
}

}  // namespace radishyard
