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
#include "traffic/inbound.h"
#include "traffic/traffic_counters.h"
#include "traffic/traffic_grants.h"
#include "traffic/traffic_histograms.h"
#include "traffic/traffic_sink.h"

namespace radishyard {

/// \brief A non-idempotent request with the same bytes on the same flow within
/// this time is taken for a repetition and not placed.
constexpr duration kRepeatWindow = 60s;

/// \brief An idempotent request that is repeated within this time may have run,
/// and so is not refused. For as long after it took a pool over, an owner
/// refuses no UDP request: the owner before may have run a copy.
constexpr duration kRetryWindow = 10s;

/// \brief Timing of the owner.
struct owner_timing {
  duration unanswered_after =
      300ms;                 ///< An opening without answer is placed again.
  duration linger = 2s;      ///< A closed flow still passes late packets.
  duration idle_sweep = 2s;  ///< One pass over all flows.
};

/// \brief Flows of the pools that one traffic thread serves.
///
/// \code
/// const auto slot = owner.flows().Find(in.key);
/// if (owner.HandleCaller(in, slot, now) == flow_owner::outcome::kUnknownFlow)
/// AskWitnesses(in); \endcode Invariant: each flow in flows_ that holds a
/// connection or slot is counted in its pool.
class flow_owner {
 public:
  /// \brief What became of a packet.
  enum class outcome : uint8_t {
    kDone,         ///< Forwarded, queued, refused or dropped.
    kUnknownFlow,  ///< Not an opening, and the flow is not known here.
    kWithheld,     ///< Needs a lease that this balancer has not now.
  };

  flow_owner(traffic_sink& sink, traffic_counters& counters,
             flow_upstream_cache& witnesses, time_point start,
             owner_timing timing = {});

  /// \brief Takes up a new view: configures the pools that this balancer
  /// serves.
  void SetView(std::shared_ptr<const routing_view> view, time_point now);

  /// \brief True for a copy of a non-idempotent request that was taken in here.
  bool IsDuplicate(const inbound& in) const {
    return in.IsUnsafe() && duplicates_.Has(duplicate_filter::DigestOf(
                                in.key, in.packet.payload));
  }

  /// \brief A caller's packet for a flow that is known here, or for a pool that
  /// is served here.
  /// \param slot of the flow in flows(); nothing if it is not known.
  outcome HandleCaller(inbound& in, std::optional<uint32_t> slot,
                       time_point now);

  /// \brief An upstream's packet for a flow that is known here, or for a pool
  /// that is served here.
  /// \param slot as in HandleCaller().
  outcome HandleUpstream(inbound& in, std::optional<uint32_t> slot,
                         time_point now);

  /// \brief True where the flow's opening was passed on to the pool of that
  /// tag: that pool has it, though it asks.
  bool HasPassedTo(uint32_t slot, uint16_t tag) const;

  /// \brief Learns that `upstream` serves the flow, and forwards the caller's
  /// packet to it.
  void AdoptAndForward(inbound& in, uint32_t upstream, time_point now);

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

  std::vector<served_pool_load> Loads(time_point now) const;
  const flow_table& flows() const { return flows_; }
  size_t OpenFlows() const { return flows_.size() - closed_; }
  const traffic_histograms& times() const { return times_; }

 private:
  struct served_pool {
    pool_name name;
    pool_state state;
    std::optional<endpoint> moved_to;  // Set while another balancer serves it
                                       // and flows remain here.
    size_t flows = 0;                  // Records whose `pool` is this one.
    time_point taken_at{};             // Since when it is served here.
    uint32_t witness_at = 0;  // Slot where the search for untold flows goes on.
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

  uint32_t Ms(time_point now) const {
    return static_cast<uint32_t>(ToMs(now - start_));
  }
  const pool_route& Route(const inbound& in) const {
    return view_->pools[in.pool];
  }
  served_pool& Serve(uint16_t view_pool, time_point now);
  uint16_t ServedIndex(uint16_t view_pool) const;

  outcome HandleKnown(inbound& in, uint32_t slot, time_point now);
  outcome HandleUnknown(inbound& in, time_point now);
  outcome FollowAnswered(inbound& in, uint32_t slot, time_point now);
  static void Confirm(flow_record& flow, const inbound& in);
  void ForwardToUpstream(inbound& in, flow_record& flow, time_point now);
  void FollowPassed(const inbound& in, const flow_record& flow);
  void FollowMoved(const inbound& in, const flow_record& flow,
                   const endpoint& to);
  void MoveAway(served_pool& pool, const pool_route& route);
  outcome GiveUpOpening(inbound& in, uint32_t slot, time_point now);
  outcome KeepOnUpstream(inbound& in, uint32_t slot, time_point now);
  bool PassedPoolIsServed(const flow_record& flow) const;
  bool BeginsAnew(const inbound& in, const flow_record& flow) const;
  bool WasExchanged(const inbound& in, const flow_record& flow) const;
  served_pool* FindServed(const pool_name& name) const;
  bool AsksPrevious(const inbound& in) const;
  void AskPrevious(const inbound& in);
  /// \brief Whether a datagram may go to an upstream now.
  enum class admission : uint8_t { kFirst, kRepeated, kCopy, kNoLease };
  admission Admit(const inbound& in, time_point now);
  bool HasLease(const pool_route& route, time_point now) const;
  bool IsLateSyn(const inbound& in, const flow_record& flow) const;
  /// \param answered_by address of the upstream that answered the request
  /// before; 0 if none is known.
  void Place(inbound& in, bool may_have_run, uint32_t answered_by,
             time_point now);
  void Settle(uint32_t slot, const open_decision& decision, time_point now);
  void SendHeld(uint32_t slot, time_point now);
  void Refuse(uint32_t slot, std::span<uint8_t> bytes);

  void HandleAnswer(inbound& in, uint32_t slot, time_point now);
  bool HandleOpeningAnswer(const inbound& in, uint32_t slot, time_point now);
  void RetryOpening(uint32_t slot, time_point now);
  void LearnFromUpstream(const inbound& in, time_point now);
  uint32_t AdoptFlow(const inbound& in, uint32_t upstream, time_point now);
  void RememberEnd(const inbound& in, uint32_t upstream, time_point now);
  void MergeEnds(uint32_t slot, const flow_entry& entry, time_point now);
  uint32_t AdoptEntry(const flow_entry& entry, uint16_t pool, time_point now);
  void ForwardToCaller(inbound& in);

  void End(uint32_t slot, flow_end how, time_point now);
  void EndByFins(uint32_t slot, flow_end how, time_point now);
  void Release(flow_record& flow, flow_end how, time_point now);
  void Remove(uint32_t slot);
  flow_reservation ReservationFor(const flow_record& flow) const;
  void CheckOpenings(time_point now);
  void CheckLinger(time_point now);
  void SweepIdle(time_point now);
  uint32_t IdleLimitMs(const flow_record& flow) const;
  bool WaitsForItsUpstream(const flow_record& flow, time_point now) const;
  void PollPools(time_point now);
  void PassWaiting(served_pool& pool, time_point now);
  std::optional<uint16_t> PoolWithRoom(const flow_record& flow) const;
  bool OthersHaveRoom(const pool_name& name) const;
  bool PassOne(served_pool& pool, time_point now);
  void Trace(const inbound& in, const char* name, const char* result,
             time_point now);

  traffic_sink& sink_;
  traffic_counters& counters_;
  flow_upstream_cache& witnesses_;
  time_point start_;
  owner_timing timing_;
  std::shared_ptr<const routing_view> view_;
  flow_table flows_;
  std::vector<std::unique_ptr<served_pool>>
      served_;  // Index is stable: flow_record::pool.
  std::vector<uint16_t>
      served_of_view_;  // By index of the view; kNotServed if none.
  absl::flat_hash_map<uint32_t, byte_buffer> held_;  // Opening packets by slot.
  duplicate_filter duplicates_{kRepeatWindow};  // Of non-idempotent requests.
  duplicate_filter copies_{kRetryWindow};       // Of idempotent requests.
  duplicate_filter withheld_answers_{kRetryWindow};  // Their flows, by hash.
  traffic_grants grants_;
  std::deque<opening_timer> openings_;  // In order of `due`.
  std::deque<linger_timer> lingering_;  // In order of `due`.
  traffic_histograms times_;
  size_t closed_ = 0;       // Records in phase kClosed or kPassedOn.
  time_point resume_at_{};  // No new flow before.
  uint32_t sweep_at_ = 0;
  time_point swept_at_;
};

}  // namespace radishyard
