// The pool owner's part of the packet path: places the flows of the pools that
// this balancer serves on upstreams, forwards their packets, and ends them.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flow/flow_batch.h"
#include "flow/flow_table.h"
#include "flow/flow_upstream_cache.h"
#include "lease/lease_times.h"
#include "pool/pool_state.h"
#include "traffic/duplicate_filter.h"
#include "traffic/inbound_packet.h"
#include "traffic/traffic_counters.h"
#include "traffic/traffic_grants.h"
#include "traffic/traffic_histograms.h"
#include "traffic/traffic_sink.h"

namespace radishyard {

/// \brief A non-idempotent request with the same bytes on the same flow within
/// this time is treated as a duplicate and not placed.
constexpr duration kDuplicateWindow = 60s;

/// \brief Time within which a caller may retransmit an idempotent request. The
/// earlier transmission may have been executed, so a retransmission within this
/// time is never refused. A new owner of a pool refuses no UDP request for as
/// long after the takeover, since the previous owner may have placed a copy.
constexpr duration kCallerRetryWindow = 10s;

/// \brief Time after a change of the evacuations in which an idempotent request
/// is not refused, because a copy may have been placed in another pool: the
/// 7 s within which all balancers know of the change, and kCallerRetryWindow.
constexpr duration kEvacuationSettleTime = 7s + kCallerRetryWindow;

/// \brief Timeouts and intervals of a flow_owner.
struct flow_owner_timing {
  /// A SYN without a response after this time is placed on another upstream.
  duration opening_timeout = 300ms;
  /// Time for which an ended flow is kept, so that late packets are forwarded;
  /// that of an idempotent UDP request for kCallerRetryWindow and up to this.
  duration linger = 2s;
  /// Time in which the search for idle flows visits each flow once.
  duration idle_sweep_period = 2s;
};

/// \brief The flows of the pools that one traffic thread serves.
///
/// \code
/// const auto slot = owner.flows().Find(in.key);
/// const auto result = owner.HandleCallerPacket(in, slot, now);
/// if (result == flow_owner::outcome::kUnknownFlow) SendUpstreamLookups(in);
/// \endcode
///
/// Invariant: each flow in flows_ that holds a connection or slot is counted in
/// its pool.
class flow_owner {
 public:
  /// \brief Result of handling a packet.
  enum class outcome : uint8_t {
    kDone,         ///< Forwarded, queued, refused or dropped.
    kUnknownFlow,  ///< Not an opening, and there is no record of the flow.
    kNeedsLease,   ///< Needs a lease that this balancer does not hold now.
  };

  flow_owner(traffic_sink& sink, traffic_counters& counters,
             flow_upstream_cache& upstream_cache, time_point start,
             flow_owner_timing timing = {});

  /// \brief Applies a new view: configures the pools that this balancer serves
  /// and stops serving those that moved to another owner. The openings that
  /// wait in an evacuated pool are passed to other pools, or refused.
  void SetView(std::shared_ptr<const routing_view> view, time_point now);

  /// \brief True for a duplicate of a non-idempotent request that this balancer
  /// has accepted.
  bool IsDuplicate(const inbound_packet& in) const {
    return in.IsOfNonIdempotentRequest() &&
           non_idempotent_requests_.Contains(
               duplicate_filter::ComputeDigest(in.key, in.packet.payload));
  }

  /// \brief Handles a caller's packet. The flow must have a record here, or its
  /// pool must be served here.
  /// \param slot of the flow in flows(); nothing if it has no record.
  outcome HandleCallerPacket(inbound_packet& in, std::optional<uint32_t> slot,
                             time_point now);

  /// \brief Handles an upstream's packet. The flow must have a record here, or
  /// its pool must be served here.
  /// \param slot as in HandleCallerPacket().
  outcome HandleUpstreamPacket(inbound_packet& in, std::optional<uint32_t> slot,
                               time_point now);

  /// \brief True if the opening of the flow was passed to the pool with this
  /// tag. A packet that the owner of that pool sends here, as to the previous
  /// owner, must be returned to it.
  bool HasPassedOpeningTo(uint32_t slot, uint16_t tag) const;

  /// \brief Records that `upstream` serves the flow, if the flow has no record
  /// yet, and forwards the caller's packet to the upstream of the record.
  void AdoptFlowAndForward(inbound_packet& in, uint32_t upstream,
                           time_point now);

  /// \brief Removes all queued and unanswered openings after a pause of the
  /// process, since other balancers may have placed them meanwhile. No new flow
  /// is placed for kMaxPacketLifetime, so that the control thread can receive
  /// the messages of its peers first.
  void ResumeAfterPause(time_point now);

  /// \brief Runs the timers: places or refuses queued openings, retries
  /// unanswered ones, and ends lingering and idle flows.
  void Tick(time_point now);

  /// \brief Returns the flows of a pool and the digests of non-idempotent
  /// requests, for the handover to the new owner of the pool.
  flow_batch ExportFlows(const pool_name& name) const;

  /// \brief Adds the flows and digests that the previous owner exported. Flows
  /// that have a record here keep it, but the FINs that the previous owner has
  /// seen are merged.
  void ImportFlows(const pool_name& name, const flow_batch& batch,
                   time_point now);

  /// \brief Removes the flows of a pool after their handover to its new owner.
  void RemoveHandedOverFlows(const pool_name& name);

  /// \brief Sets the counts that the previous owner reported last before it was
  /// lost, for flows that have no record here yet.
  void SetInheritedLoads(const pool_name& name,
                         const std::vector<upstream_load>& counts,
                         time_point now);

  /// \brief Returns TCP flows of the pool that have been open for at least
  /// `age` and have not been reported to the standby yet. They count as
  /// reported afterwards.
  ///
  /// \param most maximum number of flows returned.
  std::vector<flow_entry> CollectFlowsForStandby(const pool_name& name,
                                                 duration age, size_t most,
                                                 time_point now);

  /// \brief Marks all flows of the pool as not reported, because its standby
  /// has changed.
  void ClearSentToStandby(const pool_name& name);

  /// \brief Sets the lease deadlines of the pools served here and the free
  /// slots of other pools.
  void SetGrants(const traffic_grants& grants) { grants_ = grants; }

  /// \brief Pools that another balancer serves by now, but of which flows
  /// remain here and are still to be handed over.
  std::vector<pool_name> PoolsToHandOver() const;

  /// \brief Present loads of the pools served here.
  std::vector<served_pool_load> PoolLoads(time_point now) const;
  const flow_table& flows() const { return flows_; }
  size_t OpenFlows() const { return flows_.size() - closed_count_; }
  const traffic_histograms& histograms() const { return histograms_; }

 private:
  struct served_pool {
    pool_name name;
    pool_state state;
    // Set if another balancer serves the pool now. Flows may remain here.
    std::optional<endpoint> new_owner;
    size_t flow_count = 0;  // Records whose `pool` is the index of this pool.
    time_point served_since{};
    // Slot at which the next search for flows to report to the standby starts.
    uint32_t standby_scan_slot = 0;
  };
  struct opening_timer {
    uint32_t slot;
    uint8_t attempt;
    flow_key key;
    time_point due;
  };
  struct linger_timer {
    uint32_t slot;
    flow_key key;
    time_point due;
  };

  uint32_t MsSinceStart(time_point now) const {
    return static_cast<uint32_t>(ToMs(now - start_));
  }
  const pool_route& PoolRoute(const inbound_packet& in) const {
    return view_->pools[in.pool];
  }
  bool IsServedHere(uint16_t view_pool) const {
    return view_->pools[view_pool].role != pool_role::kNone;
  }
  served_pool& ServePool(uint16_t view_pool, time_point now);
  void RecordEvacuations(const routing_view& next, time_point now);
  std::optional<uint16_t> FindPoolOutsideEvacuation(const flow_key& key) const;
  bool MayBePlacedInOtherPool(const inbound_packet& in, time_point now) const;
  const pool_route* LeaveEvacuatedPool(inbound_packet& in) const;
  void EmptyEvacuatedPool(served_pool& pool, time_point now);
  /// \param hops forwarding steps of the opening so far.
  void PassOpening(uint32_t slot, served_pool& pool, const pool_route& target,
                   uint8_t hops);
  uint16_t ServedPoolIndex(uint16_t view_pool) const;

  outcome HandleKnownFlow(inbound_packet& in, uint32_t slot, time_point now);
  outcome HandleUnknownFlow(inbound_packet& in, time_point now);
  outcome HandleRequestAfterResponse(inbound_packet& in, uint32_t slot,
                                     time_point now);
  static void ConfirmFlow(flow_record& flow, const inbound_packet& in);
  void ForwardToUpstream(inbound_packet& in, flow_record& flow, time_point now);
  void ForwardToPassedPool(const inbound_packet& in, flow_record& flow,
                           time_point now);
  void ForwardToNewOwner(const inbound_packet& in, const flow_record& flow,
                         const endpoint& to);
  void StopServingPool(served_pool& pool, const pool_route& route);
  outcome AbandonOpening(inbound_packet& in, uint32_t slot, time_point now);
  outcome ForwardOnExistingFlow(inbound_packet& in, uint32_t slot,
                                time_point now);
  bool IsPassedPoolServedHere(const flow_record& flow) const;
  bool MustPlacePassedOpening(const inbound_packet& in,
                              const flow_record& flow) const;
  bool MustKeepExchangedOpening(const inbound_packet& in,
                                const flow_record& flow) const;
  served_pool* FindServedPool(const pool_name& name) const;
  bool MustForwardToPreviousOwner(const inbound_packet& in) const;
  void ForwardToPreviousOwner(const inbound_packet& in);
  /// \brief Whether a datagram may be sent to an upstream now.
  enum class admission : uint8_t {
    kNew,             ///< Not seen before, or needs no check.
    kRetransmission,  ///< Sent again by the caller; may be placed again.
    kDuplicate,       ///< Dropped.
    kNoLease          ///< Must wait for the lease on non-idempotent requests.
  };
  admission AdmitRequest(const inbound_packet& in, time_point now);
  bool HasLease(const pool_route& route, time_point now) const;
  bool IsDuplicateSynOfEndedFlow(const inbound_packet& in,
                                 const flow_record& flow) const;
  /// \param may_have_executed true if an earlier transmission of the request
  /// may have been executed, so that it must not be refused.
  ///
  /// \param preferred_upstream address of the upstream that responded to the
  /// request before; 0 if none is known.
  void PlaceOpening(inbound_packet& in, bool may_have_executed,
                    uint32_t preferred_upstream, time_point now);
  void ApplyDecision(uint32_t slot, const open_decision& decision,
                     time_point now);
  void SendHeldOpening(uint32_t slot, time_point now);
  void RefuseOpening(uint32_t slot, std::span<uint8_t> bytes);

  void HandleResponse(inbound_packet& in, uint32_t slot, time_point now);
  bool HandleOpeningResponse(const inbound_packet& in, uint32_t slot,
                             time_point now);
  void RetryOpening(uint32_t slot, time_point now);
  void AdoptFromUpstream(const inbound_packet& in, time_point now);
  uint32_t AdoptFlow(const inbound_packet& in, uint32_t upstream,
                     time_point now);
  void RecordEndedFlow(const inbound_packet& in, uint32_t upstream,
                       time_point now);
  void MergeFins(uint32_t slot, const flow_entry& entry, time_point now);
  uint32_t AdoptEntry(const flow_entry& entry, uint16_t pool, time_point now);
  void ForwardToCaller(inbound_packet& in);

  void EndFlow(uint32_t slot, flow_end reason, time_point now);
  void EndFlowByFins(uint32_t slot, flow_end reason, time_point now);
  void ReleaseConnection(flow_record& flow, flow_end reason, time_point now);
  void RemoveFlow(uint32_t slot);
  flow_reservation ReservationFor(const flow_record& flow) const;
  void CheckOpeningTimeouts(time_point now);
  void RemoveLingeringFlows(time_point now);
  void EndIdleFlows(time_point now);
  uint32_t IdleTimeoutMs(const flow_record& flow) const;
  bool MayBeRetransmitted(const flow_record& flow, time_point now) const;
  void PollPools(time_point now);
  void PassWaitingOpenings(served_pool& pool, time_point now);
  std::optional<uint16_t> FindPoolWithFreeSlots(const flow_record& flow) const;
  bool HasOtherPoolWithFreeSlots(const pool_name& name) const;
  bool PassFirstWaitingOpening(served_pool& pool, time_point now);
  void TraceHop(const inbound_packet& in, const char* name, const char* result,
                time_point now);

  traffic_sink& sink_;
  traffic_counters& counters_;
  flow_upstream_cache& upstream_cache_;
  time_point start_;
  flow_owner_timing timing_;
  std::shared_ptr<const routing_view> view_;
  flow_table flows_;
  // Pools that are or were served here. flow_record::pool is an index into it,
  // so no entry is ever removed.
  std::vector<std::unique_ptr<served_pool>> served_;
  // Index into served_ by index into routing_view::pools; kNotServed if none.
  std::vector<uint16_t> served_index_of_view_pool_;
  // Opening packets that may have to be sent (again), by slot of the flow.
  absl::flat_hash_map<uint32_t, byte_buffer> held_openings_;
  duplicate_filter non_idempotent_requests_{kDuplicateWindow};
  duplicate_filter idempotent_requests_{kCallerRetryWindow};
  // Hashes of flows of which a response to an idempotent request was dropped.
  duplicate_filter withheld_response_flows_{kCallerRetryWindow};
  traffic_grants grants_;
  std::deque<opening_timer> opening_timers_;  // In order of `due`.
  std::deque<linger_timer> linger_timers_;    // In order of `due`.
  traffic_histograms histograms_;
  size_t closed_count_ = 0;  // Records in phase kClosed or kPassedOn.
  // When the set of evacuated pools in the view changed last.
  std::optional<time_point> evacuations_changed_at_;
  // No new flow is placed before this time.
  time_point placement_resumes_at_{};
  uint32_t sweep_slot_ = 0;  // Slot that the idle sweep visited last.
  time_point last_sweep_at_;
};

}  // namespace radishyard
