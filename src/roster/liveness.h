// The failure detector: decides from heartbeats which runs of the peers are
// alive.
//
// A missed heartbeat is counted at most once per call of CountMissedIntervals,
// however much time has passed since the last call. Otherwise a process that
// was paused would declare all its peers dead when it resumes.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/time.h"
#include "roster/roster.h"

namespace radishyard {

/// \brief When a peer without heartbeats becomes suspect and dead.
/// Invariant: 0 < suspect_after_intervals < dead_after_intervals.
struct liveness_times {
  duration interval = 250ms;  ///< Between heartbeats, and between the calls
                              ///< of CountMissedIntervals that count.
  uint32_t suspect_after_intervals = 2;  ///< Intervals without a heartbeat.
  uint32_t dead_after_intervals = 5;     ///< Intervals without a heartbeat.
  uint32_t recovered_after_intervals =
      2;  ///< Consecutive intervals with a heartbeat, after which a dead peer
          ///< is alive again.
  auto operator<=>(const liveness_times&) const = default;
};

/// \brief Liveness of one run of a peer.
enum class peer_liveness : uint8_t {
  kUnknown,  ///< There is no record of this run.
  kAlive,
  kSuspect,  ///< Some heartbeats are missing; still treated as alive.
  kDead,
};

/// \brief Record of the latest run of one peer.
struct peer_record {
  uint64_t incarnation = 0;
  uint32_t missed_intervals = 0;        ///< Since the last heartbeat.
  uint32_t consecutive_heartbeats = 0;  ///< Consecutive intervals with a
                                        ///< heartbeat, up to the last one.
  bool heartbeat_in_interval = false;   ///< Received in the current interval.
  bool dead = false;
  auto operator<=>(const peer_record&) const = default;
};

/// \brief State of the failure detector of one balancer.
struct liveness_state {
  liveness_times times;
  member_id self;
  time_point last_interval_at;
  std::map<std::string, peer_record> peers;  ///< By name.
  auto operator<=>(const liveness_state&) const = default;
};

/// \brief Starts to monitor a peer that the roster lists, as if a heartbeat had
/// just been received. A higher incarnation replaces the record of the earlier
/// run; a lower one changes nothing.
liveness_state StartMonitoring(liveness_state state, const member_id& peer);

/// \brief Starts to monitor a peer anew, as if a heartbeat had just been
/// received. For a live peer that sent no heartbeats here so far, but does from
/// now on.
liveness_state RestartMonitoring(liveness_state state, const member_id& peer);

/// \brief Records that a heartbeat of the peer, or a reply to one, was
/// received.
liveness_state RecordHeartbeat(liveness_state state, const member_id& peer);

/// \brief Ends the current interval if it has lasted for
/// liveness_times::interval; to be called at least once in an interval. Counts
/// one missed interval for each peer without a heartbeat since the last one,
/// however long ago that was.
liveness_state CountMissedIntervals(liveness_state state, time_point now);

/// \brief The liveness of exactly this run. An earlier run of a peer is dead
/// once a later run is recorded.
peer_liveness LivenessOf(const liveness_state& state, const member_id& peer);

/// \brief `self` and all peers that are alive or suspect, for assignment_inputs
/// and ForwardingOrder.
std::set<member_id> AliveMembers(const liveness_state& state);

}  // namespace radishyard
