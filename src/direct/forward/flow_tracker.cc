// Counts flows and measures response times from callers' packets alone.
#include "direct/forward/flow_tracker.h"

#include <algorithm>

namespace radishyard {
namespace {

/// Weight of a new sample in the smoothed confirmation time.
constexpr double kConfirmWeight = 0.05;
/// An opening that is not confirmed within this many times the usual
/// confirmation time is overdue.
constexpr double kOpeningTimeoutFactor = 4;
constexpr duration kMinOpeningTimeout = 25ms;
/// Below the 200 ms after which callers retransmit an opening.
constexpr duration kMaxOpeningTimeout = 150ms;
/// Callers retransmit data after 200 ms. If a retransmission follows sooner,
/// the data before it was delayed on the way here, for example by a pause of
/// this process.
constexpr duration kMinRetransmissionDelay = 150ms;

/// A request has failed if its response is not acknowledged within this many
/// times the usual response time of the upstream, at least kMinOverdueSeconds.
constexpr double kOverdueResponseFactor = 8;
constexpr double kMinOverdueSeconds = 0.3;

/// Single lost packets do not explain this many retransmitted requests with a
/// response within kAnsweredRetransmissionWindow.

constexpr size_t kMinAnsweredRetransmissions = 3;
constexpr duration kAnsweredRetransmissionWindow = 2s;

using flow_iterator = absl::flat_hash_map<flow_key, tracked_flow>::iterator;

/// Marks the flow as having no pending request.
void StopAwaitingResponse(tracked_flow& flow, upstream_directory& directory) {
  if (!flow.is_awaiting_response) return;
  flow.is_awaiting_response = false;
  known_upstream* const u = FindByMark(directory, flow.mark);
  if (u == nullptr) return;
  --u->stats.pending_requests;
  if (flow.is_overdue) --u->stats.overdue_requests;
}

/// Removes the flow from the counts of its upstream.
void DetachFromUpstream(tracked_flow& flow, upstream_directory& directory) {
  StopAwaitingResponse(flow, directory);
  if (known_upstream* const u = FindByMark(directory, flow.mark))
    --u->stats.flows;
  flow.mark = 0;
}

/// Adds the flow to the counts of `upstream`.
void AttachToUpstream(tracked_flow& flow, known_upstream& upstream) {
  flow.mark = upstream.mark;
  ++upstream.stats.flows;
}

void EraseFlow(flow_tracker& tracker, upstream_directory& directory,
               flow_iterator at) {
  DetachFromUpstream(at->second, directory);
  tracker.flows.erase(at);
}

/// Records a retransmission of data that was forwarded before. Data forwarded
/// before the last pause of this process is not evidence against the upstream,
/// because its acknowledgement may have arrived during the pause.
/// \returns when the data was first forwarded, or nothing if the retransmission
/// is not counted.
std::optional<time_point> TrackRetransmission(const flow_tracker& tracker,
                                              tracked_flow& flow,
                                              uint32_t caller,
                                              known_upstream& upstream,
                                              time_point now) {
  if (flow.sent_at < tracker.resumed_at) {
    flow.sent_at = now;
    return std::nullopt;
  }
  const time_point last_sent_at =
      flow.retransmissions > 0 ? flow.retransmitted_at : flow.sent_at;
  if (now - last_sent_at < kMinRetransmissionDelay) return std::nullopt;
  if (upstream.stats.last_alive_at >= flow.retransmitted_at)
    flow.retransmissions = 0;
  if (flow.retransmissions < UINT8_MAX) ++flow.retransmissions;
  flow.retransmitted_at = now;
  RecordRetransmission(upstream.stats, caller, flow.retransmissions,
                       flow.sent_at, now);
  return flow.sent_at;
}

/// Records data from the caller: a new request, further data of a request, or a
/// retransmission.
/// \returns for a counted retransmission, when the data was first forwarded.
std::optional<time_point> TrackData(flow_tracker& tracker, tracked_flow& flow,
                                    const direct_packet& packet,
                                    known_upstream& upstream, time_point now) {
  const uint32_t end = packet.sequence + packet.length;
  if (!IsAfter(end, flow.next_sequence))
    return TrackRetransmission(tracker, flow, packet.flow.caller.address,
                               upstream, now);
  flow.next_sequence = end;
  flow.sent_at = now;
  flow.retransmissions = 0;
  if (flow.is_awaiting_response) return std::nullopt;
  flow.is_awaiting_response = true;
  flow.is_overdue = false;
  flow.requested_at = now;
  RecordRequest(tracker.demands, packet.flow.service, now);
  ++upstream.stats.pending_requests;
  return std::nullopt;
}

/// Records that a retransmitted request has received its response.
void RecordAnsweredRetransmission(flow_tracker& tracker, time_point now) {
  tracker.answered_retransmissions.push_back(now);
  if (tracker.answered_retransmissions.size() > kMinAnsweredRetransmissions)
    tracker.answered_retransmissions.pop_front();
}

/// Records the response to the flow's pending request, as far as the caller's
/// acknowledgement shows it: its time and its size in bytes.
void RecordResponse(flow_tracker& tracker, tracked_flow& flow,
                    upstream_directory& directory, known_upstream& upstream,
                    const direct_packet& packet, uint32_t bytes,
                    time_point now) {
  if (flow.retransmissions > 0) RecordAnsweredRetransmission(tracker, now);
  RecordResponseTime(upstream.stats, now - flow.requested_at);
  tracker.response_times.Add(now - flow.requested_at);
  const bool is_small =
      RecordResponseSize(tracker.sizes_by_address, packet.flow.service, bytes);
  // The time of a request from before a pause of this process contains it.
  if (!is_small && flow.requested_at >= tracker.resumed_at)
    RecordWork(tracker.demands, packet.flow.service, now - flow.requested_at,
               tracker.is_queueing);
  if (is_small)
    RecordFailure(upstream.stats, now);
  else if (!flow.is_overdue)
    RecordSuccess(upstream.stats);
  StopAwaitingResponse(flow, directory);
}

/// Records the caller's acknowledgement. If it advances, the upstream has sent
/// a response. Only an acknowledgement without data or FIN shows when that was:
/// a new request or a FIN may repeat the acknowledgement of a much earlier
/// response, which went through another balancer.
void TrackAcknowledgement(flow_tracker& tracker, tracked_flow& flow,
                          upstream_directory& directory,
                          const direct_packet& packet, known_upstream& upstream,
                          time_point now) {
  if (!IsAfter(packet.acknowledged, flow.acknowledged)) return;
  const uint32_t bytes = packet.acknowledged - flow.acknowledged;
  flow.acknowledged = packet.acknowledged;
  const bool is_prompt = packet.length == 0 && !packet.has_fin;
  if (!is_prompt) return StopAwaitingResponse(flow, directory);
  RecordAlive(upstream.stats, now);
  if (flow.is_awaiting_response)
    RecordResponse(tracker, flow, directory, upstream, packet, bytes, now);
}

/// Records the first packet after an opening, which shows that the upstream has
/// accepted the flow.
void RecordConfirmation(flow_tracker& tracker, const tracked_flow& flow,
                        known_upstream& upstream, time_point now) {
  const double elapsed_s =
      std::chrono::duration<double>(now - flow.sent_at).count();
  tracker.mean_confirm_s +=
      kConfirmWeight * (elapsed_s - tracker.mean_confirm_s);
  tracker.confirm_times.Add(now - flow.sent_at);
  RecordAlive(upstream.stats, now);
}

/// Initialises a flow of which this balancer has no record, or only its
/// opening, from its first other packet.
void InitializeFromPacket(tracked_flow& flow, const direct_packet& packet) {
  flow.is_confirmed = true;
  flow.next_sequence = packet.sequence;
  flow.acknowledged = packet.acknowledged;
}

}  // namespace

void TrackOpening(flow_tracker& tracker, upstream_directory& directory,
                  const direct_packet& packet, known_upstream& upstream,
                  time_point now) {
  if (tracker.flows.size() >= tracker.max_flows &&
      !tracker.flows.contains(packet.flow))
    return;
  tracked_flow& flow = tracker.flows[packet.flow];
  if (flow.mark != 0) DetachFromUpstream(flow, directory);
  flow.was_placed_here = true;
  flow.is_confirmed = false;
  flow.sent_at = now;
  flow.last_seen_at = now;
  AttachToUpstream(flow, upstream);
  RecordOpening(upstream.stats, now);
}

std::optional<time_point> TrackPacket(flow_tracker& tracker,
                                      upstream_directory& directory,
                                      const direct_packet& packet,
                                      known_upstream& upstream,
                                      time_point now) {
  const bool ends = packet.has_fin || packet.is_reset;
  auto at = tracker.flows.find(packet.flow);
  if (at == tracker.flows.end()) {
    const bool is_trackable = packet.length > 0 && !ends;
    if (!is_trackable || tracker.flows.size() >= tracker.max_flows)
      return std::nullopt;
    at = tracker.flows.try_emplace(packet.flow).first;
  }
  tracked_flow& flow = at->second;
  if (flow.mark != upstream.mark) {
    DetachFromUpstream(flow, directory);
    AttachToUpstream(flow, upstream);
  }
  flow.last_seen_at = now;
  if (!flow.is_confirmed) {
    if (flow.was_placed_here) RecordConfirmation(tracker, flow, upstream, now);
    InitializeFromPacket(flow, packet);
  }
  TrackAcknowledgement(tracker, flow, directory, packet, upstream, now);
  std::optional<time_point> first_sent_at;
  if (packet.length > 0)
    first_sent_at = TrackData(tracker, flow, packet, upstream, now);
  if (ends) EraseFlow(tracker, directory, at);
  return first_sent_at;
}

duration OpeningTimeout(const flow_tracker& tracker) {
  const auto timeout =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          tracker.mean_confirm_s * kOpeningTimeoutFactor));
  return std::clamp(timeout, kMinOpeningTimeout, kMaxOpeningTimeout);
}

bool IsCallerPathDelayed(const flow_tracker& tracker, time_point now) {
  return tracker.answered_retransmissions.size() ==
             kMinAnsweredRetransmissions &&
         now - tracker.answered_retransmissions.front() <
             kAnsweredRetransmissionWindow;
}

void RemoveFlow(flow_tracker& tracker, upstream_directory& directory,
                const flow_key& flow) {
  const auto at = tracker.flows.find(flow);
  if (at != tracker.flows.end()) EraseFlow(tracker, directory, at);
}

size_t ExpireIdleFlows(flow_tracker& tracker, upstream_directory& directory,
                       duration idle_timeout, time_point now) {
  size_t expired = 0;
  for (auto at = tracker.flows.begin(); at != tracker.flows.end();) {
    const auto next = std::next(at);
    if (now - at->second.last_seen_at > idle_timeout) {
      EraseFlow(tracker, directory, at);
      ++expired;
    }
    at = next;
  }
  return expired;
}

void FailOverdueRequests(flow_tracker& tracker, upstream_directory& directory,
                         time_point now) {
  for (auto& [key, flow] : tracker.flows) {
    if (!flow.is_awaiting_response || flow.is_overdue) continue;
    known_upstream* const u = FindByMark(directory, flow.mark);
    if (u == nullptr) continue;
    const double timeout_s = std::max(
        kMinOverdueSeconds, kOverdueResponseFactor * u->stats.mean_response_s);
    const std::chrono::duration<double> waited =
        now - std::max(flow.requested_at, tracker.resumed_at);
    if (waited.count() < timeout_s) continue;
    flow.is_overdue = true;
    ++u->stats.overdue_requests;
    RecordFailure(u->stats, now);
  }
}

void RecountFlows(const flow_tracker& tracker, upstream_directory& directory) {
  for (auto& [id, known] : directory.upstreams) {
    known.stats.flows = 0;
    known.stats.pending_requests = 0;
    known.stats.overdue_requests = 0;
  }
  for (const auto& [key, flow] : tracker.flows) {
    known_upstream* const u = FindByMark(directory, flow.mark);
    if (u == nullptr) continue;
    ++u->stats.flows;
    if (!flow.is_awaiting_response) continue;
    ++u->stats.pending_requests;
    if (flow.is_overdue) ++u->stats.overdue_requests;
  }
}

}  // namespace radishyard
