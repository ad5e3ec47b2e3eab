// The owner's side of the packet path: placing flows of the pools that this
// balancer serves, keeping each on its upstream, and ending it.
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
/// this time is taken for a repetition and not placed.
constexpr duration kDuplicateWindow = 60s;

/// \brief An idempotent request that is repeated within this time may have run,
/// and so is not refused. For as long after it took a pool over, an owner
/// refuses no UDP request: the owner before may have run a copy.
constexpr duration kCallerRetryWindow = 10s;

/// \brief Timing of the owner.
struct flow_owner_timing {
  duration opening_timeout =
      300ms;             ///< An opening without answer is placed again.
  duration linger = 2s;  ///< A closed flow still passes late packets.
  duration idle_sweep_period = 2s;  ///< One pass over all flows.
};

/// \brief Flows of the pools that one traffic thread serves.
///
/// \code
/// const auto slot = owner.flows().Find(in.key);
/// if (owner.HandleCallerPacket(in, slot, now) ==
/// flow_owner::outcome::kUnknownFlow) AskWitnesses(in); \endcode Invariant:
/// each flow in flows_ that holds a connection or slot is counted in its pool.
class flow_owner {
 public:
  /// \brief What became of a packet.
  enum class outcome : uint8_t {
    kDone,         ///< Forwarded, queued, refused or dropped.
    kUnknownFlow,  ///< Not an opening, and the flow is not known here.
    kNeedsLease,   ///< Needs a lease that this balancer has not now.
  };

  flow_owner(traffic_sink& sink, traffic_counters& counters,
             flow_upstream_cache& witnesses, time_point start,
             flow_owner_timing timing = {});

  /// \brief Takes up a new view: configures the pools that this balancer
  /// serves.
  void SetView(std::shared_ptr<const routing_view> view, time_point now);

  /// \brief True for a copy of a non-idempotent request that was taken in here.
  bool IsDuplicate(const inbound_packet& in) const {
    return in.IsOfNonIdempotentRequest() &&
           non_idempotent_digests_.Contains(
               duplicate_filter::ComputeDigest(in.key, in.packet.payload));
  }

  /// \brief A caller's packet for a flow that is known here, or for a pool that
  /// is served here.
  /// \param slot of the flow in flows(); nothing if it is not known.
  outcome HandleCallerPacket(inbound_packet& in, std::optional<uint32_t> slot,
                             time_point now);

  /// \brief An upstream's packet for a flow that is known here, or for a pool
  /// that is served here.
  /// \param slot as in HandleCallerPacket().
  outcome HandleUpstreamPacket(inbound_packet& in, std::optional<uint32_t> slot,
                               time_point now);

  /// \brief True where the flow's opening was passed on to the pool of that
  /// tag: that pool has it, though it asks.
  bool HasPassedOpeningTo(uint32_t slot, uint16_t tag) const;

  /// \brief Learns that `upstream` serves the flow, and forwards the caller's
  /// packet to it.
  void AdoptFlowAndForward(inbound_packet& in, uint32_t upstream,
                           time_point now);

  /// \brief This process was paused: other balancers may have placed what waits
  /// here or has had no answer yet, so all of it is forgotten, and no new flow
  /// is placed until the control thread has heard of its peers.
  void ResumeAfterPause(time_point now);

  /// \brief Queue decisions, unanswered openings, ends of linger and idle
  /// flows.
  void Tick(time_point now);

  /// \brief Flows and digests of a pool that has moved to another balancer, for
  /// its new owner.
  flow_batch ExportFlows(const pool_name& name) const;

  /// \brief Takes up what the previous owner exported. Flows that are known
  /// already stay as they are.
  void ImportFlows(const pool_name& name, const flow_batch& batch,
                   time_point now);

  /// \brief Forgets the flows of a pool that were handed over.
  void RemoveHandedOverFlows(const pool_name& name);

  /// \brief Counts that the previous owner reported before it was lost.
  void SetInheritedLoads(const pool_name& name,
                         const std::vector<upstream_load>& counts,
                         time_point now);

  /// \brief Flows that the standby should know of and has not been told: those
  /// open for `age`. \returns at most `most` flows, marked as told.
  std::vector<flow_entry> CollectFlowsForStandby(const pool_name& name,
                                                 duration age, size_t most,
                                                 time_point now);

  /// \brief The standby of the pool has changed: all its flows are to be told
  /// again.
  void ClearSentToStandby(const pool_name& name);

  /// \brief Lease deadlines of own pools and free slots of others.
  void SetGrants(const traffic_grants& grants) { grants_ = grants; }

  /// \brief Pools that another balancer serves although flows of them remain
  /// here.
  std::vector<pool_name> PoolsToHandOver() const;

  std::vector<served_pool_load> PoolLoads(time_point now) const;
  const flow_table& flows() const { return flows_; }
  size_t OpenFlows() const { return flows_.size() - closed_count_; }
  const traffic_histograms& times() const { return times_; }

 private:
  struct served_pool {
    pool_name name;
    pool_state state;
    std::optional<endpoint> new_owner;  // Set while another balancer serves it
                                        // and flows remain here.
    size_t flow_count = 0;              // Records whose `pool` is this one.
    time_point served_since{};          // Since when it is served here.
    uint32_t standby_scan_slot =
        0;  // Slot where the search for untold flows goes on.
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
  served_pool& ServePool(uint16_t view_pool, time_point now);
  uint16_t ServedPoolIndex(uint16_t view_pool) const;

  outcome HandleKnownFlow(inbound_packet& in, uint32_t slot, time_point now);
  outcome HandleUnknownFlow(inbound_packet& in, time_point now);
  outcome HandleRequestAfterResponse(inbound_packet& in, uint32_t slot,
                                     time_point now);
  static void ConfirmFlow(flow_record& flow, const inbound_packet& in);
  void ForwardToUpstream(inbound_packet& in, flow_record& flow, time_point now);
  void ForwardToPassedPool(const inbound_packet& in, const flow_record& flow);
  void ForwardToNewOwner(const inbound_packet& in, const flow_record& flow,
                         const endpoint& to);
  void StopServingPool(served_pool& pool, const pool_route& route);
  outcome AbandonOpening(inbound_packet& in, uint32_t slot, time_point now);
  outcome ForwardOnUpstream(inbound_packet& in, uint32_t slot, time_point now);
  bool IsPassedPoolServedHere(const flow_record& flow) const;
  bool MustPlacePassedOpening(const inbound_packet& in,
                              const flow_record& flow) const;
  bool MustKeepExchangedOpening(const inbound_packet& in,
                                const flow_record& flow) const;
  served_pool* FindServedPool(const pool_name& name) const;
  bool MustAskPreviousOwner(const inbound_packet& in) const;
  void ForwardToPreviousOwner(const inbound_packet& in);
  /// \brief Whether a datagram may go to an upstream now.
  enum class admission : uint8_t {
    kNew,
    kRetransmission,
    kDuplicate,
    kNoLease
  };
  admission AdmitRequest(const inbound_packet& in, time_point now);
  bool HasLease(const pool_route& route, time_point now) const;
  bool IsDuplicateSynOfEndedFlow(const inbound_packet& in,
                                 const flow_record& flow) const;
  /// \param preferred_upstream address of the upstream that answered the
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

  void EndFlow(uint32_t slot, flow_end how, time_point now);
  void EndFlowByFins(uint32_t slot, flow_end how, time_point now);
  void ReleaseConnection(flow_record& flow, flow_end how, time_point now);
  void RemoveFlow(uint32_t slot);
  flow_reservation ReservationFor(const flow_record& flow) const;
  void CheckOpeningTimeouts(time_point now);
  void RemoveLingeringFlows(time_point now);
  void EndIdleFlows(time_point now);
  uint32_t IdleTimeoutMs(const flow_record& flow) const;
  bool IsWaitingForItsUpstream(const flow_record& flow, time_point now) const;
  void PollPools(time_point now);
  void PassWaitingOpenings(served_pool& pool, time_point now);
  std::optional<uint16_t> FindPoolWithFreeSlots(const flow_record& flow) const;
  bool HasOtherPoolWithFreeSlots(const pool_name& name) const;
  bool PassFirstWaitingOpening(served_pool& pool, time_point now);
  void TraceHop(const inbound_packet& in, const char* name, const char* result,
                time_point now);

  traffic_sink& sink_;
  traffic_counters& counters_;
  flow_upstream_cache& witnesses_;
  time_point start_;
  flow_owner_timing timing_;
  std::shared_ptr<const routing_view> view_;
  flow_table flows_;
  std::vector<std::unique_ptr<served_pool>>
      served_;  // Index is stable: flow_record::pool.
  std::vector<uint16_t>
      served_index_of_view_pool_;  // By index of the view; kNotServed if none.
  absl::flat_hash_map<uint32_t, byte_buffer>
      held_openings_;  // Opening packets by slot.
  duplicate_filter non_idempotent_digests_{
      kDuplicateWindow};  // Of non-idempotent requests.
  duplicate_filter idempotent_digests_{
      kCallerRetryWindow};  // Of idempotent requests.
  duplicate_filter withheld_responses_{
      kCallerRetryWindow};  // Their flows, by hash.
  traffic_grants grants_;
  std::deque<opening_timer> opening_timers_;  // In order of `due`.
  std::deque<linger_timer> linger_timers_;    // In order of `due`.
  traffic_histograms times_;
  size_t closed_count_ = 0;            // Records in phase kClosed or kPassedOn.
  time_point placement_resumes_at_{};  // No new flow before.
  uint32_t sweep_slot_ = 0;
  time_point last_sweep_at_;
};

}  // namespace radishyard
