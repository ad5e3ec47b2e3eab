// The control thread of a balancer. It follows the table and the rosters,
// exchanges heartbeats, keeps an owner for each pool of its domain, hands pools
// over, and publishes to the traffic threads what they need.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/asio.h"
#include "control/handover.h"
#include "control/peer_hub.h"
#include "control/roster_cache.h"
#include "control/store_follower.h"
#include "control/view_builder.h"
#include "lease/lease.h"
#include "lease/vm_list_history.h"
#include "roster/domain_summary.h"
#include "roster/liveness.h"
#include "roster/roster_update.h"
#include "settings/settings.h"
#include "store/object_store.h"
#include "table/evacuation_table.h"
#include "table/service_table.h"
#include "traffic/traffic_control.h"

namespace radishyard {

/// \brief The control thread's state and logic in one balancer.
/// \warning All member functions must be called on the thread of `io`.
class controller {
 public:
  /// \param incarnation number of this run, higher than that of any earlier run
  /// of the same name.
  controller(asio::io_context& io, object_store& store, const settings& config,
             uint64_t incarnation, traffic_control& traffic);

  void Start();

  /// \brief Starts a graceful departure: this balancer hands its pools and
  /// their flows over to other balancers, then removes its entry from the
  /// roster.
  /// \param done is called at the end.
  void Leave(std::function<void()> done);

  /// \brief Applies a report of the traffic threads.
  /// \param loads of the pools that this balancer serves.
  /// \param pools_to_hand_over pools of which flows remain here although
  /// another balancer serves them.
  void ApplyTrafficReport(const std::vector<served_pool_load>& loads,
                          const std::vector<pool_name>& pools_to_hand_over);

  const member& self() const { return self_; }
  const service_table& table() const { return table_; }
  const evacuation_table& evacuations() const { return evacuations_; }
  const roster_cache& rosters() const { return rosters_; }
  const std::set<member_id>& alive() const { return alive_; }
  const peer_hub& hub() const { return hub_; }
  const handover_manager& handovers() const { return handovers_; }
  bool IsStoreReachable() const { return store_reachable_; }
  /// \brief Until when non-idempotent requests may be placed, for each pool of
  /// this balancer that holds a lease.
  std::map<pool_name, time_point> NonIdempotentDeadlines(time_point now) const;

 private:
  enum class departure_step : uint8_t {
    kNone,
    kHandingOver,
    kForwarding,
    kRemovingEntry
  };

  // controller.cc: the loop, the table and publication to the traffic threads.
  void WaitForTick();
  void Tick(time_point now);
  void ApplyObject(const stored_object& object);
  void ApplyServiceRecord(const std::string& value, uint64_t version,
                          bool forward);
  void ApplyEvacuationObject(const stored_object& object);
  void ApplyEvacuationRecord(const std::string& value, uint64_t version,
                             bool forward);
  void OnStoreReachability(bool reachable);
  void UpdateStoreWatch(time_point now);
  void PublishIfChanged();
  void InheritCounts(const routing_view& view);
  void PublishGrants(time_point now, std::function<void()> done = {});
  void ContinueDeparture(time_point now);
  bool OwnsNothing() const;

  // controller_roster.cc: membership, ownership and leases.
  void OnRoster(const versioned_roster& held);
  lease_state& LeaseOf(const std::string& domain);
  void ProposeRosterIfDue(time_point now);
  void Propose(const roster& next, time_point now);
  void OnProposalOutcome(const roster& next, proposal_outcome outcome,
                         uint64_t version);
  roster ComputeNextRoster(const versioned_roster& held, time_point now) const;
  assignment_inputs MakeAssignmentInputs(
      const std::set<std::string>& may_take_over, time_point now) const;
  lease_inputs MakeLeaseInputs() const;
  void PollVms(time_point now);

  // controller_peers.cc: heartbeats, exchange of table and rosters, handovers.
  hub_handlers MakeHubHandlers();
  handover_handlers MakeHandoverHandlers();
  void UpdateLiveness(time_point now);
  void UpdateLinks();
  void UpdateUnservedDomains(time_point now);
  std::set<member_id> LinkCandidates(const std::vector<roster>& rosters) const;
  heartbeat MakeHeartbeat();
  std::map<pool_name, pool_usage> MakeLoadReport(const member& to,
                                                 bool exact_counts) const;
  void ExchangeEpochs(const heartbeat& beat, heartbeat_ack& ack);
  void OnHeartbeat(const heartbeat& beat);
  void OnAck(const heartbeat_ack& ack);
  void OnMessage(peer_link& link, const member& from,
                 const peer_message& message);
  void OnHello(peer_link& link, const member& sender);
  void DialSeeds();
  void SendVersionsIfDifferent(const heartbeat& beat, time_point now);
  void SendRecords(peer_link& link,
                   const std::vector<service_record_ptr>& records);
  static void SendEvacuations(peer_link& link,
                              const std::vector<evacuation_record>& records);
  void SendRoster(const member_id& to, const versioned_roster& held);
  std::map<pool_name, pool_ownership> PoolOwnerships() const;
  bool IsDelegate() const;
  void SendFlowsToStandbys(time_point now);

  asio::steady_timer tick_;
  object_store& store_;
  settings config_;
  member self_;
  traffic_control& traffic_;
  service_table table_;
  evacuation_table evacuations_;
  roster_cache rosters_;
  store_follower follower_;
  std::map<std::string, lease_state> leases_;  // By domain.
  bool proposing_ = false;  // From the decision to the outcome of a proposal.
  std::optional<roster> proposed_;  // Resent while its outcome is unknown.
  liveness_state liveness_;
  remote_summaries remote_summaries_;
  std::set<member_id> alive_;
  std::set<member_id> linked_;
  peer_hub hub_;
  handover_manager handovers_;
  std::map<std::string, time_point>
      domain_alive_at_;  // When a member of the domain was last alive.
  time_point started_at_{};
  std::set<std::string> unserved_domains_;  // See routing_view_inputs.
  std::map<std::string, member>
      unlisted_members_;  // Runs that sent a hello but are in no roster, by
                          // name.
  std::vector<served_pool_load> served_loads_;
  std::set<pool_name> served_pools_;  // By the routing view published last.
  std::map<pool_name, std::vector<member_id>>
      standbys_;  // Successors that get the flows of each pool.
  std::map<member_id, time_point> digest_sent_at_;
  vm_list_history vm_history_;
  bool store_reachable_ = false;
  time_point watch_until_{};    // See UpdateStoreWatch().
  bool links_outdated_ = true;  // Rosters or liveness have changed.
  bool view_outdated_ = false;  // An input of the routing view has changed.
  std::optional<time_point> change_due_since_;
  time_point propose_after_{};
  time_point liveness_due_{};
  time_point standby_due_{};
  time_point vms_due_{};
  uint64_t summary_sequence_ = 0;
  departure_step departure_ = departure_step::kNone;
  time_point forward_until_{};
  std::function<void()> on_left_;
};

}  // namespace radishyard
