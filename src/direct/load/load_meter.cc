// Samples the statistics of upstreams.
#include "direct/load/load_meter.h"

#include <algorithm>
#include <cmath>

#include "direct/upstream/silence_evidence.h"

namespace radishyard {
namespace {

constexpr double kThousandths = 1000;
/// One other balancer may only have lost packets on its own link.
constexpr size_t kMinSilenceWitnesses = 2;

uint32_t ToThousandths(double value) {
  constexpr double kLargest = UINT32_MAX;
  return static_cast<uint32_t>(
      std::clamp(std::round(value * kThousandths), 0.0, kLargest));
}

/// Returns the open flows of each upstream of `list`, by ascending id.
std::vector<uint8_t> CountUpstreamFlows(const upstream_directory& directory,
                                        const upstream_list& list) {
  if (list.upstreams.size() > kMaxPooledUpstreams) return {};
  std::vector<upstream_id> ids;
  for (const upstream_entry& entry : list.upstreams) ids.push_back(entry.id);
  std::sort(ids.begin(), ids.end());
  std::vector<uint8_t> flows;
  for (const upstream_id id : ids) {
    const auto found = directory.upstreams.find(id);
    const uint32_t count =
        found == directory.upstreams.end() ? 0 : found->second.stats.flows;
    flows.push_back(static_cast<uint8_t>(std::min<uint32_t>(count, UINT8_MAX)));
  }
  return flows;
}

}  // namespace

bool IsUsable(const known_upstream& upstream, duration opening_timeout,
              time_point now) {
  return !IsSuspect(upstream.stats, opening_timeout, now) &&
         CountWitnesses(upstream, now) < kMinSilenceWitnesses;
}

std::map<std::string, double> CountUsableSlots(
    const std::vector<known_upstream*>& upstreams, duration opening_timeout,
    time_point now) {
  std::map<std::string, double> slots;
  for (const known_upstream* u : upstreams)
    slots[u->entry.domain] +=
        IsUsable(*u, opening_timeout, now) ? u->entry.slots : 0;
  return slots;
}

void SampleLoad(load_meter& meter, const upstream_directory& directory,
                duration opening_timeout, time_point now) {
  if (meter.samples++ == 0 && meter.measured_since == time_point{})
    meter.measured_since = now;
  for (const auto& [service, upstreams] : directory.ready_by_service) {
    for (const known_upstream* u : upstreams) {
      // The response to an overdue request may have been lost, or have passed
      // through another balancer.
      const uint32_t in_service =
          u->stats.pending_requests - u->stats.overdue_requests;
      if (in_service == 0 || !IsUsable(*u, opening_timeout, now)) continue;
      meter.cells[{service, u->entry.domain}].busy_sum += in_service;
    }
  }
}

void CountOpening(load_meter& meter, const upstream_entry& entry) {
  ++meter.cells[{entry.service, entry.domain}].openings;
}

void CountEnded(load_meter& meter, upstream_directory& directory) {
  for (auto& [id, known] : directory.upstreams) {
    upstream_stats::recent& recent = known.stats.unreported;
    const uint32_t responses = recent.responses - recent.metered_responses;
    const uint32_t failures = recent.failures - recent.metered_failures;
    if (responses + failures == 0) continue;
    load_cell& cell = meter.cells[{known.entry.service, known.entry.domain}];
    // A rejection is a response as well; an overdue request is only a failure.
    cell.ended += std::max(responses, failures);
    cell.failures += failures;
    recent.metered_responses = recent.responses;
    recent.metered_failures = recent.failures;
  }
}

load_report ExtractLoadReport(load_meter& meter,
                              const upstream_directory& directory,
                              const upstream_list& list, time_point now) {
  const duration elapsed = now - meter.measured_since;
  if (meter.samples == 0 || elapsed < kMinMeasurement) return meter.last;
  const double elapsed_s = std::chrono::duration<double>(elapsed).count();
  load_report report{.interval_ms = static_cast<uint32_t>(ToMs(elapsed))};
  for (auto& [key, cell] : meter.cells) {
    const load_sample sample{
        .service = key.first,
        .domain = key.second,
        .busy_milli = ToThousandths(cell.busy_sum / meter.samples),
        .ended_milli_per_s = ToThousandths(cell.ended / elapsed_s),
        .failures_milli_per_s = ToThousandths(cell.failures / elapsed_s)};
    if (sample.busy_milli + sample.ended_milli_per_s > 0)
      report.samples.push_back(sample);
    cell = {.openings = cell.openings};
  }
  report.upstream_flows = CountUpstreamFlows(directory, list);
  meter.samples = 0;
  meter.measured_since = now;
  meter.last = report;
  return report;
}

}  // namespace radishyard
