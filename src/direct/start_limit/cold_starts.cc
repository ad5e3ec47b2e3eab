// Applies the decisions of start_limit and start_claim to the upstreams of the
// directory.
#include "direct/start_limit/cold_starts.h"

#include <algorithm>

namespace radishyard {
namespace {

/// Times in messages are cut to whole milliseconds.
constexpr duration kRounding = 1ms;

/// Returns the instant on this balancer's clock by which an upstream with this
/// remaining cold time is warm.
time_point ToColdEnd(duration remaining, time_point now) {
  if (remaining <= duration{}) return now;
  return now + OnFastClock(std::min(remaining, kMaxColdTime) + kRounding);
}

start_incarnation ToIncarnation(const upstream_entry& entry) {
  return {entry.id, static_cast<uint64_t>(entry.started_unix_ms)};
}

bool IsCold(const limited_upstream& known, time_point now) {
  return now < known.cold_until;
}

/// Adds an upstream, or replaces its earlier incarnation. A later list cannot
/// change the cold time, because it may repeat the registration's value.
void UpdateUpstream(cold_starts& starts, const known_upstream& upstream,
                    const service_start_rate& rate, time_point steady_now,
                    time_point now) {
  limited_upstream& known = starts.upstreams[upstream.entry.id];
  const start_incarnation of = ToIncarnation(upstream.entry);
  if (known.of != of) {
    known = {.of = of, .domain = upstream.entry.domain};
    known.cold_until = ToColdEnd(upstream.cold_until - steady_now, now);
  }
  known.limit = starts.limits.at(upstream.entry.service);
  known.cold_start = rate.cold_start;
}

/// Returns the state of an upstream whose limit applies at `now`; null if
/// openings need no grant, and nothing if its cold time is not known yet.
std::optional<const limited_upstream*> FindLimited(
    const cold_starts& starts, const known_upstream& upstream, time_point now) {
  if (!starts.limits.contains(upstream.entry.service)) return nullptr;
  const auto found = starts.upstreams.find(upstream.entry.id);
  const bool is_known = found != starts.upstreams.end() &&
                        found->second.of == ToIncarnation(upstream.entry);
  if (!is_known) return std::nullopt;
  return IsCold(found->second, now) ? &found->second : nullptr;
}

bool IsGranter(const limited_upstream& known) {
  return known.claim.phase == claim_phase::kHeld;
}

/// True if this process has won the claim `name` and not deleted it yet.
bool IsHeld(const cold_starts& starts, const std::string& name) {
  return std::any_of(
      starts.held_claims.begin(), starts.held_claims.end(),
      [&name](const claim_to_delete& claim) { return claim.name == name; });
}

granter_state ToGranterState(const limited_upstream& known) {
  if (IsGranter(known)) return granter_state::kHolds;
  return known.claim.phase == claim_phase::kLost ? granter_state::kNone
                                                 : granter_state::kClaiming;
}

}  // namespace

void UpdateColdStarts(cold_starts& starts, const routing_table& table,
                      const upstream_directory& directory,
                      time_point steady_now, time_point now) {
  starts.limits.clear();
  std::map<std::string, const service_start_rate*> rates;
  for (const service_start_rate& rate : table.start_rates) {
    if (rate.openings_per_1000s == 0) continue;
    starts.limits[rate.service] =
        MakeStartLimit(rate.openings_per_1000s, starts.bounds);
    rates[rate.service] = &rate;
  }
  std::erase_if(starts.upstreams, [&](const auto& item) {
    const auto found = directory.upstreams.find(item.first);
    return found == directory.upstreams.end() ||
           !rates.contains(found->second.entry.service);
  });
  for (const auto& [id, upstream] : directory.upstreams) {
    const auto rate = rates.find(upstream.entry.service);
    if (rate != rates.end())
      UpdateUpstream(starts, upstream, *rate->second, steady_now, now);
  }
}

bool CanPlaceOn(const cold_starts& starts, const known_upstream& upstream,
                time_point now) {
  const auto found = FindLimited(starts, upstream, now);
  if (!found) return false;
  const limited_upstream* const known = *found;
  if (known == nullptr || CanPlaceOn(known->requester, now)) return true;
  return IsGranter(*known) &&
         AvailableOpenings(known->granter, known->limit, now) > 0;
}

bool ExpectsGrant(const cold_starts& starts, const known_upstream& upstream,
                  time_point now) {
  const auto found = FindLimited(starts, upstream, now);
  return found && *found != nullptr && !IsGranter(**found) &&
         ExpectsGrant((*found)->requester, now);
}

bool UseGrant(cold_starts& starts, const known_upstream& upstream,
              time_point now) {
  if (!CanPlaceOn(starts, upstream, now)) return false;
  limited_upstream* const known =
      FindCold(starts, ToIncarnation(upstream.entry), now);
  if (known == nullptr) return true;
  if (!UseGrant(known->requester, now)) {
    if (MakeGrant(known->granter, known->limit, 1, now) == 0) return false;
    ++starts.counters.openings_granted;
  }
  ++starts.counters.openings_placed;
  return true;
}

void RecordUnmet(cold_starts& starts, upstream_id upstream, time_point now) {
  const auto found = starts.upstreams.find(upstream);
  if (found != starts.upstreams.end())
    RecordUnmet(found->second.requester, now);
}

std::optional<grant_request> RequestGrant(cold_starts& starts,
                                          upstream_id upstream,
                                          time_point now) {
  const auto found = starts.upstreams.find(upstream);
  if (found == starts.upstreams.end()) return std::nullopt;
  limited_upstream& known = found->second;
  if (!IsCold(known, now) || IsGranter(known)) return std::nullopt;
  const auto request =
      RequestGrant(known.requester, known.of, starts.last_request_id + 1, now);
  if (request) ++starts.last_request_id;
  return request;
}

grant_reply AnswerRequest(cold_starts& starts, const grant_request& request,
                          time_point now) {
  ++starts.counters.requests_received;
  grant_reply reply{.of = request.of, .id = request.id};
  const auto found = starts.upstreams.find(request.of.upstream);
  if (found == starts.upstreams.end() || found->second.of != request.of)
    return reply;
  limited_upstream& known = found->second;
  reply.cold_remaining_ms =
      IsCold(known, now)
          ? static_cast<uint32_t>(ToMs(known.cold_until - now + kRounding))
          : 0;
  reply.granter = static_cast<uint8_t>(ToGranterState(known));
  if (!IsGranter(known)) return reply;
  reply.openings = MakeGrant(known.granter, known.limit, request.openings, now);
  starts.counters.openings_granted += reply.openings;
  return reply;
}

void ApplyReply(cold_starts& starts, const grant_reply& reply, time_point now) {
  limited_upstream* const known = FindCold(starts, reply.of, now);
  if (known == nullptr) return;
  const bool is_awaited =
      known->requester.pending && known->requester.pending->id == reply.id;
  if (!is_awaited) return;
  starts.counters.openings_received += ApplyReply(known->requester, reply, now);
  if (reply.cold_remaining_ms != kUnknownColdTime)
    known->cold_until =
        std::min(known->cold_until,
                 ToColdEnd(milliseconds(reply.cold_remaining_ms), now));
}

limited_upstream* FindCold(cold_starts& starts, const start_incarnation& of,
                           time_point now) {
  const auto found = starts.upstreams.find(of.upstream);
  if (found == starts.upstreams.end() || found->second.of != of) return nullptr;
  return IsCold(found->second, now) ? &found->second : nullptr;
}

void ApplyClaimResult(cold_starts& starts, const start_incarnation& of,
                      claim_result result, time_point now) {
  // A claim won before, whose upstream or rate was removed and has returned:
  // the record of what was granted is lost, so nothing more may be granted.
  if (result == claim_result::kCreated && IsHeld(starts, ToClaimName(of)))
    result = claim_result::kOthers;
  start_counters& counters = starts.counters;
  counters.claims_won += result == claim_result::kCreated ? 1 : 0;
  counters.claims_refused += result == claim_result::kRefused ? 1 : 0;
  counters.claims_unknown += result == claim_result::kUnknown ? 1 : 0;
  const auto found = starts.upstreams.find(of.upstream);
  const bool is_present =
      found != starts.upstreams.end() && found->second.of == of;
  if (result == claim_result::kCreated) {
    const time_point warm_at = is_present
                                   ? std::max(now, found->second.cold_until)
                                   : now + kMaxColdTime;
    const duration cold_start =
        is_present ? found->second.cold_start : duration{};
    starts.held_claims.push_back(
        {ToClaimName(of), warm_at + cold_start + kClaimRetention});
  }
  if (!is_present) return;
  ApplyClaimResult(found->second.claim, result, now);
  counters.claims_lost +=
      found->second.claim.phase == claim_phase::kLost ? 1 : 0;
}

std::vector<std::string> TakeDueDeletions(cold_starts& starts, time_point now) {
  std::vector<std::string> names;
  std::erase_if(starts.held_claims, [&](const claim_to_delete& claim) {
    if (now < claim.at) return false;
    names.push_back(claim.name);
    return true;
  });
  return names;
}

void EndGrants(cold_starts& starts) {
  for (auto& [id, known] : starts.upstreams) EndGrants(known.requester);
}

}  // namespace radishyard
