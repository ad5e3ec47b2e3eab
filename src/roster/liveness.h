// Failure detector: which runs of the peers are alive, from heartbeats.
//
// Misses are counted by own ticks, at most one each, so that a process that was
// paused does not take all its peers for dead when it wakes.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/time.h"
#include "roster/roster.h"

namespace radishyard {

/// \brief When a silent peer becomes suspect and dead.
/// Invariant: 0 < suspect_misses < dead_misses.
struct liveness_times {
  duration interval = 250ms;    ///< Between heartbeats, and between ticks.
  uint32_t suspect_misses = 2;  ///< Intervals without a heartbeat.
  uint32_t dead_misses = 5;
  uint32_t recovery = 2;  ///< Intervals with a heartbeat, one after the other,
                          ///< until a dead peer is alive again.
  auto operator<=>(const liveness_times&) const = default;
};

/// \brief What is believed of a peer.
enum class health : uint8_t {
  kUnknown,  ///< Never heard of.
  kAlive,
  kSuspect,  ///< Missed some heartbeats; still counted as alive.
  kDead,
};

/// \brief What is known of the latest run of one peer.
struct peer_record {
  uint64_t incarnation = 0;
  uint32_t misses = 0;         ///< Intervals since the last heartbeat.
  uint32_t heard = 0;          ///< Intervals in a row with one, since dead.
  bool heard_in_tick = false;  ///< In the interval that is running.
  bool dead = false;
  auto operator<=>(const peer_record&) const = default;
};

/// \brief State of the detector at one balancer.
struct liveness_state {
  liveness_times times;
  member_id self;
  time_point ticked_at;
  std::map<std::string, peer_record> peers;  ///< By name.
  auto operator<=>(const liveness_state&) const = default;
};

/// \brief Starts to watch a peer that the roster lists, as if it had just been
/// heard. A higher incarnation replaces the earlier run, a lower one changes
/// nothing.
liveness_state OnPeerListed(liveness_state state, const member_id& peer);

/// \brief A heartbeat of the peer, or an answer to one, arrived.
liveness_state OnPeerHeard(liveness_state state, const member_id& peer);

/// \brief To be called at least once in an interval; counts one miss for each
/// peer not heard since the last tick, however long that was.
liveness_state OnTick(liveness_state state, time_point now);

/// \brief What is believed of exactly this run. An earlier run of a peer whose
/// later one was heard is dead.
health HealthOf(const liveness_state& state, const member_id& peer);

/// \brief `self` and all peers that are alive or suspect, for assignment_inputs
/// and ForwardingOrder.
std::set<member_id> AliveMembers(const liveness_state& state);

}  // namespace radishyard
