// What balancers make of each other's views: snapshots, freshness, and pooled
// observations of upstreams.
#pragma once
#include <cstdint>
#include <vector>

#include "base/time.h"
#include "direct/forwarder.h"
#include "direct/view_message.h"

namespace radishyard {

/// \brief Digest of what placement depends on in a list: the same on every
/// balancer, whatever the order. Not of the time that upstreams stay cold.
uint64_t ListDigest(const upstream_list& list);

/// \brief What a balancer asks for that has the view of `state`.
snapshot_request MakeSnapshotRequest(const forwarding_state& state);

/// \brief The view of `state` for a balancer that asks with `request`: only
/// what it lacks, as far as that is known.
view_snapshot MakeSnapshot(const forwarding_state& state,
                           const snapshot_request& request, time_point now);

/// \brief What a snapshot changed.
struct snapshot_effect {
  bool table_applied = false;
  bool list_applied = false;
  std::vector<directory_change> changes;
};

/// \brief Takes whatever is newer in a snapshot. A difference from a list that
/// is no longer the present one is left alone: the next report asks again.
snapshot_effect ApplySnapshot(forwarding_state& state,
                              const view_snapshot& snapshot, time_point now);

/// \brief A balancer that is told of the table by others reads it itself once
/// nobody has confirmed it for so long: a report and a bit.
inline constexpr duration kTableConfirmationTimeout = 1200ms;

/// \brief Whether a balancer may leave the table to others that read the
/// registry each `list_interval`. If they are cut off from the platform, all of
/// this passes before it reads itself, and an edit is due within `edit_bound`.
bool IsTableRelayAllowed(duration list_interval, duration edit_bound);

/// \brief What a report calls for.
enum class report_effect : uint8_t {
  kNone,
  kConfirmed,  ///< The list here is what the store held when the other read it.
  kFetchSnapshot,  ///< The other knows more: ask it for a snapshot.
};

/// \brief Compares a report with the view here and takes its freshness.
report_effect ApplyReport(forwarding_state& state, const view_report& report,
                          time_point now);

/// \brief Most upstreams of one report, so that it fits a datagram.
inline constexpr size_t kMaxReportedUpstreams = 32;

/// \brief Takes what was learned since the last call out of the loads, the
/// upstreams with failures first. What does not fit stays for the next call.
std::vector<upstream_outcomes> ExtractOutcomes(forwarding_state& state);

/// \brief Learns from another balancer's events as from own ones.
void ApplyOutcomes(forwarding_state& state,
                   const std::vector<upstream_outcomes>& outcomes,
                   time_point now);

}  // namespace radishyard
