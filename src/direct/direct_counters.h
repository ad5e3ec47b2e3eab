// Counters of a balancer with direct server return and its metrics page.
#pragma once
#include <array>
#include <cstdint>

#include "direct/forward/forwarder.h"
#include "observe/time_histogram.h"

namespace radishyard {

/// \brief Counters since the start of the process, and the time of the last
/// confirmation of the table.
struct direct_counters {
  /// Packets, by verdict_reason.
  std::array<uint64_t, kVerdictReasonCount> verdicts{};
  uint64_t malformed = 0;      ///< Datagrams that could not be decoded.
  uint64_t send_failures = 0;  ///< Datagrams that could not be sent.
  uint64_t opening_retransmissions = 0;  ///< Retransmitted openings.
  uint64_t registry_reads = 0;           ///< Reads of the upstream list.
  uint64_t store_returns = 0;            ///< Returns of the store from a copy.
  uint64_t older_lists = 0;              ///< Of these, lists dropped as older.
  uint64_t evacuation_reads = 0;         ///< Reads of the evacuation requests.
  /// Times that reads of the platform began to fail.
  uint64_t platform_losses = 0;
  uint64_t tables_applied = 0;  ///< Table versions applied.
  /// Unusable registry entries and table rows, added up over all reads.
  uint64_t invalid_entries = 0;
  /// Last time at which the table was known to be the current one, by an answer
  /// of the platform to this balancer or to others.
  time_point table_confirmed_at{};
};

/// \brief Renders the counters and the gauges derived from `state` as the text
/// of the metrics page.
std::string RenderMetricsPage(const direct_counters& counters,
                              const forwarding_state& state, time_point now);

}  // namespace radishyard
