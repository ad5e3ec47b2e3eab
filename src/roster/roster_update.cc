// Computes the next roster. All choices are by rendezvous or in the order of
// names, so that members with the same view propose the same.
#include "roster/roster_update.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <map>
#include <utility>

#include "roster/rendezvous.h"

namespace radishyard {
namespace {

constexpr size_t kSuccessors = 2;
// Pools that one owner gives away in one change to even out the members.
constexpr size_t kMostMovesPerChange = 4;

// By which of the rules `self` may change an assignment.
enum class right : uint8_t { kNone, kOwner, kSuccessor, kAnyone };

// The roster under change, with what the steps share.
struct plan {
  const assignment_inputs& view;
  roster next;
  std::vector<member> candidates;    // May own and succeed.
  std::map<member_id, size_t> load;  // Pools owned.
};

bool IsLive(const assignment_inputs& view, const member_id& id) {
  return id == view.self || view.alive.contains(id);
}

std::vector<member> Candidates(const roster& r, const assignment_inputs& view) {
  std::vector<member> own;
  for (const member& m : r.members) {
    const bool home = m.domain == r.domain;
    if (home && !m.leaving && IsLive(view, m.id)) own.push_back(m);
  }
  if (!own.empty()) return own;
  std::vector<member> foreign;
  std::ranges::copy_if(view.others, std::back_inserter(foreign),
                       [](const member& m) { return !m.leaving; });
  return foreign;
}

bool IsCandidate(const plan& p, const member_id& id) {
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

right RightOf(const plan& p, const pool_assignment& pool) {
  if (pool.owner == p.view.self) return right::kOwner;
  if (FindMember(p.next, pool.owner) == nullptr) return right::kAnyone;
  if (IsLive(p.view, pool.owner)) return right::kNone;
  const bool successor = Contains(pool.successors, p.view.self) &&
                         p.view.may_take_over.contains(pool.service);
  return successor ? right::kSuccessor : right::kNone;
}

uint64_t LoadOf(const plan& p, const member_id& id) {
  const auto found = p.load.find(id);
  return found == p.load.end() ? 0 : found->second;
}

// The candidate with the fewest pools for its size, ties by rendezvous.
const member* LeastLoaded(const plan& p, std::string_view service) {
  const member* best = nullptr;
  uint64_t best_load = 0;
  for (const size_t i : RankMembers(service, p.candidates)) {
    const member& m = p.candidates[i];
    const uint64_t load = LoadOf(p, m.id);
    // load / size < best_load / best size, without a division.
    if (best == nullptr || load * best->size < best_load * m.size) {
      best = &m;
      best_load = load;
    }
  }
  return best;
}

// Keeps the live successors, so that they stay eligible, and fills up.
std::vector<member_id> ChooseSuccessors(const plan& p,
                                        const pool_assignment& pool) {
  std::vector<member_id> chosen;
  const auto add = [&](const member_id& id) {
    const bool room = chosen.size() < kSuccessors;
    if (room && id != pool.owner && !Contains(chosen, id)) chosen.push_back(id);
  };
  for (const member_id& id : pool.successors) {
    if (IsCandidate(p, id)) add(id);
  }
  for (const size_t i : RankMembers(pool.service, p.candidates)) {
    add(p.candidates[i].id);
  }
  if (!chosen.empty() || p.view.others.empty()) return chosen;
  // The owner is the domain's last member: one of another domain stands by.
  for (const member_id& id : pool.successors) {
    const bool live = std::ranges::find(p.view.others, id, &member::id) !=
                      p.view.others.end();
    if (live && id != pool.owner) return {id};
  }
  for (const size_t i : RankMembers(pool.service, p.view.others)) {
    if (p.view.others[i].id != pool.owner) return {p.view.others[i].id};
  }
  return chosen;
}

void RenewSuccessors(plan& p, pool_assignment& pool) {
  std::vector<member_id> chosen = ChooseSuccessors(p, pool);
  if (chosen == pool.successors) return;
  pool.successors = std::move(chosen);
  pool.successors_epoch = p.next.epoch;
}

void Move(plan& p, pool_assignment& pool, const member_id& to, bool released) {
  assert(to != pool.owner && "a move names another owner");
  --p.load[pool.owner];
  ++p.load[to];
  pool.previous = pool.owner;
  pool.owner = to;
  pool.since_epoch = p.next.epoch;
  pool.successors_epoch = p.next.epoch;
  pool.released = released;
  pool.successors = ChooseSuccessors(p, pool);
}

void MoveToLeastLoaded(plan& p, pool_assignment& pool, bool released) {
  const member* to = LeastLoaded(p, pool.service);
  if (to != nullptr && to->id != pool.owner) Move(p, pool, to->id, released);
}

void UpdateAsOwner(plan& p, pool_assignment& pool) {
  if (IsCandidate(p, pool.owner)) {
    RenewSuccessors(p, pool);
  } else {
    MoveToLeastLoaded(p, pool, p.view.may_release.contains(pool.service));
  }
}

bool IsLeaving(const plan& p) {
  const member* self = FindMember(p.next, p.view.self);
  return self != nullptr && self->leaving;
}

void UpdatePool(plan& p, pool_assignment& pool) {
  switch (RightOf(p, pool)) {
    case right::kOwner:
      return UpdateAsOwner(p, pool);
    case right::kSuccessor:
      if (!IsLeaving(p)) Move(p, pool, p.view.self, /*released=*/false);
      return;
    case right::kAnyone:
      return MoveToLeastLoaded(p, pool, /*released=*/false);
    case right::kNone:
      return;
  }
}

void DropPools(plan& p) {
  std::erase_if(p.next.pools, [&](const pool_assignment& pool) {
    if (p.view.services.contains(pool.service)) return false;
    const right mine = RightOf(p, pool);
    return mine == right::kOwner || mine == right::kAnyone;
  });
}

void AddPools(plan& p) {
  for (const std::string& name : p.view.services) {
    if (FindPool(p.next, name) != nullptr) continue;
    const member* owner = LeastLoaded(p, name);
    if (owner == nullptr) return;
    ++p.load[owner->id];
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

// True where `to` has fewer pools for its size even after one more.
bool IsUneven(const plan& p, const member& from, const member& to) {
  return (LoadOf(p, to.id) + 1) * from.size < LoadOf(p, from.id) * to.size;
}

// Pools that a member may keep whatever the others have: its share by size,
// rounded down, so that several owners do not all give to one that has joined.
uint64_t FairShare(const plan& p, const member& m) {
  uint64_t sizes = 0;
  for (const member& other : p.candidates) sizes += other.size;
  return p.next.pools.size() * m.size / sizes;
}

// Gives pools of `self` away while another member has far fewer.
void Rebalance(plan& p) {
  const member* self = FindMember(p.next, p.view.self);
  if (self == nullptr || !IsCandidate(p, self->id)) return;
  const uint64_t share = FairShare(p, *self);
  size_t moves = 0;
  for (pool_assignment& pool : p.next.pools) {
    if (moves == kMostMovesPerChange || LoadOf(p, self->id) <= share) return;
    // A pool that has just come is not passed on.
    const bool settled = p.view.may_release.contains(pool.service);
    if (pool.owner != self->id || !settled) continue;
    const member* to = LeastLoaded(p, pool.service);
    if (to == nullptr || to->id == self->id || !IsUneven(p, *self, *to)) {
      continue;
    }
    Move(p, pool, to->id, /*released=*/true);
    ++moves;
  }
}

bool HasRole(const roster& r, const member_id& id) {
  return std::ranges::any_of(r.pools, [&](const pool_assignment& pool) {
    return pool.owner == id || Contains(pool.successors, id);
  });
}

// Members of other domains are listed while they have a role here.
void ListForeignMembers(plan& p) {
  std::erase_if(p.next.members, [&](const member& m) {
    return m.domain != p.next.domain && !HasRole(p.next, m.id);
  });
  for (const member& m : p.view.others) {
    if (HasRole(p.next, m.id)) p.next = AddMember(p.next, m);
  }
}

plan StartPlan(const roster& r, const assignment_inputs& view) {
  plan p{view, r, Candidates(r, view), {}};
  ++p.next.epoch;
  for (const pool_assignment& pool : r.pools) ++p.load[pool.owner];
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
  const bool older = joining.id.incarnation < found->id.incarnation;
  if (older || *found == joining) return r;
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
                                    const assignment_inputs& view) {
  plan p = StartPlan(r, view);
  const bool listed = FindMember(r, view.self) != nullptr;
  if (!listed && !IsCandidate(p, view.self)) return std::nullopt;
  DropPools(p);
  for (pool_assignment& pool : p.next.pools) UpdatePool(p, pool);
  AddPools(p);
  Rebalance(p);
  ListForeignMembers(p);
  p.next.epoch = r.epoch;
  if (p.next == r) return std::nullopt;
  return WithNextEpoch(std::move(p.next));
}

size_t ProposalRank(const roster& r, const assignment_inputs& view) {
  return std::ranges::count_if(r.members, [&](const member& m) {
    return m.id < view.self && IsLive(view, m.id);
  });
}

size_t SuccessorRank(const pool_assignment& pool,
                     const assignment_inputs& view) {
  size_t rank = 0;
  for (const member_id& id : pool.successors) {
    if (id == view.self) break;
    if (IsLive(view, id)) ++rank;
  }
  return rank;
}

}  // namespace radishyard
