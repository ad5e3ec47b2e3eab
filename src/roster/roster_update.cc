// Computes the next roster of a domain. All choices are made by rendezvous
// hashing or in the order of names, so that members with the same inputs
// propose the same roster.
#include "roster/roster_update.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <map>
#include <utility>

#include "roster/rendezvous.h"

namespace radishyard {
namespace {

constexpr size_t kSuccessorsPerPool = 2;
// Pools that one owner may move in one roster update to balance the members.
constexpr size_t kMaxMovesPerUpdate = 4;

// The rule by which `self` may change the assignment of a pool. See assign.h.
enum class permission : uint8_t { kNone, kOwner, kSuccessor, kAnyone };

// The next roster while it is computed, with the data that the steps share.
struct assignment_plan {
  const assignment_inputs& inputs;
  roster next;
  std::vector<member> candidates;  // Members that may own or succeed pools.
  std::map<member_id, size_t> pool_count;  // Owned pools, by member.
};

bool IsAlive(const assignment_inputs& inputs, const member_id& id) {
  return id == inputs.self || inputs.alive.contains(id);
}

std::vector<member> ChooseCandidates(const roster& r,
                                     const assignment_inputs& inputs) {
  std::vector<member> local;
  for (const member& m : r.members) {
    const bool in_own_domain = m.domain == r.domain;
    if (in_own_domain && !m.leaving && IsAlive(inputs, m.id))
      local.push_back(m);
  }
  if (!local.empty()) return local;
  std::vector<member> foreign;
  std::ranges::copy_if(inputs.foreign_members, std::back_inserter(foreign),
                       [](const member& m) { return !m.leaving; });
  return foreign;
}

bool IsCandidate(const assignment_plan& p, const member_id& id) {
  return std::ranges::find(p.candidates, id, &member::id) != p.candidates.end();
}

bool Contains(const std::vector<member_id>& ids, const member_id& id) {
  return std::ranges::find(ids, id) != ids.end();
}

std::vector<size_t> RankMembers(std::string_view service,
                                const std::vector<member>& members) {
  std::vector<rendezvous_candidate> candidates;
  candidates.reserve(members.size());
  for (const member& m : members) {
    candidates.push_back({NameHash(m.id.name), static_cast<double>(m.size)});
  }
  return RankByRendezvous(NameHash(service), candidates);
}

permission PermissionFor(const assignment_plan& p,
                         const pool_assignment& pool) {
  if (pool.owner == p.inputs.self) return permission::kOwner;
  if (FindMember(p.next, pool.owner) == nullptr) return permission::kAnyone;
  if (IsAlive(p.inputs, pool.owner)) return permission::kNone;
  const bool may_replace_owner = Contains(pool.successors, p.inputs.self) &&
                                 p.inputs.may_take_over.contains(pool.service);
  return may_replace_owner ? permission::kSuccessor : permission::kNone;
}

uint64_t PoolCount(const assignment_plan& p, const member_id& id) {
  const auto found = p.pool_count.find(id);
  return found == p.pool_count.end() ? 0 : found->second;
}

// The candidate with the fewest pools relative to its size. Among equal ones,
// the best by rendezvous hashing.
const member* LeastLoaded(const assignment_plan& p, std::string_view service) {
  const member* best = nullptr;
  uint64_t best_count = 0;
  for (const size_t i : RankMembers(service, p.candidates)) {
    const member& m = p.candidates[i];
    const uint64_t pool_count = PoolCount(p, m.id);
    // pool_count / size < best_count / best size, without a division.
    if (best == nullptr || pool_count * best->size < best_count * m.size) {
      best = &m;
      best_count = pool_count;
    }
  }
  return best;
}

// Keeps the successors that are still candidates, so that they stay eligible
// for a takeover, and adds others up to kSuccessorsPerPool.
std::vector<member_id> ChooseSuccessors(const assignment_plan& p,
                                        const pool_assignment& pool) {
  std::vector<member_id> chosen;
  const auto add = [&](const member_id& id) {
    const bool has_room = chosen.size() < kSuccessorsPerPool;
    if (has_room && id != pool.owner && !Contains(chosen, id))
      chosen.push_back(id);
  };
  for (const member_id& id : pool.successors) {
    if (IsCandidate(p, id)) add(id);
  }
  for (const size_t i : RankMembers(pool.service, p.candidates)) {
    add(p.candidates[i].id);
  }
  if (!chosen.empty() || p.inputs.foreign_members.empty()) return chosen;
  // The owner is the last candidate of the domain, so a member of another
  // domain becomes the successor.
  for (const member_id& id : pool.successors) {
    const bool is_alive =
        std::ranges::find(p.inputs.foreign_members, id, &member::id) !=
        p.inputs.foreign_members.end();
    if (is_alive && id != pool.owner) return {id};
  }
  for (const size_t i : RankMembers(pool.service, p.inputs.foreign_members)) {
    if (p.inputs.foreign_members[i].id != pool.owner)
      return {p.inputs.foreign_members[i].id};
  }
  return chosen;
}

void UpdateSuccessors(assignment_plan& p, pool_assignment& pool) {
  std::vector<member_id> chosen = ChooseSuccessors(p, pool);
  if (chosen == pool.successors) return;
  pool.successors = std::move(chosen);
  pool.successors_epoch = p.next.epoch;
}

void MovePool(assignment_plan& p, pool_assignment& pool,
              const member_id& new_owner, bool released) {
  assert(new_owner != pool.owner &&
         "the new owner must differ from the current one");
  --p.pool_count[pool.owner];
  ++p.pool_count[new_owner];
  pool.previous_owner = pool.owner;
  pool.owner = new_owner;
  pool.since_epoch = p.next.epoch;
  pool.successors_epoch = p.next.epoch;
  pool.released = released;
  pool.successors = ChooseSuccessors(p, pool);
}

void MoveToLeastLoaded(assignment_plan& p, pool_assignment& pool,
                       bool released) {
  const member* new_owner = LeastLoaded(p, pool.service);
  if (new_owner != nullptr && new_owner->id != pool.owner)
    MovePool(p, pool, new_owner->id, released);
}

void UpdateAsOwner(assignment_plan& p, pool_assignment& pool) {
  if (IsCandidate(p, pool.owner)) {
    UpdateSuccessors(p, pool);
  } else {
    MoveToLeastLoaded(p, pool, p.inputs.may_release.contains(pool.service));
  }
}

bool IsLeaving(const assignment_plan& p) {
  const member* self = FindMember(p.next, p.inputs.self);
  return self != nullptr && self->leaving;
}

void UpdatePool(assignment_plan& p, pool_assignment& pool) {
  switch (PermissionFor(p, pool)) {
    case permission::kOwner:
      return UpdateAsOwner(p, pool);
    case permission::kSuccessor:
      if (!IsLeaving(p)) MovePool(p, pool, p.inputs.self, /*released=*/false);
      return;
    case permission::kAnyone:
      return MoveToLeastLoaded(p, pool, /*released=*/false);
    case permission::kNone:
      return;
  }
}

void RemoveUnusedPools(assignment_plan& p) {
  std::erase_if(p.next.pools, [&](const pool_assignment& pool) {
    if (p.inputs.services.contains(pool.service)) return false;
    const permission own_permission = PermissionFor(p, pool);
    return own_permission == permission::kOwner ||
           own_permission == permission::kAnyone;
  });
}

void AddMissingPools(assignment_plan& p) {
  for (const std::string& name : p.inputs.services) {
    if (FindPool(p.next, name) != nullptr) continue;
    const member* owner = LeastLoaded(p, name);
    if (owner == nullptr) return;
    ++p.pool_count[owner->id];
    pool_assignment pool;
    pool.service = name;
    pool.owner = owner->id;
    pool.since_epoch = p.next.epoch;
    pool.successors_epoch = p.next.epoch;
    pool.successors = ChooseSuccessors(p, pool);
    p.next.pools.push_back(std::move(pool));
  }
  std::ranges::sort(p.next.pools, {}, &pool_assignment::service);
}

// True if `new_owner` has fewer pools relative to its size than the current
// owner, even with one more.
bool WouldImproveBalance(const assignment_plan& p, const member& current_owner,
                         const member& new_owner) {
  return (PoolCount(p, new_owner.id) + 1) * current_owner.size <
         PoolCount(p, current_owner.id) * new_owner.size;
}

// The number of pools that a member keeps even if others have fewer: its share
// by size, rounded down. Without this limit, several owners at once could move
// too many pools to a member that has just joined.
uint64_t FairShare(const assignment_plan& p, const member& m) {
  uint64_t sizes = 0;
  for (const member& other : p.candidates) sizes += other.size;
  return p.next.pools.size() * m.size / sizes;
}

// Moves pools of `self` to members that would still have fewer pools for their
// size.
void Rebalance(assignment_plan& p) {
  const member* self = FindMember(p.next, p.inputs.self);
  if (self == nullptr || !IsCandidate(p, self->id)) return;
  const uint64_t share = FairShare(p, *self);
  size_t moves = 0;
  for (pool_assignment& pool : p.next.pools) {
    if (moves == kMaxMovesPerUpdate || PoolCount(p, self->id) <= share) return;
    // A pool whose wait as a new owner has not ended stays here.
    const bool may_move = p.inputs.may_release.contains(pool.service);
    if (pool.owner != self->id || !may_move) continue;
    const member* new_owner = LeastLoaded(p, pool.service);
    if (new_owner == nullptr || new_owner->id == self->id ||
        !WouldImproveBalance(p, *self, *new_owner)) {
      continue;
    }
    MovePool(p, pool, new_owner->id, /*released=*/true);
    ++moves;
  }
}

bool IsOwnerOrSuccessor(const roster& r, const member_id& id) {
  return std::ranges::any_of(r.pools, [&](const pool_assignment& pool) {
    return pool.owner == id || Contains(pool.successors, id);
  });
}

// Lists the members of other domains that own or succeed a pool of this domain,
// and removes the other foreign members.
void ListForeignMembers(assignment_plan& p) {
  std::erase_if(p.next.members, [&](const member& m) {
    return m.domain != p.next.domain && !IsOwnerOrSuccessor(p.next, m.id);
  });
  for (const member& m : p.inputs.foreign_members) {
    if (IsOwnerOrSuccessor(p.next, m.id)) p.next = AddMember(p.next, m);
  }
}

assignment_plan MakePlan(const roster& r, const assignment_inputs& inputs) {
  assignment_plan p{inputs, r, ChooseCandidates(r, inputs), {}};
  ++p.next.epoch;
  for (const pool_assignment& pool : r.pools) ++p.pool_count[pool.owner];
  return p;
}

roster WithNextEpoch(roster r) {
  ++r.epoch;
  return r;
}

}  // namespace

const pool_assignment* FindPool(const roster& r, std::string_view service) {
  const auto found =
      std::ranges::find(r.pools, service, &pool_assignment::service);
  return found == r.pools.end() ? nullptr : &*found;
}

const member* FindMember(const roster& r, const member_id& id) {
  const auto found = std::ranges::find(r.members, id, &member::id);
  return found == r.members.end() ? nullptr : &*found;
}

roster AddMember(const roster& r, const member& joining) {
  roster next = r;
  const auto found = std::ranges::find(
      next.members, joining.id.name, [](const member& m) { return m.id.name; });
  if (found == next.members.end()) {
    next.members.push_back(joining);
    std::ranges::sort(next.members, {}, &member::id);
    return WithNextEpoch(std::move(next));
  }
  const bool is_older = joining.id.incarnation < found->id.incarnation;
  if (is_older || *found == joining) return r;
  *found = joining;
  return WithNextEpoch(std::move(next));
}

roster MarkLeaving(const roster& r, const member_id& id) {
  roster next = r;
  const auto found = std::ranges::find(next.members, id, &member::id);
  if (found == next.members.end() || found->leaving) return r;
  found->leaving = true;
  return WithNextEpoch(std::move(next));
}

roster RemoveMember(const roster& r, const member_id& id) {
  roster next = r;
  const size_t removed =
      std::erase_if(next.members, [&](const member& m) { return m.id == id; });
  return removed == 0 ? r : WithNextEpoch(std::move(next));
}

std::optional<roster> ReassignPools(const roster& r,
                                    const assignment_inputs& inputs) {
  assignment_plan p = MakePlan(r, inputs);
  const bool is_listed = FindMember(r, inputs.self) != nullptr;
  if (!is_listed && !IsCandidate(p, inputs.self)) return std::nullopt;
  RemoveUnusedPools(p);
  for (pool_assignment& pool : p.next.pools) UpdatePool(p, pool);
  AddMissingPools(p);
  Rebalance(p);
  ListForeignMembers(p);
  p.next.epoch = r.epoch;
  if (p.next == r) return std::nullopt;
  return WithNextEpoch(std::move(p.next));
}

size_t ProposalRank(const roster& r, const assignment_inputs& inputs) {
  return std::ranges::count_if(r.members, [&](const member& m) {
    return m.id < inputs.self && IsAlive(inputs, m.id);
  });
}

size_t SuccessorRank(const pool_assignment& pool,
                     const assignment_inputs& inputs) {
  size_t rank = 0;
  for (const member_id& id : pool.successors) {
    if (id == inputs.self) break;
    if (IsAlive(inputs, id)) ++rank;
  }
  return rank;
}

}  // namespace radishyard
