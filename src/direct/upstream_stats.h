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
  uint32_t flows = 0;  ///< Open flows that this balancer placed or saw.
  uint32_t pending_requests =
      0;  ///< Requests whose answer has not been acknowledged.
  double mean_response_s =
      0;                    ///< Smoothed time to the first acknowledged answer.
  uint32_t responses = 0;   ///< Samples in `answer_s`.
  uint32_t unanswered = 0;  ///< Openings and repetitions without an answer.
  uint32_t max_retransmissions =
      0;                          ///< Most times that one caller repeated data.
  time_point unanswered_since{};  ///< First of them; valid if there are any.
  time_point retransmitted_at{};  ///< Last repetition; valid if there are any.
  time_point last_alive_at{};     ///< Last sign of life.
  time_point last_opening_at{};   ///< Last opening placed.
  double failure_rate = 0;        ///< Smoothed share of requests that failed.
  time_point
      last_failure_at{};  ///< Last failed request; valid if the rate is > 0.
  /// Requests that ended and that other balancers were not told of yet.
  struct recent {
    uint32_t responses = 0;
    double total_response_s = 0;  ///< Sum over the answers.
    uint32_t failures = 0;
    auto operator<=>(const recent&) const = default;
  } unreported;
  auto operator<=>(const upstream_stats&) const = default;
};

/// \brief What a balancer believes of an upstream, worst last.
enum class health_state : uint8_t {
  kHealthy,
  kSuspect,
  kFailing,
  kUnresponsive
};

/// \brief The belief as logs spell it.
std::string_view ToString(health_state health);

/// \brief What the load tells; \param opening_timeout as for IsDoubted().
health_state AssessHealth(const upstream_stats& stats, duration opening_timeout,
                          time_point now);

/// \brief Takes the time from a request to the acknowledgement of its answer.
void RecordResponseTime(upstream_stats& stats, duration elapsed);

/// \brief A request has succeeded, as far as that can be seen from here.
void RecordSuccess(upstream_stats& stats);

/// \brief A request has failed: its answer was far smaller than usual, or did
/// not come in time.
void RecordFailure(upstream_stats& stats, time_point now);

/// \brief True while new flows should avoid the upstream because too many of
/// its requests fail.
bool IsFailing(const upstream_stats& stats, time_point now);

/// \brief The upstream has answered: it is alive and reached.
void RecordAlive(upstream_stats& stats, time_point now);

/// \brief An opening goes to the upstream.
void RecordOpening(upstream_stats& stats, time_point now);

/// \brief A caller repeats data that went to the upstream at `sent_at`, for the
/// `times`-th time.
void RecordRetransmission(upstream_stats& stats, uint32_t count,
                          time_point sent_at, time_point now);

/// \brief True while new flows should avoid the upstream: an opening has had no
/// answer for longer than `bound`, and it is too early to try another.
bool IsSuspect(const upstream_stats& stats, duration opening_timeout,
               time_point now);

/// \brief True where the upstream has left repeated data of its callers without
/// an answer just now, so that its open flows are lost. What is older says
/// nothing: its answers may go through other balancers. Slow upstreams
/// acknowledge repeated data, so that a caller repeats it once; they are never
/// silent, however many callers wait.
bool IsUnresponsive(const upstream_stats& stats, time_point now);

}  // namespace radishyard
