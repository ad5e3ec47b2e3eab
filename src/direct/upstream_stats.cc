// Smoothing of answer times, and signs of life.
#include "direct/upstream_stats.h"

#include <algorithm>
#include <array>

namespace radishyard {
namespace {

/// Weight of a new sample once there are enough of them.
constexpr double kSampleWeight = 0.08;
/// Weight of one request in the failure rate.
constexpr double kFailureWeight = 0.12;
/// Above this rate new flows avoid the upstream: three failures in a row.
constexpr double kFailingRate = 0.3;
/// Without further failures, the upstream gets new flows again after this.
constexpr duration kFailureMemory = 3s;
/// Wait for the next opening after a first unanswered one; doubles with each.
constexpr duration kFirstRetry = 250ms;
constexpr uint32_t kMostDoublings = 4;
/// Repetitions of the same data that a lost datagram or two, or a slow
/// upstream, does not explain.
constexpr uint32_t kSilentRepetitions = 2;
/// Longer than the pause before a caller's first repetition.
constexpr duration kSilence = 350ms;
/// Callers of a silent upstream repeat data more often than this.
constexpr duration kSilenceMemory = 1s;

}  // namespace

std::string_view ToName(upstream_belief belief) {
  constexpr std::array<std::string_view, 4> kNames{"good", "doubted", "failing",
                                                   "silent"};
  return kNames.at(static_cast<size_t>(belief));
}

upstream_belief BeliefOf(const upstream_stats& load, duration bound,
                         time_point now) {
  if (IsSilent(load, now)) return upstream_belief::kSilent;
  if (IsFailing(load, now)) return upstream_belief::kFailing;
  if (IsDoubted(load, bound, now)) return upstream_belief::kDoubted;
  return upstream_belief::kGood;
}

void LearnAnswer(upstream_stats& load, duration took) {
  const double took_s = std::chrono::duration<double>(took).count();
  ++load.responses;
  ++load.unreported.responses;
  load.unreported.answer_s += took_s;
  const double weight = std::max(kSampleWeight, 1.0 / load.responses);
  load.answer_s += weight * (took_s - load.answer_s);
}

void LearnSuccess(upstream_stats& load) {
  load.failure_rate *= 1 - kFailureWeight;
}

void LearnFailure(upstream_stats& load, time_point now) {
  load.failure_rate += kFailureWeight * (1 - load.failure_rate);
  load.failed_at = now;
  ++load.unreported.failures;
}

bool IsFailing(const upstream_stats& load, time_point now) {
  return load.failure_rate > kFailingRate &&
         now - load.failed_at < kFailureMemory;
}

void LearnAlive(upstream_stats& load, time_point now) {
  load.alive_at = now;
  load.unanswered = 0;
  load.repetitions = 0;
}

void LearnTried(upstream_stats& load, time_point now) {
  if (load.unanswered++ == 0) load.silent_since = now;
  load.tried_at = now;
}

void LearnRepetition(upstream_stats& load, uint32_t times, time_point sent_at,
                     time_point now) {
  const bool is_stale =
      load.repetitions > 0 && now - load.repeated_at > kSilenceMemory;
  if (is_stale) load.unanswered = load.repetitions = 0;
  if (load.unanswered++ == 0) load.silent_since = sent_at;
  load.repetitions = std::max(load.repetitions, times);
  load.repeated_at = now;
}

bool IsDoubted(const upstream_stats& load, duration bound, time_point now) {
  if (load.unanswered == 0 || now - load.silent_since <= bound) return false;
  const uint32_t doublings = std::min(load.unanswered - 1, kMostDoublings);
  return now - load.tried_at < kFirstRetry * (int64_t{1} << doublings);
}

bool IsSilent(const upstream_stats& load, time_point now) {
  return load.repetitions >= kSilentRepetitions &&
         now - load.repeated_at <= kSilenceMemory &&
         now - load.silent_since >= kSilence;
}

}  // namespace radishyard
