// State transitions and queries of the lease on non-idempotent requests.
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

// Recomputes from when requests of each pool that this balancer owns may be
// placed. A pool that it owned before, under the same since_epoch, keeps its
// instant, so that a roster update does not restart the wait.
void UpdatePlacementTimes(lease_state& state, const roster& r, time_point now) {
  std::map<std::string, time_point> owned;
  for (const pool_assignment& pool : r.pools) {
    if (pool.owner != state.self) continue;
    const pool_assignment* previous =
        FindPool(state.latest_roster, pool.service);
    const bool is_unchanged =
        IsOwner(state, previous) && previous->since_epoch == pool.since_epoch;
    const duration wait =
        pool.released ? state.times.release_wait : state.times.takeover_wait;
    owned[pool.service] =
        is_unchanged ? state.placement_allowed_at.at(pool.service) : now + wait;
  }
  state.placement_allowed_at = std::move(owned);
}

void AdoptRoster(lease_state& state, const roster& r, uint64_t version,
                 time_point now) {
  if (version <= state.version) return;
  UpdatePlacementTimes(state, r, now);
  state.latest_roster = r;
  state.version = version;
}

// The end of the lease by the acknowledgements of all successors; nothing while
// one of them has acknowledged no heartbeat. Without a successor no other
// balancer may take the pool over, so the lease starts at `now`.
std::optional<time_point> AcknowledgedLeaseEnd(const lease_state& state,
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

// The end of the lease by the latest confirmed update of the roster; nothing
// without such an update.
std::optional<time_point> RenewedLeaseEnd(const lease_state& state) {
  if (!state.renewed_at) return std::nullopt;
  return *state.renewed_at + state.times.lease;
}

bool IsRelinquished(const lease_state& state, std::string_view service) {
  return state.pending &&
         state.pending->relinquished_services.contains(std::string(service));
}

// Adds the pools of this balancer that the proposed roster assigns to other
// owners or no longer lists.
void AddRelinquishedServices(pending_update& pending, const lease_state& state,
                             const roster& proposed) {
  for (const pool_assignment& pool : state.latest_roster.pools) {
    const pool_assignment* next = FindPool(proposed, pool.service);
    if (next != nullptr && next->owner == pool.owner) continue;
    if (pool.owner == state.self)
      pending.relinquished_services.insert(pool.service);
  }
}

// True if this balancer owns the pool and, half a lease duration from now, its
// initial wait has ended but its lease has expired or was never granted.
bool NeedsRenewal(const lease_state& state, const pool_assignment& pool,
                  time_point now) {
  if (pool.owner != state.self) return false;
  const time_point renewal_limit = now + state.times.lease / 2;
  if (state.placement_allowed_at.at(pool.service) > renewal_limit) return false;
  const auto acknowledged = AcknowledgedLeaseEnd(state, pool, now);
  const auto renewed = RenewedLeaseEnd(state);
  return std::max(acknowledged.value_or(now), renewed.value_or(now)) <=
         renewal_limit;
}

}  // namespace

lease_state OnRoster(lease_state state, const roster& r, uint64_t version,
                     time_point now) {
  AdoptRoster(state, r, version, now);
  if (state.pending && state.version > state.pending->base_version) {
    state.pending.reset();
  }
  return state;
}

lease_state OnHeartbeat(lease_state state, const member_id& from,
                        uint64_t epoch) {
  uint64_t& reported = state.reported_epoch[from];
  reported = std::max(reported, epoch);
  return state;
}

lease_state OnAcknowledgement(lease_state state, const acknowledgement& ack,
                              time_point now) {
  // A peer with a later roster may already have another owner for the pool.
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
    assert(state.pending->outcome_unknown &&
           "only an update of unknown outcome may be sent again");
    assert(state.pending->base_version == state.version &&
           "an update may be resent only on its base version");
    pending = *state.pending;
  }
  AddRelinquishedServices(pending, state, proposed);
  state.pending = std::move(pending);
  return state;
}

lease_state OnUpdateConfirmed(lease_state state, const roster& proposed,
                              uint64_t version, time_point now) {
  // Without a pending update, a later roster has already resolved it.
  if (state.pending) state.renewed_at = state.pending->sent_at;
  return OnRoster(std::move(state), proposed, version, now);
}

lease_state OnUpdateFailed(lease_state state, update_failure failure) {
  if (!state.pending) return state;
  if (failure == update_failure::kUnknown)
    state.pending->outcome_unknown = true;
  // Once the outcome is unknown, a conflict does not resolve the update: it may
  // be caused by an earlier attempt of the same update that was applied.
  if (!state.pending->outcome_unknown) state.pending.reset();
  return state;
}

std::optional<time_point> NonIdempotentDeadline(const lease_state& state,
                                                std::string_view service,
                                                time_point now) {
  const pool_assignment* pool = FindPool(state.latest_roster, service);
  if (!IsOwner(state, pool) || IsRelinquished(state, service))
    return std::nullopt;
  // The other balancers treat a run that is not in the roster as ended.
  if (FindMember(state.latest_roster, state.self) == nullptr)
    return std::nullopt;
  if (state.placement_allowed_at.at(pool->service) > now) return std::nullopt;
  const auto acknowledged = AcknowledgedLeaseEnd(state, *pool, now);
  const auto renewed = RenewedLeaseEnd(state);
  const auto until = std::max(acknowledged, renewed);
  return until && *until > now ? until : std::nullopt;
}

bool MayTakeOver(const lease_state& state, std::string_view service) {
  const pool_assignment* pool = FindPool(state.latest_roster, service);
  if (pool == nullptr || state.pending || IsOwner(state, pool)) return false;
  if (FindMember(state.latest_roster, state.self) == nullptr) return false;
  if (FindMember(state.latest_roster, pool->owner) == nullptr) return true;
  const auto reported = state.reported_epoch.find(pool->owner);
  const bool lease_depends_on_successors =
      reported != state.reported_epoch.end() &&
      reported->second >= pool->successors_epoch;
  return lease_depends_on_successors &&
         std::ranges::find(pool->successors, state.self) !=
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

lease_action NextAction(const lease_state& state, const lease_inputs& inputs,
                        time_point now) {
  using action_type = lease_action::action_type;
  if (state.pending) {
    return {state.pending->outcome_unknown ? action_type::kResolveUpdate
                                           : action_type::kNone,
            {}};
  }
  lease_action takeover_action{action_type::kTakeOver, {}};
  lease_action renewal_action{action_type::kRenew, {}};
  for (const pool_assignment& pool : state.latest_roster.pools) {
    const bool unresponsive = inputs.unresponsive.contains(pool.owner);
    if (unresponsive && MayTakeOver(state, pool.service)) {
      takeover_action.services.insert(pool.service);
    }
    const bool is_non_idempotent =
        inputs.non_idempotent_services.contains(pool.service);
    if (is_non_idempotent && NeedsRenewal(state, pool, now)) {
      renewal_action.services.insert(pool.service);
    }
  }
  if (!takeover_action.services.empty()) return takeover_action;
  return renewal_action.services.empty() ? lease_action{} : renewal_action;
}

}  // namespace radishyard
