// Converts between state and messages and applies received messages.
#include "direct/view/view_sharing.h"

#include <algorithm>

namespace radishyard {
namespace {

/// Most samples of one upstream that are applied from one report, so that one
/// balancer's observations do not outweigh those of this one.
constexpr uint32_t kMaxPeerSamples = 4;

/// Converts to milliseconds within the range of the result type.
uint32_t ToClampedMs(duration d) {
  return static_cast<uint32_t>(std::clamp<int64_t>(ToMs(d), 0, UINT32_MAX));
}

view_address ToMessage(const published_address& row) {
  view_address m{.address = row.address,
                 .retry_class = static_cast<uint8_t>(row.retry_class),
                 .timeout_ms = ToClampedMs(row.timeout),
                 .target_latency_ms = ToClampedMs(row.target_latency),
                 .priority = row.priority};
  for (const service_share& share : row.shares)
    m.shares.push_back({share.service, share.weight});
  return m;
}

published_address FromMessage(const view_address& m) {
  const auto last_class = static_cast<uint8_t>(request_class::kDownload);
  published_address row{.address = m.address,
                        .retry_class = m.retry_class <= last_class
                                           ? request_class(m.retry_class)
                                           : request_class::kNonIdempotent,
                        .timeout = milliseconds(m.timeout_ms),
                        .target_latency = milliseconds(m.target_latency_ms),
                        .priority = m.priority};
  for (const view_share& share : m.shares)
    row.shares.push_back({share.service, share.weight});
  return row;
}

view_upstream ToMessage(const upstream_entry& e) {
  return {.id = e.id,
          .service = e.service,
          .address = e.address,
          .domain = e.domain,
          .slots = e.slots,
          .leaving = e.leaving,
          .cold_remaining_ms = ToClampedMs(e.cold_remaining),
          .started_unix_ms = static_cast<uint64_t>(e.started_unix_ms),
          .sequence = static_cast<uint64_t>(e.sequence)};
}

upstream_entry FromMessage(const view_upstream& m) {
  return {.id = m.id,
          .service = m.service,
          .address = m.address,
          .domain = m.domain,
          .slots = m.slots,
          .leaving = m.leaving,
          .cold_remaining = milliseconds(m.cold_remaining_ms),
          .started_unix_ms = static_cast<int64_t>(m.started_unix_ms),
          .sequence = static_cast<int64_t>(m.sequence)};
}

routing_table ToRoutingTable(const view_snapshot& snapshot) {
  routing_table table{.version = snapshot.table_version,
                      .idle_timeout = milliseconds(snapshot.idle_timeout_ms)};
  for (const view_address& row : snapshot.addresses)
    if (!row.shares.empty()) table.addresses.push_back(FromMessage(row));
  for (const view_start_rate& rate : snapshot.start_rates)
    table.start_rates.push_back({rate.service, rate.openings_per_1000s,
                                 milliseconds(rate.cold_start_ms)});
  std::sort(table.addresses.begin(), table.addresses.end(),
            [](const auto& a, const auto& b) { return a.address < b.address; });
  return table;
}

/// Reconstructs the sender's list. Returns nothing if the snapshot contains a
/// difference that does not start from the list last applied here.
std::optional<upstream_list> ToUpstreamList(const forwarding_state& state,
                                            const view_snapshot& snapshot,
                                            time_point read_at) {
  upstream_list list{.revision = RevisionOf(snapshot)};
  for (const view_upstream& m : snapshot.upstreams)
    list.upstreams.push_back(FromMessage(m));
  if (snapshot.base_digest == 0) return list;
  if (snapshot.base_digest != state.digest) return std::nullopt;
  const list_delta delta{std::move(list.upstreams), snapshot.removed};
  const duration elapsed = read_at - state.directory.read_at;
  list.upstreams = ApplyDelta(state.applied_list, delta, elapsed);
  if (ListDigest(list) != snapshot.digest) return std::nullopt;
  return list;
}

void ApplyOutageAge(forwarding_state& state, uint32_t age_ms, time_point now) {
  if (age_ms != kNoOutage)
    RecordPeerOutage(state.directory, milliseconds(age_ms), now);
}

}  // namespace

uint32_t OutageAgeMs(const upstream_directory& directory, time_point now) {
  const auto age = TimeSinceOutage(directory, now);
  return age ? ToClampedMs(*age) : kNoOutage;
}

snapshot_request MakeSnapshotRequest(const forwarding_state& state) {
  return {.table_version = state.table.version,
          .known_list_digest = state.digest};
}

view_snapshot MakeSnapshot(const forwarding_state& state,
                           const snapshot_request& request, time_point now) {
  view_snapshot snapshot{
      .table_version = state.table.version,
      .idle_timeout_ms = ToClampedMs(state.table.idle_timeout),
      .revision = state.applied_list.revision.number,
      .age_ms = ToClampedMs(now - state.directory.read_at),
      .digest = state.digest,
      .outage_age_ms = OutageAgeMs(state.directory, now),
      .evacuations = MakeEvacuationReport(state.evacuations, now),
      .epoch = state.applied_list.revision.epoch};
  if (request.table_version < state.table.version) {
    for (const published_address& row : state.table.addresses)
      snapshot.addresses.push_back(ToMessage(row));
    for (const service_start_rate& rate : state.table.start_rates)
      snapshot.start_rates.push_back({rate.service, rate.openings_per_1000s,
                                      ToClampedMs(rate.cold_start)});
  }
  list_delta delta{.upstreams = state.applied_list.upstreams};
  if (request.known_list_digest != 0) {
    if (auto found = ComputeDelta(state.history, request.known_list_digest,
                                  state.applied_list)) {
      delta = std::move(*found);
      snapshot.base_digest = request.known_list_digest;
    }
  }
  for (const upstream_entry& entry : delta.upstreams)
    snapshot.upstreams.push_back(ToMessage(entry));
  snapshot.removed = std::move(delta.removed);
  return snapshot;
}

size_t EstimateBytes(const view_snapshot& snapshot) {
  // Numbers, lengths and type bytes of one entry, besides its texts.
  constexpr size_t kFixedBytes = 32;
  size_t bytes = kFixedBytes + snapshot.removed.size() * sizeof(uint64_t);
  for (const view_address& row : snapshot.addresses) {
    bytes += kFixedBytes;
    for (const view_share& share : row.shares) bytes += share.service.size();
  }
  for (const view_start_rate& rate : snapshot.start_rates)
    bytes += kFixedBytes + rate.service.size();
  for (const view_upstream& u : snapshot.upstreams)
    bytes += kFixedBytes + u.service.size() + u.domain.size();
  return bytes;
}

snapshot_effect ApplySnapshot(forwarding_state& state,
                              const view_snapshot& snapshot, time_point now) {
  snapshot_effect effect;
  // Before the list, so that no flow is placed on an evacuated domain that the
  // list adds.
  effect.evacuations_changed =
      ApplyEvacuationReport(state, snapshot.evacuations, now) ==
      evacuation_effect::kChanged;
  if (snapshot.table_version > state.table.version &&
      !snapshot.addresses.empty())
    effect.table_applied = ApplyTable(state, ToRoutingTable(snapshot));
  const store_revision revision = RevisionOf(snapshot);
  const bool is_newer =
      IsKnown(revision) && revision > state.directory.revision;
  if (!is_newer) return effect;
  const time_point read_at = now - milliseconds(snapshot.age_ms);
  const auto list = ToUpstreamList(state, snapshot, read_at);
  if (!list) return effect;
  ApplyOutageAge(state, snapshot.outage_age_ms, now);
  effect.list_applied = true;
  effect.changes = ApplyUpstreamList(state, *list, read_at, now);
  return effect;
}

report_effect ApplyReport(forwarding_state& state, const view_report& report,
                          time_point now) {
  ApplyOutageAge(state, report.outage_age_ms, now);
  if (report.table_version > state.table.version)
    return report_effect::kFetchSnapshot;
  const store_revision revision = RevisionOf(report);
  if (!IsKnown(revision) || revision < state.directory.revision)
    return report_effect::kNone;
  if (report.digest != state.digest || !state.directory.has_list)
    return revision > state.directory.revision ? report_effect::kFetchSnapshot
                                               : report_effect::kNone;
  const time_point read_at = now - milliseconds(report.age_ms);
  if (read_at <= state.directory.read_at) return report_effect::kNone;
  // A report does not end an outage; only the next list does, because it may
  // lack upstreams that register again soon.
  ConfirmList(state.directory, revision, read_at);
  return report_effect::kConfirmed;
}

std::vector<upstream_outcomes> ExtractOutcomes(forwarding_state& state) {
  std::vector<upstream_outcomes> outcomes;
  for (const auto& [id, known] : state.directory.upstreams) {
    const upstream_stats::recent& recent = known.stats.unreported;
    if (recent.responses + recent.failures == 0) continue;
    const double mean_s =
        recent.responses == 0 ? 0 : recent.total_response_s / recent.responses;
    constexpr double kMicroseconds = 1e6;
    outcomes.push_back({id, recent.responses,
                        static_cast<uint32_t>(mean_s * kMicroseconds),
                        recent.failures});
  }
  std::stable_sort(outcomes.begin(), outcomes.end(),
                   [](const upstream_outcomes& a, const upstream_outcomes& b) {
                     return std::pair(a.failures, a.responses) >
                            std::pair(b.failures, b.responses);
                   });
  if (outcomes.size() > kMaxReportedUpstreams)
    outcomes.resize(kMaxReportedUpstreams);
  for (const upstream_outcomes& each : outcomes)
    state.directory.upstreams.at(each.upstream).stats.unreported = {};
  return outcomes;
}

void ApplyOutcomes(forwarding_state& state,
                   const std::vector<upstream_outcomes>& outcomes,
                   time_point now) {
  for (const upstream_outcomes& e : outcomes) {
    const auto found = state.directory.upstreams.find(e.upstream);
    if (found == state.directory.upstreams.end()) continue;
    upstream_stats& stats = found->second.stats;
    const upstream_stats::recent unreported_here = stats.unreported;
    const uint32_t failures = std::min(e.failures, kMaxPeerSamples);
    const uint32_t responses = std::min(e.responses, kMaxPeerSamples);
    for (uint32_t i = 0; i < responses; ++i)
      RecordResponseTime(stats, microseconds(e.mean_response_us));
    for (uint32_t i = failures; i < responses; ++i) RecordSuccess(stats);
    for (uint32_t i = 0; i < failures; ++i) RecordFailure(stats, now);
    // A balancer reports only its own observations.
    stats.unreported = unreported_here;
  }
}

}  // namespace radishyard
