// Places openings on upstreams and forwards packets of open flows by their
// mark.
#include "direct/forward/forwarder.h"

#include <array>
#include <utility>

#include "direct/forward/placement.h"
#include "direct/forward/silence.h"

namespace radishyard {
namespace {

/// Names of verdict_reason in logs and metrics, in the order of its values.
constexpr std::array<std::string_view, kVerdictReasonCount> kReasonNames{
    "placed",           "marked",       "no_table",
    "unknown_address",  "no_upstream",  "unknown_mark",
    "silent_upstream",  "evacuated",    "overload_delayed",
    "overload_refused", "cold_upstream"};

verdict ForwardTo(const known_upstream& upstream, verdict_reason reason) {
  return {verdict_action::kForward, reason, upstream.entry.id,
          upstream.entry.address, upstream.mark};
}

verdict Refuse(verdict_reason reason) {
  return {.action = verdict_action::kRefuse, .reason = reason};
}

verdict Drop(verdict_reason reason) {
  return {.action = verdict_action::kDrop, .reason = reason};
}

/// Returns the mark of the upstream on which the flow is recorded, or 0.
uint32_t FindPreviousMark(const flow_tracker& tracker, const flow_key& flow) {
  const auto known = tracker.flows.find(flow);
  return known == tracker.flows.end() ? 0 : known->second.mark;
}

/// Returns the upstream of a flow whose opening arrives again although the
/// first one did not go unanswered: the network has duplicated it, or later
/// packets of the flow have overtaken it. Returns null for any other opening,
/// and if the domain has been evacuated before the flow was open.
known_upstream* FindPreviousPlacement(const forwarding_state& state,
                                      const direct_packet& packet) {
  const auto known = state.tracker.flows.find(packet.flow);
  if (known == state.tracker.flows.end()) return nullptr;
  const bool is_unconfirmed =
      packet.retransmission_count > 0 && !known->second.is_confirmed;
  if (is_unconfirmed) return nullptr;
  known_upstream* const upstream =
      FindByMark(state.directory, known->second.mark);
  const bool must_move = upstream != nullptr && !known->second.is_confirmed &&
                         IsEvacuated(state.directory, *upstream);
  return must_move ? nullptr : upstream;
}

verdict_reason ReasonWithoutUpstream(const forwarding_state& state,
                                     const std::string& service) {
  return HasEvacuatedUpstream(state.directory, service)
             ? verdict_reason::kEvacuated
             : verdict_reason::kNoUpstream;
}

/// Decides whether the opening to `service` is admitted, and records it.
/// \returns the decision if it is not placed.
std::optional<verdict> CheckAdmission(forwarding_state& state,
                                      const direct_packet& packet,
                                      const published_address& row,
                                      const std::string& service,
                                      time_point now) {
  const auto found = state.admissions.find(service);
  if (found == state.admissions.end()) return std::nullopt;
  if (packet.retransmission_count == 0)
    RecordOfferedOpening(state.tracker.demands, row.address, now);
  const admission_action action = DecideAdmission(
      found->second, row, packet.flow, packet.retransmission_count, now);
  RecordDecision(state.admission_decisions, service, row.priority, action);
  if (action == admission_action::kDelay)
    return Drop(verdict_reason::kDelayedByAdmission);
  if (action == admission_action::kRefuse)
    return Refuse(verdict_reason::kRefusedByAdmission);
  return std::nullopt;
}

/// An opening is not left to its second retransmission: it has waited for 600
/// ms by then, and the caller does better with another flow.
constexpr uint32_t kMaxDroppedCopies = 2;

/// The decision on an opening for which no upstream was found.
/// \param wanted the cold upstream from which a grant is expected, or null.
verdict HandleUnplaced(const forwarding_state& state,
                       const direct_packet& packet, const std::string& service,
                       const known_upstream* wanted) {
  const bool is_cold = state.directory.ready_by_service.contains(service);
  if (!is_cold) return Refuse(ReasonWithoutUpstream(state, service));
  const bool may_wait =
      wanted != nullptr && packet.retransmission_count < kMaxDroppedCopies;
  return may_wait ? Drop(verdict_reason::kColdUpstream)
                  : Refuse(verdict_reason::kColdUpstream);
}

verdict PlaceOpening(forwarding_state& state, const direct_packet& packet,
                     time_point now, time_point start_now) {
  if (!IsReady(state)) return Drop(verdict_reason::kNotReady);
  // Each copy of an opening counts at a cold upstream.
  if (const known_upstream* const previous =
          FindPreviousPlacement(state, packet))
    return UseGrant(state.starts, *previous, start_now)
               ? ForwardTo(*previous, verdict_reason::kPlaced)
               : Drop(verdict_reason::kColdUpstream);
  const published_address* const row =
      FindAddress(state.table, packet.flow.service);
  if (row == nullptr) return Refuse(verdict_reason::kUnknownAddress);
  const std::string& service = SelectService(*row, packet.flow);
  if (const auto held = CheckAdmission(state, packet, *row, service, now))
    return *held;
  const uint64_t flow_hash = StableHash(packet.flow);
  const duration opening_timeout = OpeningTimeout(state.tracker);
  const domain_choice choice =
      SelectDomain(state.spill, state.directory, service, state.domain,
                   flow_hash, opening_timeout, now);
  const placement_request request{
      .service = service,
      .domain = choice.domain,
      .silent_domains = choice.silent,
      .avoided_mark = FindPreviousMark(state.tracker, packet.flow),
      .flow_hash = flow_hash,
      .opening_timeout = opening_timeout,
      .has_peer_flows = HasPeerFlows(state.spill, now),
      .starts = state.starts.limits.empty() ? nullptr : &state.starts,
      .start_now = start_now};
  known_upstream* const upstream =
      ChooseUpstream(state.directory, request, now);
  const known_upstream* const wanted =
      ChooseUpstreamToRequest(state.directory, request, now);
  verdict decision;
  if (upstream == nullptr) {
    decision = HandleUnplaced(state, packet, service, wanted);
  } else {
    UseGrant(state.starts, *upstream, start_now);
    TrackOpening(state.tracker, state.directory, packet, *upstream, now);
    RecordPlacedOpening(state.tracker.demands, row->address, now);
    if (state.spill.is_enabled)
      CountOpening(state.spill.meter, upstream->entry);
    decision = ForwardTo(*upstream, verdict_reason::kPlaced);
  }
  if (wanted != nullptr) decision.wanted_start = wanted->entry.id;
  return decision;
}

/// True if callers may retry the requests to the flow's service address.
bool IsRetryable(const routing_table& table, const flow_key& flow) {
  const published_address* const row = FindAddress(table, flow.service);
  return row != nullptr && row->retry_class != request_class::kNonIdempotent;
}

/// True if a reset would help the caller if the upstream is silent: it can
/// retry its request on another flow.
bool MayReset(const forwarding_state& state, const direct_packet& packet,
              const known_upstream& upstream, time_point now) {
  return packet.length > 0 && IsUnresponsive(upstream.stats, now) &&
         IsRetryable(state.table, packet.flow);
}

}  // namespace

std::string_view ToName(verdict_reason reason) {
  return kReasonNames.at(static_cast<size_t>(reason));
}

verdict RoutePacket(forwarding_state& state, const direct_packet& packet,
                    time_point now, time_point start_now) {
  if (packet.is_opening) return PlaceOpening(state, packet, now, start_now);
  known_upstream* const upstream = FindByMark(state.directory, packet.mark);
  if (upstream == nullptr) return Drop(verdict_reason::kUnknownMark);
  const auto first_sent_at =
      TrackPacket(state.tracker, state.directory, packet, *upstream, now);
  if (MayReset(state, packet, *upstream, now)) {
    if (IsSilenceProven(state, *upstream, now)) {
      RemoveFlow(state.tracker, state.directory, packet.flow);
      return Refuse(verdict_reason::kUnresponsiveUpstream);
    }
    ++state.silences.unproven;
  }
  verdict decision = ForwardTo(*upstream, verdict_reason::kForwardedByMark);
  decision.first_sent_at = first_sent_at;
  return decision;
}

bool ApplyTable(forwarding_state& state, routing_table table) {
  if (table.version <= state.table.version) return false;
  state.table = std::move(table);
  return true;
}

std::vector<directory_change> ApplyUpstreamList(forwarding_state& state,
                                                const upstream_list& list,
                                                time_point read_at,
                                                time_point now) {
  if (list.revision < state.directory.revision) return {};
  std::vector<directory_change> changes =
      UpdateDirectory(state.directory, list, read_at, now);
  const uint64_t digest = ListDigest(list);
  if (digest != state.digest)
    RecordListChange(state.history, state.applied_list, state.digest, list);
  state.applied_list = list;
  state.digest = digest;
  if (!changes.empty()) RecountFlows(state.tracker, state.directory);
  return changes;
}

evacuation_effect ApplyEvacuations(forwarding_state& state,
                                   evacuation_list list, time_point read_at) {
  const evacuation_effect effect =
      ApplyEvacuations(state.evacuations, std::move(list), read_at);
  if (effect == evacuation_effect::kChanged)
    SetEvacuatedDomains(state.directory, state.evacuations.list.domains);
  return effect;
}

evacuation_effect ApplyEvacuationReport(forwarding_state& state,
                                        const evacuation_report& report,
                                        time_point now) {
  if (!state.honours_evacuations) return evacuation_effect::kOlder;
  const evacuation_effect effect =
      ApplyEvacuationReport(state.evacuations, report, now);
  if (effect == evacuation_effect::kChanged)
    SetEvacuatedDomains(state.directory, state.evacuations.list.domains);
  return effect;
}

std::vector<health_change> UpdateHealthStates(forwarding_state& state,
                                              time_point now) {
  std::vector<health_change> changes;
  const duration opening_timeout = OpeningTimeout(state.tracker);
  for (auto& [id, known] : state.directory.upstreams) {
    const health_state after = AssessHealth(known.stats, opening_timeout, now);
    if (after != known.last_health)
      changes.push_back({id, known.last_health, after});
    known.last_health = after;
  }
  return changes;
}

std::vector<service_shares> UpdateLoads(forwarding_state& state,
                                        time_point now) {
  if (!state.spill.is_enabled) return {};
  const duration opening_timeout = OpeningTimeout(state.tracker);
  SampleLoad(state.spill.meter, state.directory, opening_timeout, now);
  state.loads =
      MakeLoadView(state.spill.pool, state.directory, opening_timeout, now);
  return UpdateShares(state.spill, state.loads, state.directory, state.domain,
                      opening_timeout, now);
}

bool IsReady(const forwarding_state& state) {
  const bool knows_evacuations =
      !state.honours_evacuations || IsKnown(state.evacuations.list.revision);
  return state.table.version != 0 && state.directory.has_list &&
         knows_evacuations;
}

}  // namespace radishyard
