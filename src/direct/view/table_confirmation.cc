// Keeps direct confirmations apart from those that were passed on.
#include "direct/view/table_confirmation.h"

#include <algorithm>

#include "direct/view/peer_exchange.h"
#include "direct/view/registry_follower.h"
#include "direct/view/snapshot_fetcher.h"

namespace radishyard {
namespace {

/// Returns when the platform confirmed the version of the report's sender, if
/// the report says so.
std::optional<time_point> ConfirmedAt(const view_report& report,
                                      time_point now) {
  if (report.table_age_ms != kNotConfirmed)
    return now - milliseconds(report.table_age_ms);
  if (report.watches_table) return now;
  return std::nullopt;
}

}  // namespace

duration TableConfirmationTimeout(duration edit_bound) {
  return edit_bound - follower_times{}.recheck_interval - kReadTimeAllowance;
}

bool IsTableRelayAllowed(duration watch_wait, duration edit_bound) {
  const duration usual_age = watch_wait + kReadTimeAllowance + kReportInterval;
  const duration time_after_loss =
      watch_wait + LostAnswerDelay(kRegistryTiming) + kMaxFetchTime;
  return usual_age <= TableConfirmationTimeout(edit_bound) &&
         time_after_loss <= edit_bound;
}

void ApplyConfirmation(table_confirmation& confirmation,
                       const view_report& report, uint64_t own_version,
                       time_point now) {
  const bool is_newer = report.table_version > own_version;
  if (is_newer && report.table_version > confirmation.fetched_version) {
    confirmation.fetched_version = report.table_version;
    confirmation.fetched_direct_at = confirmation.fetched_at = {};
  }
  if (is_newer && report.table_version < confirmation.fetched_version) return;
  const auto confirmed_at = ConfirmedAt(report, now);
  if (!confirmed_at) return;
  time_point& direct_at =
      is_newer ? confirmation.fetched_direct_at : confirmation.direct_at;
  time_point& at = is_newer ? confirmation.fetched_at : confirmation.at;
  if (report.watches_table) direct_at = std::max(direct_at, *confirmed_at);
  at = std::max(at, *confirmed_at);
}

void RecordSuspension(table_confirmation& confirmation, duration elapsed) {
  for (time_point* at :
       {&confirmation.direct_at, &confirmation.at,
        &confirmation.fetched_direct_at, &confirmation.fetched_at}) {
    if (*at != time_point{}) *at -= elapsed;
  }
}

void ConfirmFetchedTable(table_confirmation& confirmation,
                         uint64_t own_version) {
  if (confirmation.fetched_version > own_version) return;
  confirmation.direct_at =
      std::max(confirmation.direct_at, confirmation.fetched_direct_at);
  confirmation.at = std::max(confirmation.at, confirmation.fetched_at);
}

bool IsTableConfirmed(const table_confirmation& confirmation, duration timeout,
                      time_point now) {
  return confirmation.at != time_point{} && now - confirmation.at <= timeout;
}

uint32_t ConfirmationAgeMs(const table_confirmation& confirmation,
                           time_point own_read_at, time_point now) {
  const time_point confirmed_at = std::max(confirmation.direct_at, own_read_at);
  const duration age = now - confirmed_at;
  if (confirmed_at == time_point{} || age > kMaxPassedOnAge)
    return kNotConfirmed;
  return static_cast<uint32_t>(ToMs(age));
}

}  // namespace radishyard
