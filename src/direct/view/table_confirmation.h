// The last time at which a balancer's routing table was known to be the current
// one. Most balancers do not watch the table themselves. Those that do report
// how long ago the platform has answered them; a watch that still waits
// confirms nothing, because the platform may have lost it. Whoever hears such a
// report directly passes the confirmation on once.
#pragma once
#include <compare>
#include <cstdint>

#include "base/time.h"
#include "direct/view/view_message.h"

namespace radishyard {

/// \brief Older confirmations are not passed on.
inline constexpr duration kMaxPassedOnAge = 10s;

/// \brief A balancer that relies on others for the table reads it itself once
/// the last confirmed time is this long ago: timeout + recheck_interval of the
/// follower + kReadTimeAllowance = edit_bound.
duration TableConfirmationTimeout(duration edit_bound);

/// \brief True if a balancer may rely on the readers of its domain for the
/// table, although an edit must take effect within `edit_bound`.
///
/// Confirmations must usually arrive before they time out:
/// watch_wait + kReadTimeAllowance + kReportInterval <=
/// TableConfirmationTimeout(). And if the platform has lost the watch of each
/// reader, the edit reaches the balancer in time through the readers:
/// watch_wait + LostAnswerDelay() + kMaxFetchTime <= edit_bound.
/// \param watch_wait of the readers.
bool IsTableRelayAllowed(duration watch_wait, duration edit_bound);

/// \brief The last confirmations of the own version of the table; time_point{}
/// if there was none.
struct table_confirmation {
  /// By a balancer that watches the table; the time of the platform's answer to
  /// it.
  time_point direct_at{};
  time_point at{};  ///< By it, or through one other balancer.
  /// The newest version that others have reported, while it is being fetched,
  /// and the confirmations of it.
  uint64_t fetched_version = 0;
  time_point fetched_direct_at{};
  time_point fetched_at{};
  auto operator<=>(const table_confirmation&) const = default;
};

/// \brief Applies the confirmation in a report, if it has one: at that time the
/// current version was not newer than `own_version`. An earlier release reports
/// no age, or 0, while it watches the table; its report counts from its
/// arrival.
void ApplyConfirmation(table_confirmation& confirmation,
                       const view_report& report, uint64_t own_version,
                       time_point now);

/// \brief Takes into account that the VM was suspended for `elapsed`, which the
/// monotonic clock does not count.
void RecordSuspension(table_confirmation& confirmation, duration elapsed);

/// \brief Takes over what reports have confirmed of a newer version once it is
/// the own one.
void ConfirmFetchedTable(table_confirmation& confirmation,
                         uint64_t own_version);

/// \brief True if the table was confirmed within `timeout`.
bool IsTableConfirmed(const table_confirmation& confirmation, duration timeout,
                      time_point now);

/// \brief The age of the confirmation that a balancer may report.
/// \param own_read_at when an answer of the platform has confirmed the table to
/// this balancer; time_point{} if none has.
/// \returns kNotConfirmed if neither the platform nor a direct report has
/// confirmed the table lately. What it heard through others does not count, or
/// delays of messages would prolong a confirmation without end.
uint32_t ConfirmationAgeMs(const table_confirmation& confirmation,
                           time_point own_read_at, time_point now);

}  // namespace radishyard
