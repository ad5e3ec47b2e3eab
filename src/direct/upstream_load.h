// What one balancer learns of an upstream from the packets of its callers;
// answers do not pass through it.
#pragma once
#include <compare>
#include <cstdint>

#include "base/time.h"

namespace radishyard {

/// \brief Load and health of one upstream as seen here. Losing it does no harm.
struct upstream_load {
  uint32_t flows = 0;     ///< Open flows that this balancer placed or saw.
  uint32_t waiting = 0;   ///< Requests whose answer has not been acknowledged.
  double answer_s = 0;    ///< Smoothed time to the first acknowledged answer.
  uint32_t answers = 0;   ///< Samples in `answer_s`.
  uint32_t failures = 0;  ///< Packets in a row that went unanswered.
  time_point doubted_until{};  ///< Gets new flows only if no other can.
  auto operator<=>(const upstream_load&) const = default;
};

/// \brief Takes the time from a request to the acknowledgement of its answer.
void LearnAnswer(upstream_load& load, duration took);

/// \brief The upstream has answered: it is alive and reached.
void LearnAlive(upstream_load& load);

/// \brief A caller had to repeat a packet that had gone to the upstream. Two in
/// a row put it in doubt, for longer with each further one.
void LearnSilence(upstream_load& load, time_point now);

/// \brief True while new flows should avoid the upstream.
bool IsDoubted(const upstream_load& load, time_point now);

}  // namespace radishyard
