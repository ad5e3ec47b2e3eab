// Keeps direct confirmations apart from those that were passed on.
#include "direct/table_confirmation.h"

#include <algorithm>

namespace radishyard {

void ApplyConfirmation(table_confirmation& confirmation,
                       const view_report& report, uint64_t own_version,
                       time_point now) {
  const bool is_newer = report.table_version > own_version;
  if (is_newer && report.table_version > confirmation.fetched_version) {
    confirmation.fetched_version = report.table_version;
    confirmation.fetched_direct_at = confirmation.fetched_at = {};
  }
  if (is_newer && report.table_version < confirmation.fetched_version) return;
  time_point& direct_at =
      is_newer ? confirmation.fetched_direct_at : confirmation.direct_at;
  time_point& at = is_newer ? confirmation.fetched_at : confirmation.at;
  if (report.watches_table) direct_at = at = now;
  if (report.table_age_ms == kNotConfirmed) return;
  at = std::max(at, now - milliseconds(report.table_age_ms));
}

void ConfirmFetchedTable(table_confirmation& confirmation,
                         uint64_t own_version) {
  if (confirmation.fetched_version > own_version) return;
  confirmation.direct_at =
      std::max(confirmation.direct_at, confirmation.fetched_direct_at);
  confirmation.at = std::max(confirmation.at, confirmation.fetched_at);
}

uint32_t ConfirmationAgeMs(const table_confirmation& confirmation,
                           bool watches_table, time_point now) {
  if (watches_table) return 0;
  const duration age = now - confirmation.direct_at;
  return age > kTableConfirmationTimeout ? kNotConfirmed
                                         : static_cast<uint32_t>(ToMs(age));
}

}  // namespace radishyard
