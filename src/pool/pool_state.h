// State of one pool at its owner, and the functions that decide on its
// openings. They take no lock and read no clock: only one thread, which also
// forwards the packets of the pool, uses the state, and it passes in the
// present time.
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
/// An opening of priority kBulk is called bulk, one of any other priority
/// non-bulk. The limits on the slots of bulk work apply to bulk requests only.
///
/// Invariants: `upstreams` is sorted by address. After `Poll`, an opening is in
/// `queue` only if it could not be placed.
struct pool_state {
  pool_policy policy;
  std::string service;
  std::string domain;
  /// The domain is evacuated, and the table has upstreams that would accept new
  /// flows otherwise.
  bool evacuated = false;
  std::vector<pool_upstream> upstreams;
  opening_queue queue;
  retry_budget retries;
  hold_time_model hold_times;
  caller_table callers;
  dequeue_interval mean_dequeue_interval;
  uint64_t completed_requests = 0;
  /// Sum of the slots of all upstreams that are not leaving.
  uint32_t slot_limit = 0;
  /// Sum of the connection limits of all upstreams that are not leaving.
  uint32_t connection_limit = 0;
  /// Slots in use by bulk requests.
  uint32_t used_bulk_slots = 0;
  /// Arrival of the newest request that is not bulk.
  time_point newest_non_bulk_request{};
  /// End of the ramp that ends last. During its ramp, an upstream that joined
  /// or recovered receives an increasing share of the new flows.
  time_point latest_ramp_end{};
  /// When the connection counts taken over from the previous owner (see
  /// SetInheritedCounts) are removed; time_point{} if there are none.
  time_point inherited_connections_expiry{};
  /// When the slot counts taken over from the previous owner are removed;
  /// time_point{} if there are none.
  time_point inherited_slots_expiry{};
};

/// \brief Applies the upstreams that `definition` lists for `domain` to the
/// pool.
///
/// Counts of upstreams that remain are kept. An upstream whose state in the
/// table is leaving, or that is no longer listed, keeps its flows and receives
/// no new ones. An upstream that is newly marked joining starts its ramp.
/// \param evacuated the domain is evacuated, so that all upstreams are treated
/// as leaving.
void Configure(pool_state& pool, const service& definition,
               std::string_view domain, time_point now, bool evacuated = false);

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

/// \brief Time at which `Poll` must be called even if no flow ends before: the
/// earliest deadline in the queue.
/// \returns Nothing if the queue is empty.
std::optional<time_point> NextPollTime(const pool_state& pool);

/// \brief Places an opening on another upstream after the first one did not
/// respond or rejected it.
///
/// On success the reservation that was made for `request` moves from
/// `failed_upstream` to the returned upstream. Otherwise nothing changes, and
/// the caller ends the flow with `ReleaseFlow`.
/// \returns The address of the new upstream; nothing if the retry budget is
/// exhausted or no other upstream has room.
/// \warning Only for openings whose payload cannot have reached an upstream.
std::optional<uint32_t> RetryOnOtherUpstream(pool_state& pool,
                                             const open_request& request,
                                             uint32_t failed_upstream,
                                             time_point now);

/// \brief Records that the upstream responded to an opening, with a SYN-ACK or
/// with the first datagram.
/// \param response_time Time from the forwarding of the opening to the
/// response.
void RecordResponse(pool_state& pool, uint32_t upstream, duration response_time,
                    time_point now);

/// \brief Records that an opening timed out without a response.
void RecordTimeout(pool_state& pool, uint32_t upstream, time_point now);

/// \brief Records that the upstream rejected an opening, with an RST in
/// response to a SYN or with ICMP destination unreachable.
void RecordReset(pool_state& pool, uint32_t upstream, time_point now);

/// \brief Records the end of a flow and releases its reservation.
/// \param hold_time Time from the placement (for a UDP request from its first
/// payload) to the end of the response.
///
/// \code
/// const flow_reservation flow = ReservationFor(request, upstream);
/// ReleaseFlow(pool, flow, flow_end::kCompleted, 12ms, now);
/// for (const open_decision& d : Poll(pool, now)) ForwardOrRefuse(d);
/// \endcode
void ReleaseFlow(pool_state& pool, const flow_reservation& reservation,
                 flow_end end, duration hold_time, time_point now);

/// \brief Counts a flow that another owner placed. This owner received the
/// record of the flow in a handover or detected the flow from its packets.
///
/// The counts may then exceed the limits of the upstream. No new flow is placed
/// there until they are below the limits again.
void AddExistingFlow(pool_state& pool, const flow_reservation& reservation,
                     time_point now);

/// \brief Sets the inherited counts of an upstream from the last counts that
/// the previous owner reported.
///
/// The inherited counts stand for flows that have no record at this owner.
/// `AddExistingFlow` moves one flow from the inherited counts to the counts of
/// flows with a record. Inherited counts that remain are removed at the expiry
/// times in pool_state.
void SetInheritedCounts(pool_state& pool, uint32_t upstream,
                        uint32_t connections, uint32_t slots, time_point now);

/// \brief Present load of the pool.
pool_load ComputeLoad(const pool_state& pool, time_point now);

/// \brief Whether an opening that may be placed on no other upstream than
/// `upstream` must wait: the upstream accepts new flows but is full, or other
/// openings are queued.
/// \returns False if the pool does not have the upstream.
bool MustWaitFor(const pool_state& pool, uint32_t upstream, port_kind kind,
                 time_point now);

/// \brief Whether an opening of `kind` and `priority` can be placed at once on
/// an upstream that is fast enough. If only slow upstreams have room, the
/// result is false, so that a request is passed to another pool that has room.
bool HasRoom(const pool_state& pool, port_kind kind, priority_class priority,
             time_point now);

/// \brief Removes the first non-bulk opening from the queue, so that another
/// pool of the same service with room can place it.
/// \returns A decision of kind kQueued with the token of the opening; nothing
/// if no non-bulk opening is queued.
/// \sa FirstNonBulk
std::optional<open_decision> PopFirstNonBulk(pool_state& pool, time_point now);

/// \brief Removes all openings from the queue, as ClearQueue().
/// \returns their tokens, in the order in which they would be placed.
std::vector<uint64_t> TakeQueuedTokens(pool_state& pool);

/// \brief Removes all openings from the queue without a decision on them.
void ClearQueue(pool_state& pool);

/// \brief The opening that `PopFirstNonBulk` would remove, or nullptr.
/// \warning The pointer is invalid after `PopFirstNonBulk`. If the opening is
/// passed to `Open` again, set its `prior_wait` to the time that it has waited;
/// otherwise its wait is counted from zero.
const waiting_opening* FirstNonBulk(const pool_state& pool);

/// \brief Weight of the pool of `domain` among the pools of a service: the sum
/// of the weights of the upstreams that `definition` lists for `domain` and
/// that are not leaving. It depends on the table only; `pool_load::weight` also
/// leaves out ejected upstreams.
uint64_t PoolWeight(const service& definition, std::string_view domain);

}  // namespace radishyard
