// Counting flows and timing answers from the callers' side alone.
#include "direct/flow_tracker.h"

#include <algorithm>

namespace radishyard {
namespace {

/// Weight of a new sample of the time to confirm.
constexpr double kConfirmWeight = 0.05;
/// An opening that takes this many times as long as usual is overdue.
constexpr double kOverdueFactor = 4;
constexpr duration kShortestBound = 25ms;
constexpr duration kLongestBound = 150ms;  ///< Below a caller's 200 ms.
/// Callers repeat data after 200 ms. What comes sooner was delayed on the way
/// here, such as by a pause of this process.
constexpr duration kShortestRepetition = 150ms;

/// A request that waits for this many usual times to answer has failed, unless
/// the time is short.
constexpr double kOverdueAnswers = 8;
constexpr double kShortestOverdueS = 0.3;

/// So many answered repetitions within this time are no single lost packets.
constexpr size_t kDelayedRepetitions = 3;
constexpr duration kDelayedWithin = 2s;

using flow_iterator = absl::flat_hash_map<flow_key, tracked_flow>::iterator;

void EndWaiting(tracked_flow& flow, upstream_directory& directory) {
  if (!flow.is_waiting) return;
  flow.is_waiting = false;
  if (known_upstream* const u = FindByMark(directory, flow.mark))
    --u->load.waiting;
}

void Leave(tracked_flow& flow, upstream_directory& directory) {
  EndWaiting(flow, directory);
  if (known_upstream* const u = FindByMark(directory, flow.mark))
    --u->load.flows;
  flow.mark = 0;
}

void Join(tracked_flow& flow, known_upstream& upstream) {
  flow.mark = upstream.mark;
  ++upstream.load.flows;
}

void Forget(flow_tracker& tracker, upstream_directory& directory,
            flow_iterator at) {
  Leave(at->second, directory);
  tracker.flows.erase(at);
}

/// Data that went on before: a repetition of what went unanswered while this
/// process ran.
/// \returns when it was first sent on, unless it says nothing.
std::optional<time_point> TrackRepetition(const flow_tracker& tracker,
                                          tracked_flow& flow,
                                          known_upstream& upstream,
                                          time_point now) {
  if (flow.sent_at < tracker.awake_since) {
    flow.sent_at = now;
    return std::nullopt;
  }
  const time_point last =
      flow.repetitions > 0 ? flow.repeated_at : flow.sent_at;
  if (now - last < kShortestRepetition) return std::nullopt;
  if (upstream.load.alive_at >= flow.repeated_at) flow.repetitions = 0;
  if (flow.repetitions < UINT8_MAX) ++flow.repetitions;
  flow.repeated_at = now;
  LearnRepetition(upstream.load, flow.repetitions, flow.sent_at, now);
  return flow.sent_at;
}

/// The caller's data: a new request, or a repetition.
/// \returns for a repetition, when the data was first sent on.
std::optional<time_point> TrackData(const flow_tracker& tracker,
                                    tracked_flow& flow,
                                    const direct_packet& packet,
                                    known_upstream& upstream, time_point now) {
  const uint32_t end = packet.sequence + packet.length;
  if (!IsAfter(end, flow.next_sequence))
    return TrackRepetition(tracker, flow, upstream, now);
  flow.next_sequence = end;
  flow.sent_at = now;
  flow.repetitions = 0;
  if (flow.is_waiting) return std::nullopt;
  flow.is_waiting = true;
  flow.is_overdue = false;
  flow.requested_at = now;
  ++upstream.load.waiting;
  return std::nullopt;
}

void NoteAnsweredRepetition(flow_tracker& tracker, time_point now) {
  tracker.answered_repetitions.push_back(now);
  if (tracker.answered_repetitions.size() > kDelayedRepetitions)
    tracker.answered_repetitions.pop_front();
}

/// Takes the answer of the flow's request, as far as it can be seen.
void TakeAnswer(flow_tracker& tracker, tracked_flow& flow,
                upstream_directory& directory, known_upstream& upstream,
                const direct_packet& packet, uint32_t bytes, time_point now) {
  if (flow.repetitions > 0) NoteAnsweredRepetition(tracker, now);
  LearnAnswer(upstream.load, now - flow.requested_at);
  tracker.answer_times.Add(now - flow.requested_at);
  const bool is_small = LearnSize(tracker.sizes, packet.flow.service, bytes);
  if (is_small)
    LearnFailure(upstream.load, now);
  else if (!flow.is_overdue)
    LearnSuccess(upstream.load);
  EndWaiting(flow, directory);
}

/// The caller's acknowledgement: where it moves, the upstream has answered.
/// Only one that comes alone is prompt; a new request or an end may carry that
/// of an answer from long ago, whose own acknowledgement went another way.
void TrackAcknowledgement(flow_tracker& tracker, tracked_flow& flow,
                          upstream_directory& directory,
                          const direct_packet& packet, known_upstream& upstream,
                          time_point now) {
  if (!IsAfter(packet.acknowledged, flow.acknowledged)) return;
  const uint32_t bytes = packet.acknowledged - flow.acknowledged;
  flow.acknowledged = packet.acknowledged;
  const bool is_prompt = packet.length == 0 && !packet.has_fin;
  if (!is_prompt) return EndWaiting(flow, directory);
  LearnAlive(upstream.load, now);
  if (flow.is_waiting)
    TakeAnswer(tracker, flow, directory, upstream, packet, bytes, now);
}

/// The first packet after an opening: the upstream has accepted the flow.
void Confirm(flow_tracker& tracker, const tracked_flow& flow,
             known_upstream& upstream, time_point now) {
  const double took_s =
      std::chrono::duration<double>(now - flow.sent_at).count();
  tracker.confirm_s += kConfirmWeight * (took_s - tracker.confirm_s);
  tracker.confirm_times.Add(now - flow.sent_at);
  LearnAlive(upstream.load, now);
}

/// Takes the state of a flow that was not known here, or only by its opening.
void Adopt(tracked_flow& flow, const direct_packet& packet) {
  flow.is_open = true;
  flow.next_sequence = packet.sequence;
  flow.acknowledged = packet.acknowledged;
}

}  // namespace

void TrackOpening(flow_tracker& tracker, upstream_directory& directory,
                  const direct_packet& packet, known_upstream& upstream,
                  time_point now) {
  if (tracker.flows.size() >= tracker.limit &&
      !tracker.flows.contains(packet.flow))
    return;
  tracked_flow& flow = tracker.flows[packet.flow];
  if (flow.mark != 0) Leave(flow, directory);
  flow.was_opened_here = true;
  flow.is_open = false;
  flow.sent_at = now;
  flow.seen_at = now;
  Join(flow, upstream);
  LearnTried(upstream.load, now);
}

std::optional<time_point> TrackPacket(flow_tracker& tracker,
                                      upstream_directory& directory,
                                      const direct_packet& packet,
                                      known_upstream& upstream,
                                      time_point now) {
  const bool ends = packet.has_fin || packet.is_reset;
  auto at = tracker.flows.find(packet.flow);
  if (at == tracker.flows.end()) {
    const bool is_worth = packet.length > 0 && !ends;
    if (!is_worth || tracker.flows.size() >= tracker.limit) return std::nullopt;
    at = tracker.flows.try_emplace(packet.flow).first;
  }
  tracked_flow& flow = at->second;
  if (flow.mark != upstream.mark) {
    Leave(flow, directory);
    Join(flow, upstream);
  }
  flow.seen_at = now;
  if (!flow.is_open) {
    if (flow.was_opened_here) Confirm(tracker, flow, upstream, now);
    Adopt(flow, packet);
  }
  TrackAcknowledgement(tracker, flow, directory, packet, upstream, now);
  std::optional<time_point> repeats;
  if (packet.length > 0)
    repeats = TrackData(tracker, flow, packet, upstream, now);
  if (ends) Forget(tracker, directory, at);
  return repeats;
}

duration ConfirmBound(const flow_tracker& tracker) {
  const auto bound = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(tracker.confirm_s * kOverdueFactor));
  return std::clamp(bound, kShortestBound, kLongestBound);
}

bool IsDelayed(const flow_tracker& tracker, time_point now) {
  return tracker.answered_repetitions.size() == kDelayedRepetitions &&
         now - tracker.answered_repetitions.front() < kDelayedWithin;
}

void RemoveFlow(flow_tracker& tracker, upstream_directory& directory,
                const flow_key& flow) {
  const auto at = tracker.flows.find(flow);
  if (at != tracker.flows.end()) Forget(tracker, directory, at);
}

size_t ForgetIdle(flow_tracker& tracker, upstream_directory& directory,
                  duration idle_timeout, time_point now) {
  size_t forgotten = 0;
  for (auto at = tracker.flows.begin(); at != tracker.flows.end();) {
    const auto next = std::next(at);
    if (now - at->second.seen_at > idle_timeout) {
      Forget(tracker, directory, at);
      ++forgotten;
    }
    at = next;
  }
  return forgotten;
}

void FindOverdue(flow_tracker& tracker, upstream_directory& directory,
                 time_point now) {
  for (auto& [key, flow] : tracker.flows) {
    if (!flow.is_waiting || flow.is_overdue) continue;
    known_upstream* const u = FindByMark(directory, flow.mark);
    if (u == nullptr) continue;
    const double bound_s =
        std::max(kShortestOverdueS, kOverdueAnswers * u->load.answer_s);
    const std::chrono::duration<double> waited =
        now - std::max(flow.requested_at, tracker.awake_since);
    if (waited.count() < bound_s) continue;
    flow.is_overdue = true;
    LearnFailure(u->load, now);
  }
}

void RecountFlows(const flow_tracker& tracker, upstream_directory& directory) {
  for (auto& [id, known] : directory.upstreams) {
    known.load.flows = 0;
    known.load.waiting = 0;
  }
  for (const auto& [key, flow] : tracker.flows) {
    known_upstream* const u = FindByMark(directory, flow.mark);
    if (u == nullptr) continue;
    ++u->load.flows;
    if (flow.is_waiting) ++u->load.waiting;
  }
}

}  // namespace radishyard
