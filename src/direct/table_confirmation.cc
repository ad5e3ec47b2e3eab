// Keeps direct confirmations apart from those that were passed on.
#include "direct/table_confirmation.h"

#include <algorithm>

namespace radishyard {

void ApplyConfirmation(table_confirmation& confirmation,
                       const view_report& report, uint64_t own_version,
                       time_point now) {
  if (report.table_version > own_version) return;
  if (report.watches_table) confirmation.direct_at = confirmation.at = now;
  if (report.table_age_ms == kNotConfirmed) return;
  confirmation.at =
      std::max(confirmation.at, now - milliseconds(report.table_age_ms));
}

uint32_t ConfirmationAgeMs(const table_confirmation& confirmation,
                           bool watches_table, time_point now) {
  if (watches_table) return 0;
  const duration age = now - confirmation.direct_at;
  return age > kTableConfirmationTimeout ? kNotConfirmed
                                         : static_cast<uint32_t>(ToMs(age));
}

}  // namespace radishyard
