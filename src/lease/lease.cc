// Events and questions of the lease on unsafe work.
#include "lease/lease.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "roster/roster_update.h"

namespace radishyard {
namespace {

bool IsOwner(const lease_state& state, const pool_assignment* pool) {
  return pool != nullptr && pool->owner == state.self;
}

// Notes from when each pool owned may be placed. Ownership that goes on under
// the same since_epoch keeps its instant.
void NoteOwned(lease_state& state, const roster& r, time_point now) {
  std::map<std::string, time_point> owned;
  for (const pool_assignment& pool : r.pools) {
    if (pool.owner != state.self) continue;
    const pool_assignment* before = FindPool(state.latest_roster, pool.service);
    const bool same =
        IsOwner(state, before) && before->since_epoch == pool.since_epoch;
    const duration wait =
        pool.released ? state.times.released_wait : state.times.takeover_wait;
    owned[pool.service] =
        same ? state.placement_allowed_at.at(pool.service) : now + wait;
  }
  state.placement_allowed_at = std::move(owned);
}

void Adopt(lease_state& state, const roster& r, uint64_t version,
           time_point now) {
  if (version <= state.version) return;
  NoteOwned(state, r, now);
  state.latest_roster = r;
  state.version = version;
}

// Until when the acknowledgements of all successors carry the lease. Without a
// successor nobody may take the pool over.
std::optional<time_point> AcknowledgedUntil(const lease_state& state,
                                            const pool_assignment& pool,
                                            time_point now) {
  time_point oldest = now;
  for (const member_id& id : pool.successors) {
    const auto found = state.acknowledged_at.find(id);
    if (found == state.acknowledged_at.end()) return std::nullopt;
    oldest = std::min(oldest, found->second);
  }
  return oldest + state.times.lease;
}

std::optional<time_point> RenewedUntil(const lease_state& state) {
  if (!state.renewed_at) return std::nullopt;
  return *state.renewed_at + state.times.lease;
}

bool IsGivenUp(const lease_state& state, std::string_view service) {
  return state.pending &&
         state.pending->relinquished_services.contains(std::string(service));
}

// Notes the own pools that the proposed roster gives to others or drops.
void NoteGivenUp(pending_update& pending, const lease_state& state,
                 const roster& proposed) {
  for (const pool_assignment& pool : state.latest_roster.pools) {
    const pool_assignment* next = FindPool(proposed, pool.service);
    if (next != nullptr && next->owner == pool.owner) continue;
    if (pool.owner == state.self)
      pending.relinquished_services.insert(pool.service);
  }
}

// True where the lease ends within half its span, or does not stand, though the
// wait is over by then.
bool NeedsRenewal(const lease_state& state, const pool_assignment& pool,
                  time_point now) {
  if (pool.owner != state.self) return false;
  const time_point soon = now + state.times.lease / 2;
  if (state.placement_allowed_at.at(pool.service) > soon) return false;
  const auto acknowledged = AcknowledgedUntil(state, pool, now);
  const auto renewed = RenewedUntil(state);
  return std::max(acknowledged.value_or(now), renewed.value_or(now)) <= soon;
}

}  // namespace

lease_state OnRoster(lease_state state, const roster& r, uint64_t version,
                     time_point now) {
  Adopt(state, r, version, now);
  if (state.pending && state.version > state.pending->base_version) {
    state.pending.reset();
  }
  return state;
}

lease_state OnHeartbeat(lease_state state, const member_id& from,
                        uint64_t epoch) {
  uint64_t& told = state.reported_epoch[from];
  told = std::max(told, epoch);
  return state;
}

lease_state OnAcknowledgement(lease_state state, const acknowledgement& ack,
                              time_point now) {
  // A peer that knows a later roster may know another owner.
  if (ack.epoch > state.latest_roster.epoch || ack.sent_at > now) return state;
  const auto [entry, added] =
      state.acknowledged_at.try_emplace(ack.from, ack.sent_at);
  if (!added) entry->second = std::max(entry->second, ack.sent_at);
  return state;
}

lease_state BeginUpdate(lease_state state, const roster& proposed,
                        time_point now) {
  pending_update pending{state.version, now, {}, false};
  if (state.pending) {
    assert(state.pending->outcome_unknown && "one update at a time");
    assert(state.pending->base_version == state.version &&
           "an update is sent again on its base only");
    pending = *state.pending;
  }
  NoteGivenUp(pending, state, proposed);
  state.pending = std::move(pending);
  return state;
}

lease_state OnUpdateConfirmed(lease_state state, const roster& proposed,
                              uint64_t version, time_point now) {
  // Without a pending update, a later roster has settled it already.
  if (state.pending) state.renewed_at = state.pending->sent_at;
  return OnRoster(std::move(state), proposed, version, now);
}

lease_state OnUpdateFailed(lease_state state, update_failure failure) {
  if (!state.pending) return state;
  if (failure == update_failure::kUnknown)
    state.pending->outcome_unknown = true;
  // A conflict of an update sent again may be with its own first sending.
  if (!state.pending->outcome_unknown) state.pending.reset();
  return state;
}

std::optional<time_point> NonIdempotentDeadline(const lease_state& state,
                                                std::string_view service,
                                                time_point now) {
  const pool_assignment* pool = FindPool(state.latest_roster, service);
  if (!IsOwner(state, pool) || IsGivenUp(state, service)) return std::nullopt;
  // A run that is listed no more counts as dead with the others.
  if (FindMember(state.latest_roster, state.self) == nullptr)
    return std::nullopt;
  if (state.placement_allowed_at.at(pool->service) > now) return std::nullopt;
  const auto acknowledged = AcknowledgedUntil(state, *pool, now);
  const auto renewed = RenewedUntil(state);
  const auto until = std::max(acknowledged, renewed);
  return until && *until > now ? until : std::nullopt;
}

bool MayTakeOver(const lease_state& state, std::string_view service) {
  const pool_assignment* pool = FindPool(state.latest_roster, service);
  if (pool == nullptr || state.pending || IsOwner(state, pool)) return false;
  if (FindMember(state.latest_roster, state.self) == nullptr) return false;
  if (FindMember(state.latest_roster, pool->owner) == nullptr) return true;
  const auto told = state.reported_epoch.find(pool->owner);
  const bool counted = told != state.reported_epoch.end() &&
                       told->second >= pool->successors_epoch;
  return counted && std::ranges::find(pool->successors, state.self) !=
                        pool->successors.end();
}

bool MayRelease(const lease_state& state, std::string_view service,
                time_point now) {
  const pool_assignment* pool = FindPool(state.latest_roster, service);
  return IsOwner(state, pool) && !state.pending &&
         state.placement_allowed_at.at(pool->service) <= now;
}

std::set<std::string> ServicesToTakeOver(const lease_state& state) {
  std::set<std::string> services;
  for (const pool_assignment& pool : state.latest_roster.pools) {
    if (MayTakeOver(state, pool.service)) services.insert(pool.service);
  }
  return services;
}

std::set<std::string> ServicesToRelease(const lease_state& state,
                                        time_point now) {
  std::set<std::string> services;
  for (const pool_assignment& pool : state.latest_roster.pools) {
    if (MayRelease(state, pool.service, now)) services.insert(pool.service);
  }
  return services;
}

lease_action NextAction(const lease_state& state, const lease_inputs& needs,
                        time_point now) {
  using kind = lease_action::kind;
  if (state.pending) {
    return {state.pending->outcome_unknown ? kind::kSettle : kind::kNone, {}};
  }
  lease_action take{kind::kTakeOver, {}};
  lease_action renew{kind::kRenew, {}};
  for (const pool_assignment& pool : state.latest_roster.pools) {
    const bool silent = needs.silent.contains(pool.owner);
    if (silent && MayTakeOver(state, pool.service)) {
      take.services.insert(pool.service);
    }
    const bool unsafe = needs.unsafe_services.contains(pool.service);
    if (unsafe && NeedsRenewal(state, pool, now)) {
      renew.services.insert(pool.service);
    }
  }
  if (!take.services.empty()) return take;
  return renew.services.empty() ? lease_action{} : renew;
}

}  // namespace radishyard
