// Counts misses and recoveries of the peers.
#include "roster/liveness.h"

#include <utility>

namespace radishyard {
namespace {

void CountTick(const liveness_times& times, peer_record& peer) {
  if (peer.heard_in_tick) {
    peer.misses = 0;
    ++peer.heard;
  } else {
    ++peer.misses;
    peer.heard = 0;
  }
  peer.heard_in_tick = false;
  if (peer.misses >= times.dead_misses) peer.dead = true;
  if (peer.heard >= times.recovery) peer.dead = false;
}

// The record of the run; null where a later run is known already.
peer_record* RecordOf(liveness_state& state, const member_id& id) {
  if (id.name == state.self.name) return nullptr;
  const auto [entry, added] = state.peers.try_emplace(id.name);
  peer_record& peer = entry->second;
  if (!added && id.incarnation < peer.incarnation) return nullptr;
  if (added || id.incarnation > peer.incarnation) {
    peer = {};
    peer.incarnation = id.incarnation;
    peer.heard_in_tick = true;
  }
  return &peer;
}

}  // namespace

liveness_state OnPeerListed(liveness_state state, const member_id& peer) {
  RecordOf(state, peer);
  return state;
}

liveness_state OnPeerHeard(liveness_state state, const member_id& peer) {
  peer_record* record = RecordOf(state, peer);
  if (record != nullptr) record->heard_in_tick = true;
  return state;
}

liveness_state OnTick(liveness_state state, time_point now) {
  if (now - state.ticked_at < state.times.interval) return state;
  state.ticked_at = now;
  for (auto& [name, peer] : state.peers) CountTick(state.times, peer);
  return state;
}

health HealthOf(const liveness_state& state, const member_id& peer) {
  if (peer == state.self) return health::kAlive;
  const auto found = state.peers.find(peer.name);
  if (found == state.peers.end()) return health::kUnknown;
  const peer_record& record = found->second;
  if (peer.incarnation > record.incarnation) return health::kUnknown;
  if (peer.incarnation < record.incarnation || record.dead) {
    return health::kDead;
  }
  const bool suspect = record.misses >= state.times.suspect_misses;
  return suspect ? health::kSuspect : health::kAlive;
}

std::set<member_id> AliveMembers(const liveness_state& state) {
  std::set<member_id> alive = {state.self};
  for (const auto& [name, peer] : state.peers) {
    if (!peer.dead) alive.insert({name, peer.incarnation});
  }
  return alive;
}

}  // namespace radishyard
