// State of one pool at its owner, and the functions that decide over it. They
// hold no lock and read no clock: one traffic thread owns the state and hands
// in the present time.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "pool/caller_share.h"
#include "pool/opening_queue.h"
#include "pool/pool.h"
#include "pool/pool_policy.h"
#include "pool/pool_upstream.h"
#include "pool/release_rate.h"
#include "pool/retry_budget.h"
#include "table/service.h"

namespace radishyard {

/// \brief One pool: the upstreams of a service in one failure domain.
/// Invariants: `upstreams` is sorted by address; an opening waits in `queue`
/// only while no upstream has room for it.
struct pool_state {
  pool_policy policy;
  std::string service;
  std::string domain;
  std::vector<pool_upstream> upstreams;
  opening_queue queue;
  retry_budget retries;
  hold_model holds;
  caller_table callers;
  release_rate releases;
  uint64_t learned = 0;            ///< Completed requests.
  uint32_t total_slots = 0;        ///< Of upstreams that are not leaving.
  uint32_t total_connections = 0;  ///< Limits of these.
  uint32_t bulk_slots = 0;         ///< Bulk requests in progress.
  time_point short_work_at{};      ///< Last request that was not bulk.
  time_point ramps_until{};        ///< End of the last ramp.
  time_point inherited_until{};    ///< When unknown connections are forgotten.
  time_point inherited_slots_until{};  ///< When unknown requests are.
};

/// \brief Takes up the rows of `domain`.
///
/// Counts of rows that stay are kept. A leaving or removed row keeps its flows
/// and gets no new ones; a joining row ramps up.
void Configure(pool_state& pool, const service& table, std::string_view domain,
               time_point now);

/// \brief Decides over an opening; its counts are taken where it is placed.
///
/// \code
/// open_decision d = Open(pool, request, now);
/// if (d.what == open_decision::kind::kPlaced) Forward(packet, d.upstream);
/// \endcode
/// \sa Poll for openings that were queued.
open_decision Open(pool_state& pool, const open_request& request,
                   time_point now);

/// \brief Decisions over queued openings that are now placed or refused.
std::vector<open_decision> Poll(pool_state& pool, time_point now);

/// \brief When `Poll` is due next, if no event comes before.
std::optional<time_point> NextPollTime(const pool_state& pool);

/// \brief Second placement of an opening that went unanswered or was shed.
///
/// On success the counts move from `failed_upstream` to the returned one;
/// otherwise nothing changes and the caller ends the flow with `ReleaseFlow`.
/// \returns Nothing where the retry budget is spent or no other upstream has
/// room.
/// \warning Only for openings of which no payload can have arrived.
std::optional<uint32_t> RetryOnOtherUpstream(pool_state& pool,
                                             const open_request& request,
                                             uint32_t failed_upstream,
                                             time_point now);

/// \brief The upstream answered an opening: a SYN-ACK or a first answer.
void RecordResponse(pool_state& pool, uint32_t upstream, duration latency,
                    time_point now);

/// \brief An opening went unanswered.
void RecordTimeout(pool_state& pool, uint32_t upstream, time_point now);

/// \brief The upstream shed an opening (RST to a SYN, ICMP unreachable).
void RecordReset(pool_state& pool, uint32_t upstream, time_point now);

/// \brief A flow ended and frees its counts.
/// \param held Time from the placement (for a UDP request from its first
/// payload) to the end of the answer.
///
/// \code
/// const flow_reservation flow = ReservationFor(request, upstream);
/// ReleaseFlow(pool, flow, flow_end::kCompleted, 12ms, now);
/// for (const open_decision& d : Poll(pool, now)) Settle(d);
/// \endcode
void ReleaseFlow(pool_state& pool, const flow_reservation& flow, flow_end how,
                 duration held, time_point now);

/// \brief Counts a flow learned from a hand-over or from return traffic.
///
/// The limits may be exceeded by it; no new work is placed until the counts are
/// below them.
void AddExistingFlow(pool_state& pool, const flow_reservation& flow,
                     time_point now);

/// \brief Takes the last counts that a previous owner reported.
///
/// These are flows that exist but are not known yet: `AddExistingFlow` turns
/// them into known ones, and the rest ages out.
void SetInheritedCounts(pool_state& pool, uint32_t upstream,
                        uint32_t connections, uint32_t slots, time_point now);

/// \brief Present load of the pool.
pool_load ComputeLoad(const pool_state& pool, time_point now);

/// \brief Whether an opening that only `upstream` may have must wait: it takes
/// new ones but has no room, or others wait already.
bool MustWaitFor(const pool_state& pool, uint32_t upstream, port_kind kind,
                 time_point now);

/// \brief Whether an opening of `kind` would be placed at once, and not at an
/// upstream so slow that another pool with room is better.
bool HasRoom(const pool_state& pool, port_kind kind, priority_class priority,
             time_point now);

/// \brief Takes the opening that is due next out of the queue, so that a pool
/// of the same service with room places it.
/// \sa FirstWaiting
std::optional<open_decision> PopFirstWaiting(pool_state& pool, time_point now);

/// \brief Takes all openings out of the queue, without a decision on them.
void ClearQueue(pool_state& pool);

/// \brief The opening that `PopFirstWaiting` would take; none where none waits.
/// \warning Ask it before popping: an opening that is opened again starts a new
/// wait, unless its `prior_wait` says how long it has waited.
const waiting_opening* FirstWaiting(const pool_state& pool);

/// \brief Share of `domain` among the pools of a service: the weight of its
/// rows that are not leaving. It follows from the table alone.
uint64_t PoolWeight(const service& table, std::string_view domain);

}  // namespace radishyard
