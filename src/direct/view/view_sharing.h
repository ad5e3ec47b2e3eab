// Sharing of state between balancers: snapshots of table and upstream list,
// confirmations that a list is still current, and observations of upstreams.
#pragma once
#include <cstdint>
#include <vector>

#include "base/time.h"
#include "direct/forward/forwarder.h"
#include "direct/view/view_message.h"

namespace radishyard {

/// \brief The revision of the sender's upstream list. A sender of a release
/// without epochs names none, so it is older than any of a store that has them.
constexpr store_revision RevisionOf(const view_report& report) {
  return {report.epoch, report.revision};
}
constexpr store_revision RevisionOf(const view_snapshot& snapshot) {
  return {snapshot.epoch, snapshot.revision};
}

/// \brief TimeSinceOutage() as reports and snapshots contain it.
uint32_t OutageAgeMs(const upstream_directory& directory, time_point now);

/// \brief Builds the request for what a balancer with `state` lacks.
snapshot_request MakeSnapshotRequest(const forwarding_state& state);

/// \brief Builds the snapshot of `state` that answers `request`. It contains
/// only what the requesting balancer lacks, if the history goes back far
/// enough.
view_snapshot MakeSnapshot(const forwarding_state& state,
                           const snapshot_request& request, time_point now);

/// \brief Estimates the size of an encoded snapshot, in bytes.
size_t EstimateBytes(const view_snapshot& snapshot);

/// \brief The effect of a received snapshot.
struct snapshot_effect {
  bool table_applied = false;
  bool list_applied = false;
  bool evacuations_changed = false;
  std::vector<directory_change> changes;
};

/// \brief Applies what is newer in a snapshot. A difference from a list that is
/// no longer the present one is dropped; the next report leads to a new
/// request.
snapshot_effect ApplySnapshot(forwarding_state& state,
                              const view_snapshot& snapshot, time_point now);

/// \brief The effect of a received report.
enum class report_effect : uint8_t {
  kNone,
  kConfirmed,      ///< The list is still what the sender read from the store.
  kFetchSnapshot,  ///< The sender has a newer list or table.
};

/// \brief Compares a report with `state`. If both have the same list, its age
/// is updated from the report.
report_effect ApplyReport(forwarding_state& state, const view_report& report,
                          time_point now);

/// \brief Most upstreams in one report, so that it fits into a datagram.
inline constexpr size_t kMaxReportedUpstreams = 32;

/// \brief Extracts the outcomes recorded since the last call, upstreams with
/// most failures first. What exceeds kMaxReportedUpstreams stays for the next
/// call.
std::vector<upstream_outcomes> ExtractOutcomes(forwarding_state& state);

/// \brief Records the outcomes that another balancer has reported like those of
/// this balancer, except that they are not reported again.
void ApplyOutcomes(forwarding_state& state,
                   const std::vector<upstream_outcomes>& outcomes,
                   time_point now);

}  // namespace radishyard
