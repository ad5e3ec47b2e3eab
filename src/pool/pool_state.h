// State of one pool at its owner, and the functions that make decisions on it.
// They take no lock and read no clock: one traffic thread owns the state and
// passes in the present time.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "pool/caller_share.h"
#include "pool/dequeue_interval.h"
#include "pool/opening_queue.h"
#include "pool/pool.h"
#include "pool/pool_policy.h"
#include "pool/pool_upstream.h"
#include "pool/retry_budget.h"
#include "table/service.h"

namespace radishyard {

/// \brief One pool: the upstreams of a service in one failure domain.
///
/// Invariants: `upstreams` is sorted by address. An opening waits in `queue`
/// only while no upstream has room for it.
struct pool_state {
  pool_policy policy;
  std::string service;
  std::string domain;
  std::vector<pool_upstream> upstreams;
  opening_queue queue;
  retry_budget retries;
  hold_time_model hold_times;
  caller_table callers;
  dequeue_interval dequeues;
  uint64_t completed_requests = 0;
  uint32_t total_slots = 0;        ///< Of all upstreams that are not leaving.
  uint32_t total_connections = 0;  ///< Connection limits of these upstreams.
  uint32_t bulk_slots = 0;         ///< Bulk requests in progress.
  time_point last_non_bulk_request{};  ///< When it arrived.
  time_point last_ramp_end{};          ///< When the last ramp ends.
  /// When inherited connection counts are removed; the clock's origin if there
  /// are none.
  time_point inherited_connections_expiry{};
  /// When inherited slot counts are removed; the clock's origin if there are
  /// none.
  time_point inherited_slots_expiry{};
};

/// \brief Applies the rows of `domain` in `table` to the pool.
///
/// Counts of upstreams that remain are kept. An upstream that is leaving or
/// missing in the table keeps its flows and gets no new ones. An upstream that
/// is marked joining starts its ramp.
void Configure(pool_state& pool, const service& table, std::string_view domain,
               time_point now);

/// \brief Places, queues or refuses an opening. A placed one is counted at its
/// upstream.
///
/// \code
/// open_decision d = Open(pool, request, now);
/// if (d.what == open_decision::kind::kPlaced) Forward(packet, d.upstream);
/// \endcode
/// \sa Poll for openings that were queued.
open_decision Open(pool_state& pool, const open_request& request,
                   time_point now);

/// \brief Places queued openings as far as there is room and refuses those
/// that have waited too long.
/// \returns The decisions made. Openings without one stay in the queue.
std::vector<open_decision> Poll(pool_state& pool, time_point now);

/// \brief Latest time for the next call of `Poll` if no event calls for it
/// before: the earliest deadline in the queue.
/// \returns Nothing if the queue is empty.
std::optional<time_point> NextPollTime(const pool_state& pool);

/// \brief Places an opening on another upstream after the first one did not
/// respond or refused it.
///
/// On success the reservation moves from `failed_upstream` to the returned
/// upstream. Otherwise nothing changes, and the caller ends the flow with
/// `ReleaseFlow`.
/// \returns The address of the new upstream; nothing if the retry budget is
/// spent or no other upstream has room.
/// \warning Only for openings whose payload cannot have reached an upstream.
std::optional<uint32_t> RetryOnOtherUpstream(pool_state& pool,
                                             const open_request& request,
                                             uint32_t failed_upstream,
                                             time_point now);

/// \brief Records that the upstream responded to an opening, with a SYN-ACK or
/// with the first datagram.
void RecordResponse(pool_state& pool, uint32_t upstream, duration latency,
                    time_point now);

/// \brief Records that an opening timed out without a response.
void RecordTimeout(pool_state& pool, uint32_t upstream, time_point now);

/// \brief Records that the upstream refused an opening, with RST to a SYN or
/// ICMP unreachable.
void RecordReset(pool_state& pool, uint32_t upstream, time_point now);

/// \brief Records the end of a flow and releases its reservation.
/// \param held Time from the placement (for a UDP request from its first
/// payload) to the end of the response.
///
/// \code
/// const flow_reservation flow = ReservationFor(request, upstream);
/// ReleaseFlow(pool, flow, flow_end::kCompleted, 12ms, now);
/// for (const open_decision& d : Poll(pool, now)) Settle(d);
/// \endcode
void ReleaseFlow(pool_state& pool, const flow_reservation& reservation,
                 flow_end end, duration held, time_point now);

/// \brief Counts a flow that another owner placed. This owner received its
/// record in a handover or detected it from its traffic.
///
/// It may exceed the limits of the upstream. No new flow is placed there until
/// the counts are below the limits again.
void AddExistingFlow(pool_state& pool, const flow_reservation& reservation,
                     time_point now);

/// \brief Sets the inherited counts of an upstream from the last counts that
/// the previous owner reported.
///
/// They stand for flows that exist but have no record here. `AddExistingFlow`
/// moves a flow from the inherited to the known ones; the rest expires.
void SetInheritedCounts(pool_state& pool, uint32_t upstream,
                        uint32_t connections, uint32_t slots, time_point now);

/// \brief Present load of the pool.
pool_load ComputeLoad(const pool_state& pool, time_point now);

/// \brief Whether an opening that may go to `upstream` only must wait: the
/// upstream is healthy but full, or openings wait in the queue.
/// \returns False if the pool does not have the upstream.
bool MustWaitFor(const pool_state& pool, uint32_t upstream, port_kind kind,
                 time_point now);

/// \brief Whether an opening of `kind` would be placed at once on an upstream
/// that is not so slow that a pool elsewhere with room is better.
bool HasRoom(const pool_state& pool, port_kind kind, priority_class priority,
             time_point now);

/// \brief Removes the first urgent or normal opening from the queue, so that
/// another pool of the same service with room can place it.
/// \returns Nothing if none waits.
/// \sa FirstWaiting
std::optional<open_decision> PopFirstWaiting(pool_state& pool, time_point now);

/// \brief Removes all openings from the queue without a decision on them.
void ClearQueue(pool_state& pool);

/// \brief The opening that `PopFirstWaiting` would remove, or nullptr.
/// \warning Read it before popping. An opening that is opened again starts a
/// new wait unless its `prior_wait` holds the time that it has waited.
const waiting_opening* FirstWaiting(const pool_state& pool);

/// \brief Weight of the pool of `domain` among the pools of a service: the sum
/// over its rows that are not leaving. It depends on the table only.
uint64_t PoolWeight(const service& table, std::string_view domain);

}  // namespace radishyard
