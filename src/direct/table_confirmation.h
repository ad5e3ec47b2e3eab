// How long ago it was confirmed that a balancer's routing table is the current
// one. Most balancers do not watch the table themselves; those that do confirm
// it in their reports, and whoever hears it directly passes it on once.
#pragma once
#include <compare>
#include <cstdint>

#include "base/time.h"
#include "direct/view_message.h"

namespace radishyard {

/// \brief A balancer that relies on others for the table reads it itself once
/// no report has confirmed its version for this long.
inline constexpr duration kTableConfirmationTimeout = 1500ms;

/// \brief The last confirmations of the own version of the table.
struct table_confirmation {
  time_point direct_at{};  ///< By a balancer that watches the table.
  time_point at{};         ///< By it, or through one other balancer.
  /// The newest version that others have reported, while it is being fetched,
  /// and the confirmations of it.
  uint64_t fetched_version = 0;
  time_point fetched_direct_at{};
  time_point fetched_at{};
  auto operator<=>(const table_confirmation&) const = default;
};

/// \brief Applies the confirmation in a report, if it has one: at that time the
/// current version was not newer than `own_version`.
void ApplyConfirmation(table_confirmation& confirmation,
                       const view_report& report, uint64_t own_version,
                       time_point now);

/// \brief Takes over what reports have confirmed of a newer version once it is
/// the own one.
void ConfirmFetchedTable(table_confirmation& confirmation,
                         uint64_t own_version);

/// \brief The age of the confirmation that a balancer may pass on.
/// \returns 0 if it watches the table itself; kNotConfirmed if it has heard no
/// direct confirmation lately. What it heard through others does not count, or
/// delays of messages would prolong a confirmation without end.
uint32_t ConfirmationAgeMs(const table_confirmation& confirmation,
                           bool watches_table, time_point now);

}  // namespace radishyard
