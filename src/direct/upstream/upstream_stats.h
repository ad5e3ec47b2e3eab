// Load and health of one upstream, as one balancer derives them from callers'
// packets. Responses do not pass through a balancer.
#pragma once
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace radishyard {

/// \brief Most callers recorded of those to which an upstream is silent.
inline constexpr size_t kMaxSilentCallers = 4;

/// \brief A caller that has retransmitted the same data to an upstream so often
/// that neither a single lost packet nor a slow upstream explains it.
struct silent_caller {
  uint32_t address = 0;           ///< IPv4 address of the caller.
  time_point retransmitted_at{};  ///< Its last retransmission.
  auto operator<=>(const silent_caller&) const = default;
};

/// \brief Load and health of one upstream, as observed by this balancer. They
/// may be lost without harm.
///
/// Even a slow upstream acknowledges openings and retransmitted data promptly.
/// They count as unanswered until the next packet that shows that the upstream
/// is alive.
struct upstream_stats {
  uint32_t flows = 0;  ///< Open flows recorded by this balancer.
  /// Open flows of the other balancers of the failure domain; see load_pool.h.
  uint32_t peer_flows = 0;
  /// Requests whose response the caller has not acknowledged.
  uint32_t pending_requests = 0;
  /// Of these, requests that have been counted as failed; see
  /// FailOverdueRequests().
  uint32_t overdue_requests = 0;
  /// Smoothed time from a request to the first acknowledgement of its response.
  double mean_response_s = 0;
  uint32_t responses = 0;   ///< Samples in `mean_response_s`.
  uint32_t unanswered = 0;  ///< Unanswered openings and retransmissions.
  /// Most retransmissions of the same data by one caller, among `unanswered`.
  uint32_t max_retransmissions = 0;
  /// First sending of the oldest of `unanswered`; valid if that is > 0.
  time_point unanswered_since{};
  /// Last retransmission; valid if `max_retransmissions` is > 0.
  time_point retransmitted_at{};
  /// Callers of which each has retransmitted data often enough to make the
  /// upstream unresponsive, at most kMaxSilentCallers.
  std::vector<silent_caller> silent_callers;
  time_point last_alive_at{};    ///< Last packet showing the upstream alive.
  time_point last_opening_at{};  ///< Last opening placed on the upstream.
  double failure_rate = 0;       ///< Smoothed share of requests that failed.
  time_point last_failure_at{};  ///< Valid if `failure_rate` is > 0.
  /// Ended requests that have not been reported to other balancers.
  struct recent {
    uint32_t responses = 0;
    double total_response_s = 0;  ///< Sum of the response times.
    uint32_t failures = 0;
    /// Of these, what load_meter has counted.
    uint32_t metered_responses = 0;
    uint32_t metered_failures = 0;
    auto operator<=>(const recent&) const = default;
  } unreported;
  auto operator<=>(const upstream_stats&) const = default;
};

/// \brief Health state of an upstream at one balancer, the worst last.
enum class health_state : uint8_t {
  kHealthy,
  kSuspect,
  kFailing,
  kUnresponsive
};

/// \brief The name of the health state in logs.
std::string_view ToName(health_state health);

/// \brief Derives the health state from the statistics.
/// \param opening_timeout see IsSuspect().
health_state AssessHealth(const upstream_stats& stats, duration opening_timeout,
                          time_point now);

/// \brief Records the time from a request to the acknowledgement of its
/// response.
void RecordResponseTime(upstream_stats& stats, duration elapsed);

/// \brief Records a request that has succeeded, as far as a balancer can
/// observe.
void RecordSuccess(upstream_stats& stats);

/// \brief Records a failed request: its response was far smaller than usual or
/// did not arrive in time.
void RecordFailure(upstream_stats& stats, time_point now);

/// \brief True while new flows should avoid the upstream because too many of
/// its requests fail.
bool IsFailing(const upstream_stats& stats, time_point now);

/// \brief Records that the upstream has responded: it is alive and reachable.
void RecordAlive(upstream_stats& stats, time_point now);

/// \brief Records that an opening is placed on the upstream.
void RecordOpening(upstream_stats& stats, time_point now);

/// \brief Records that a caller retransmits data.
/// \param caller IPv4 address of the caller.
/// \param count retransmissions of this data so far, including this one.
/// \param sent_at when the data was first forwarded to the upstream.
void RecordRetransmission(upstream_stats& stats, uint32_t caller,
                          uint32_t count, time_point sent_at, time_point now);

/// \brief True while new flows should avoid the upstream: an opening or a
/// retransmission has been unanswered for longer than `opening_timeout`, and it
/// is too early to place another opening.
bool IsSuspect(const upstream_stats& stats, duration opening_timeout,
               time_point now);

/// \brief True if the upstream currently leaves data unanswered that a caller
/// has retransmitted repeatedly. Its open flows are lost, unless it is the path
/// of that caller that loses packets; see IsSilenceProven() in silence.h.
///
/// Older retransmissions prove nothing, because the acknowledgements may pass
/// through other balancers by now. A slow upstream acknowledges retransmitted
/// data, so each caller retransmits it only once: it is never unresponsive, no
/// matter how many callers wait.
bool IsUnresponsive(const upstream_stats& stats, time_point now);

/// \brief The addresses of the callers to which the upstream is silent now,
/// each once.
std::vector<uint32_t> ListSilentCallers(const upstream_stats& stats,
                                        time_point now);

}  // namespace radishyard
