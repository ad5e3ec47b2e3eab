// Implements grants: the granter counts the openings granted within a window,
// the holder measures a grant's lifetime from the request.
#include "direct/start_limit/start_limit.h"

#include <algorithm>
#include <cmath>

namespace radishyard {
namespace {

constexpr double kRateUnitSeconds = 1000;
/// Bound of a limit, so that the sum of a window cannot overflow.
constexpr double kMaxLimit = 1e9;

bool IsValid(const held_grant& grant, time_point now) {
  return grant.openings > 0 && now < grant.valid_until;
}

void RemoveInvalidGrants(start_requester& requester, time_point now) {
  std::erase_if(requester.grants, [now](const held_grant& grant) {
    return !IsValid(grant, now);
  });
}

bool IsAwaitingReply(const start_requester& requester, time_point now) {
  return requester.pending &&
         now - requester.pending->sent_at < kGrantReplyTimeout;
}

/// Turns to the next balancer in rank. After the last one, requests pause.
void AskNextRank(start_requester& requester, time_point now) {
  requester.rank = (requester.rank + 1) % kMaxGranterRank;
  if (requester.rank == 0) requester.paused_until = now + kDenialPause;
}

}  // namespace

start_limit MakeStartLimit(uint32_t openings_per_1000s,
                           const start_bounds& bounds) {
  if (openings_per_1000s == 0) return {};
  const double limit =
      openings_per_1000s / kRateUnitSeconds * bounds.overage + bounds.slack;
  return {static_cast<uint32_t>(std::floor(std::clamp(limit, 1.0, kMaxLimit)))};
}

uint32_t AvailableOpenings(const start_granter& granter,
                           const start_limit& limit, time_point now) {
  uint64_t used = 0;
  for (const granted_openings& each : granter.granted)
    if (now - each.at <= kGrantWindow) used += each.openings;
  return static_cast<uint32_t>(
      limit.openings_per_second -
      std::min<uint64_t>(used, limit.openings_per_second));
}

uint32_t MakeGrant(start_granter& granter, const start_limit& limit,
                   uint32_t openings, time_point now) {
  // An instant that was read before another one must not come after it.
  if (!granter.granted.empty()) now = std::max(now, granter.granted.back().at);
  while (!granter.granted.empty() &&
         now - granter.granted.front().at > kGrantWindow)
    granter.granted.pop_front();
  const uint32_t granted =
      std::min(openings, AvailableOpenings(granter, limit, now));
  if (granted == 0) return 0;
  std::deque<granted_openings>& list = granter.granted;
  if (list.empty() || now - list.back().since >= kGrantResolution)
    list.push_back({.since = now});
  list.back().at = now;
  list.back().openings += granted;
  return granted;
}

bool CanPlaceOn(const start_requester& requester, time_point now) {
  return std::any_of(
      requester.grants.begin(), requester.grants.end(),
      [now](const held_grant& grant) { return IsValid(grant, now); });
}

bool UseGrant(start_requester& requester, time_point now) {
  RemoveInvalidGrants(requester, now);
  const auto first =
      std::min_element(requester.grants.begin(), requester.grants.end(),
                       [](const held_grant& a, const held_grant& b) {
                         return a.valid_until < b.valid_until;
                       });
  if (first == requester.grants.end()) return false;
  --first->openings;
  return true;
}

bool ExpectsGrant(const start_requester& requester, time_point now) {
  return IsAwaitingReply(requester, now) || now >= requester.paused_until;
}

bool RecordUnmet(start_requester& requester, time_point now) {
  if (!ExpectsGrant(requester, now)) return false;
  requester.unmet = std::min(requester.unmet + 1, kMaxRequestedOpenings);
  return true;
}

std::optional<grant_request> RequestGrant(start_requester& requester,
                                          const start_incarnation& of,
                                          uint64_t id, time_point now) {
  if (IsAwaitingReply(requester, now)) return std::nullopt;
  if (requester.pending) {
    requester.pending.reset();
    AskNextRank(requester, now);
  }
  if (requester.unmet == 0 || now < requester.paused_until) return std::nullopt;
  const grant_request request{.of = of, .id = id, .openings = requester.unmet};
  requester.unmet = 0;
  requester.pending = pending_grant{id, request.openings, now};
  return request;
}

uint32_t ApplyReply(start_requester& requester, const grant_reply& reply,
                    time_point now) {
  if (!requester.pending || requester.pending->id != reply.id) return 0;
  const pending_grant request = *requester.pending;
  requester.pending.reset();
  if (reply.granter == static_cast<uint8_t>(granter_state::kNone)) {
    requester.unmet =
        std::min(requester.unmet + request.openings, kMaxRequestedOpenings);
    AskNextRank(requester, now);
    return 0;
  }
  // Nothing is left of the limit, or nothing yet. The openings that waited are
  // retransmitted and then count again.
  if (reply.openings < request.openings) {
    requester.paused_until = now + kDenialPause;
    requester.unmet = 0;
  }
  if (reply.granter != static_cast<uint8_t>(granter_state::kHolds)) return 0;
  RemoveInvalidGrants(requester, now);
  const held_grant grant{reply.openings, request.sent_at + kGrantLifetime};
  if (!IsValid(grant, now) || requester.grants.size() >= kMaxHeldGrants)
    return 0;
  requester.grants.push_back(grant);
  return grant.openings;
}

void EndGrants(start_requester& requester) {
  requester.grants.clear();
  requester.pending.reset();
}

}  // namespace radishyard
