// Counts the intervals with and without a heartbeat of each peer, and derives
// its liveness.
#include "roster/liveness.h"

#include <utility>

namespace radishyard {
namespace {

void CountPeerInterval(const liveness_times& times, peer_record& peer) {
  if (peer.heartbeat_in_interval) {
    peer.missed_intervals = 0;
    ++peer.consecutive_heartbeats;
  } else {
    ++peer.missed_intervals;
    peer.consecutive_heartbeats = 0;
  }
  peer.heartbeat_in_interval = false;
  if (peer.missed_intervals >= times.dead_after_intervals) peer.dead = true;
  if (peer.consecutive_heartbeats >= times.recovered_after_intervals)
    peer.dead = false;
}

// The record of the peer with this run. Adds the record if there is none, and
// replaces that of an earlier run. Null if the record is of a later run.
peer_record* CurrentRecord(liveness_state& state, const member_id& id) {
  if (id.name == state.self.name) return nullptr;
  const auto [entry, added] = state.peers.try_emplace(id.name);
  peer_record& peer = entry->second;
  if (!added && id.incarnation < peer.incarnation) return nullptr;
  if (added || id.incarnation > peer.incarnation) {
    peer = {};
    peer.incarnation = id.incarnation;
    peer.heartbeat_in_interval = true;
  }
  return &peer;
}

}  // namespace

liveness_state StartMonitoring(liveness_state state, const member_id& peer) {
  CurrentRecord(state, peer);
  return state;
}

liveness_state RestartMonitoring(liveness_state state, const member_id& peer) {
  peer_record* record = CurrentRecord(state, peer);
  if (record == nullptr) return state;
  *record = {};
  record->incarnation = peer.incarnation;
  record->heartbeat_in_interval = true;
  return state;
}

liveness_state RecordHeartbeat(liveness_state state, const member_id& peer) {
  peer_record* record = CurrentRecord(state, peer);
  if (record != nullptr) record->heartbeat_in_interval = true;
  return state;
}

liveness_state CountMissedIntervals(liveness_state state, time_point now) {
  if (now - state.last_interval_at < state.times.interval) return state;
  state.last_interval_at = now;
  for (auto& [name, peer] : state.peers) CountPeerInterval(state.times, peer);
  return state;
}

peer_liveness LivenessOf(const liveness_state& state, const member_id& peer) {
  if (peer == state.self) return peer_liveness::kAlive;
  const auto found = state.peers.find(peer.name);
  if (found == state.peers.end()) return peer_liveness::kUnknown;
  const peer_record& record = found->second;
  if (peer.incarnation > record.incarnation) return peer_liveness::kUnknown;
  if (peer.incarnation < record.incarnation || record.dead) {
    return peer_liveness::kDead;
  }
  const bool suspect =
      record.missed_intervals >= state.times.suspect_after_intervals;
  return suspect ? peer_liveness::kSuspect : peer_liveness::kAlive;
}

std::set<member_id> AliveMembers(const liveness_state& state) {
  std::set<member_id> alive = {state.self};
  for (const auto& [name, peer] : state.peers) {
    if (!peer.dead) alive.insert({name, peer.incarnation});
  }
  return alive;
}

}  // namespace radishyard
