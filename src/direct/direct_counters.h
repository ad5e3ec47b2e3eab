// What a balancer with direct server return counts, for its metrics page.
#pragma once
#include <array>
#include <cstdint>

#include "direct/forwarder.h"
#include "observe/time_histogram.h"

namespace radishyard {

/// \brief Counters since the start.
struct direct_counters {
  std::array<uint64_t, kVerdictReasonCount> verdicts{};  ///< By reason.
  uint64_t malformed = 0;      ///< Datagrams that are no packet.
  uint64_t send_failures = 0;  ///< Datagrams that the kernel did not take.
  uint64_t opening_retransmissions = 0;  ///< Openings that a caller repeated.
  uint64_t registry_reads = 0;           ///< Readings of the registry.
  uint64_t platform_losses = 0;  ///< Times that a reading began to fail.
  uint64_t tables_applied = 0;   ///< Versions of the table taken.
  uint64_t invalid_entries = 0;  ///< Entries and rows left out, each reading.
};

/// \brief The text of the metrics page.
std::string RenderMetricsPage(const direct_counters& counters,
                              const forwarding_state& state, time_point now);

}  // namespace radishyard
