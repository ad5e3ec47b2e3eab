// What one balancer learns of an upstream from the packets of its callers;
// answers do not pass through it.
#pragma once
#include <compare>
#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace radishyard {

/// \brief Load and health of one upstream as seen here. Losing it does no harm.
///
/// Openings and repeated data call for a prompt answer, even of a slow
/// upstream; until a sign of life comes they count as unanswered.
struct upstream_stats {
  uint32_t flows = 0;      ///< Open flows that this balancer placed or saw.
  uint32_t waiting = 0;    ///< Requests whose answer has not been acknowledged.
  double answer_s = 0;     ///< Smoothed time to the first acknowledged answer.
  uint32_t responses = 0;  ///< Samples in `answer_s`.
  uint32_t unanswered = 0;    ///< Openings and repetitions without an answer.
  uint32_t repetitions = 0;   ///< Most times that one caller repeated data.
  time_point silent_since{};  ///< First of them; valid if there are any.
  time_point repeated_at{};   ///< Last repetition; valid if there are any.
  time_point alive_at{};      ///< Last sign of life.
  time_point tried_at{};      ///< Last opening placed.
  double failure_rate = 0;    ///< Smoothed share of requests that failed.
  time_point failed_at{};  ///< Last failed request; valid if the rate is > 0.
  /// Requests that ended and that other balancers were not told of yet.
  struct recent {
    uint32_t responses = 0;
    double answer_s = 0;  ///< Sum over the answers.
    uint32_t failures = 0;
    auto operator<=>(const recent&) const = default;
  } unreported;
  auto operator<=>(const upstream_stats&) const = default;
};

/// \brief What a balancer believes of an upstream, worst last.
enum class upstream_belief : uint8_t { kGood, kDoubted, kFailing, kSilent };

/// \brief The belief as logs spell it.
std::string_view ToName(upstream_belief belief);

/// \brief What the load tells; \param bound as for IsDoubted().
upstream_belief BeliefOf(const upstream_stats& load, duration bound,
                         time_point now);

/// \brief Takes the time from a request to the acknowledgement of its answer.
void LearnAnswer(upstream_stats& load, duration took);

/// \brief A request has succeeded, as far as that can be seen from here.
void LearnSuccess(upstream_stats& load);

/// \brief A request has failed: its answer was far smaller than usual, or did
/// not come in time.
void LearnFailure(upstream_stats& load, time_point now);

/// \brief True while new flows should avoid the upstream because too many of
/// its requests fail.
bool IsFailing(const upstream_stats& load, time_point now);

/// \brief The upstream has answered: it is alive and reached.
void LearnAlive(upstream_stats& load, time_point now);

/// \brief An opening goes to the upstream.
void LearnTried(upstream_stats& load, time_point now);

/// \brief A caller repeats data that went to the upstream at `sent_at`, for the
/// `times`-th time.
void LearnRepetition(upstream_stats& load, uint32_t times, time_point sent_at,
                     time_point now);

/// \brief True while new flows should avoid the upstream: an opening has had no
/// answer for longer than `bound`, and it is too early to try another.
bool IsDoubted(const upstream_stats& load, duration bound, time_point now);

/// \brief True where the upstream has left repeated data of its callers without
/// an answer just now, so that its open flows are lost. What is older says
/// nothing: its answers may go through other balancers. Slow upstreams
/// acknowledge repeated data, so that a caller repeats it once; they are never
/// silent, however many callers wait.
bool IsSilent(const upstream_stats& load, time_point now);

}  // namespace radishyard
