// The control thread of a balancer. It follows table and rosters, exchanges
// heartbeats, keeps the domain's pools owned, moves them, and tells the traffic
// threads what they need.
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
#include "table/service_table.h"
#include "traffic/traffic_control.h"

namespace radishyard {

/// \brief The control state of one balancer.
/// \warning All members run on the thread of `io`.
class controller {
 public:
  /// \param incarnation of this run; higher than that of any earlier run of the
  /// same name.
  controller(asio::io_context& io, object_store& store, const settings& config,
             uint64_t incarnation, traffic_control& traffic);

  void Start();

  /// \brief Leaves in an orderly way: pools go to other balancers with their
  /// flows, then the entry in the roster goes. `done` is called at the end.
  void Leave(std::function<void()> done);

  /// \brief What the traffic threads report of the pools here.
  void ApplyLoadReport(const std::vector<served_pool_load>& loads,
                       const std::vector<pool_name>& pools_to_hand_over);

  const member& self() const { return self_; }
  const service_table& table() const { return table_; }
  const roster_cache& rosters() const { return rosters_; }
  const std::set<member_id>& alive() const { return alive_; }
  const peer_hub& hub() const { return hub_; }
  const handover_manager& handovers() const { return handovers_; }
  bool IsStoreReachable() const { return store_reachable_; }
  /// \brief Until when each own pool may place non-idempotent work.
  std::map<pool_name, time_point> NonIdempotentDeadlines(time_point now) const;

 private:
  enum class departure_step : uint8_t {
    kNone,
    kHandingOver,
    kForwarding,
    kRemovingEntry
  };

  // controller.cc: the loop, the table and what is published.
  void WaitForTick();
  void Tick(time_point now);
  void ApplyObject(const stored_object& object);
  void ApplyServiceRecord(const std::string& value, uint64_t version,
                          bool forward);
  void OnStoreReachability(bool reachable);
  void UpdateStoreWatch();
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

  // controller_peers.cc: heartbeats, spread of table and rosters, hand-overs.
  hub_handlers MakeHubHandlers();
  handover_handlers MakeHandoverHandlers();
  void UpdateLiveness(time_point now);
  void UpdateLinks();
  void UpdateUnservedDomains(time_point now);
  std::set<member_id> LinkCandidates(const std::vector<roster>& rosters) const;
  heartbeat MakeHeartbeat();
  std::map<pool_name, pool_usage> LoadsToReport(const member& to,
                                                bool exact_counts) const;
  void FillAckEpochs(const heartbeat& beat, heartbeat_ack& ack);
  void OnHeartbeat(const heartbeat& beat);
  void OnAck(const heartbeat_ack& ack);
  void OnMessage(peer_link& link, const member& from,
                 const peer_message& message);
  void OnHello(peer_link& link, const member& sender);
  void DialSeeds();
  void SendDigestIfDifferent(const heartbeat& beat, time_point now);
  void SendRecords(peer_link& link,
                   const std::vector<service_record_ptr>& records);
  void SendRoster(const member_id& to, const versioned_roster& held);
  std::map<pool_name, pool_location> PoolLocations() const;
  bool IsDelegate() const;
  void ReplicateFlows(time_point now);

  asio::steady_timer tick_;
  object_store& store_;
  settings config_;
  member self_;
  traffic_control& traffic_;
  service_table table_;
  roster_cache rosters_;
  store_follower follower_;
  std::map<std::string, lease_state> leases_;  // By domain.
  bool proposing_ = false;  // From the decision to the end of the proposal.
  std::optional<roster> proposed_;  // Sent again while its outcome is unknown.
  liveness_state liveness_;
  remote_summaries remote_;
  std::set<member_id> alive_;
  std::set<member_id> linked_;
  peer_hub hub_;
  handover_manager handovers_;
  std::map<std::string, time_point>
      domain_alive_at_;  // When a member was last alive.
  time_point started_at_{};
  std::set<std::string>
      unserved_domains_;  // By routing_view_inputs::abandoned.
  std::map<std::string, member>
      unlisted_members_;  // Runs that are not listed but said hello, by name.
  std::vector<served_pool_load> served_loads_;
  std::set<pool_name> served_pools_;  // By the view published last.
  std::map<pool_name, std::vector<member_id>>
      replicated_to_;  // Whom the flows were told to.
  std::map<member_id, time_point> digest_sent_at_;
  vm_list_history vm_history_;
  bool store_reachable_ = false;
  bool links_outdated_ = true;  // Rosters or liveness have changed.
  bool view_outdated_ = false;  // Something the view depends on.
  std::optional<time_point> change_due_since_;
  time_point propose_after_{};
  time_point liveness_due_{};
  time_point replication_due_{};
  time_point vms_due_{};
  uint64_t summary_sequence_ = 0;
  departure_step departure_ = departure_step::kNone;
  time_point forward_until_{};
  std::function<void()> on_left_;
};

}  // namespace radishyard
