// Messages between balancers: hellos, heartbeats and their replies, the
// exchange of the table and the rosters, handovers, and the batches of flows
// for the standbys.
#include <algorithm>

#include "control/controller.h"
#include "observe/log.h"
#include "roster/link_topology.h"
#include "roster/roster_json.h"
#include "table/table_json.h"

namespace radishyard {
namespace {

// The versions of the table's services are sent to one peer at most once in
// this time.
constexpr duration kMinTableDigestInterval = 1s;
// For this long after the process starts, the members of another domain are
// presumed alive if no summary has reported any of them as alive yet.
constexpr duration kPresumedAliveFor = 3s;
// A domain counts as unserved once this much time has passed since this
// balancer last had a member of the domain recorded as alive. The time that the
// failure detector takes to declare the member dead comes on top.
constexpr duration kUnservedAfter = 1s;
// Flows are sent to the standbys once in this time.
constexpr duration kStandbyFlowsInterval = 500ms;
constexpr size_t kMaxFlowsPerBatch = 150;  // Encoded, about 1 KB.

bool Contains(const std::vector<member_id>& ids, const member_id& id) {
  return std::ranges::find(ids, id) != ids.end();
}

}  // namespace

hub_handlers controller::MakeHubHandlers() {
  hub_handlers handlers;
  handlers.make_heartbeat = [this] { return MakeHeartbeat(); };
  handlers.make_load_report = [this](const member& to, bool exact_counts) {
    return MakeLoadReport(to, exact_counts);
  };
  handlers.exchange_epochs = [this](const heartbeat& beat, heartbeat_ack& ack) {
    ExchangeEpochs(beat, ack);
  };
  handlers.on_heartbeat = [this](const heartbeat& beat) { OnHeartbeat(beat); };
  handlers.on_ack = [this](const heartbeat_ack& ack) { OnAck(ack); };
  handlers.on_message = [this](peer_link& link, const member& from,
                               const peer_message& message) {
    OnMessage(link, from, message);
  };
  handlers.on_hello = [this](peer_link& link, const member& sender) {
    OnHello(link, sender);
  };
  return handlers;
}

handover_handlers controller::MakeHandoverHandlers() {
  handover_handlers handlers;
  handlers.export_flows = [this](const pool_name& name,
                                 std::function<void(flow_batch)> handler) {
    traffic_.ExportFlows(name, std::move(handler));
  };
  handlers.import_flows = [this](const pool_name& name, flow_batch batch) {
    traffic_.ImportFlows(name, std::move(batch));
  };
  handlers.remove_flows = [this](const pool_name& name) {
    traffic_.RemoveHandedOverFlows(name);
  };
  handlers.send = [this](const member_id& to, const peer_message& message) {
    return hub_.Send(to, message);
  };
  return handlers;
}

// True if this balancer is a delegate, which sends the other domains summaries
// of the dead members of its own domain.
bool controller::IsDelegate() const {
  return Contains(
      ChooseDelegates(rosters_.Latest(config_.domain).value, alive_), self_.id);
}

void controller::UpdateLiveness(time_point now) {
  if (now < liveness_due_) return;
  liveness_.times.interval = peer_hub::HeartbeatInterval(
      config_.limits.heartbeat_interval, linked_.size());
  liveness_due_ = now + liveness_.times.interval;
  liveness_ = CountMissedIntervals(std::move(liveness_), now);
  const std::set<member_id> alive_peers = AliveMembers(liveness_);
  std::set<member_id> alive{self_.id};
  for (const auto& [domain, held] : rosters_.All()) {
    const std::set<member_id> alive_by_summary =
        LiveMembersOfDomain(remote_summaries_, held.value, now);
    const bool presume_alive = now - started_at_ < kPresumedAliveFor &&
                               !domain_alive_at_.contains(domain) &&
                               alive_by_summary.empty();
    for (const member& m : held.value.members) {
      const bool exchanges_heartbeats =
          domain == config_.domain || linked_.contains(m.id);
      const bool is_alive = exchanges_heartbeats
                                ? alive_peers.contains(m.id)
                                : alive_by_summary.contains(m.id);
      if (is_alive || (presume_alive && domain != config_.domain))
        alive.insert(m.id);
    }
  }
  if (alive != alive_) {
    Log(severity::kInfo, "alive_changed",
        {{"alive", alive.size()}, {"before", alive_.size()}});
    alive_ = std::move(alive);
    view_outdated_ = true;
    links_outdated_ = true;
  }
  UpdateUnservedDomains(now);
}

// A domain can become unserved only if one of its members has been recorded as
// alive in this run. Nothing is recorded during kPresumedAliveFor after the
// start, because members may then be presumed alive without any summary.
void controller::UpdateUnservedDomains(time_point now) {
  std::set<std::string> unserved_domains;
  for (const auto& [domain, held] : rosters_.All()) {
    const bool has_live = std::ranges::any_of(
        held.value.members,
        [this](const member& m) { return alive_.contains(m.id); });
    const bool in_start_period = now - started_at_ < kPresumedAliveFor;
    if (has_live && !in_start_period) domain_alive_at_[domain] = now;
    const auto last_alive = domain_alive_at_.find(domain);
    const bool was_alive = last_alive != domain_alive_at_.end();
    if (was_alive && now - last_alive->second >= kUnservedAfter)
      unserved_domains.insert(domain);
  }
  if (unserved_domains == unserved_domains_) return;
  unserved_domains_ = std::move(unserved_domains);
  view_outdated_ = true;
}

// The members that are alive, and all members of each domain without a live
// one: a link to them is needed to detect that one of them is alive again.
std::set<member_id> controller::LinkCandidates(
    const std::vector<roster>& rosters) const {
  std::set<member_id> candidates = alive_;
  for (const roster& r : rosters) {
    const bool has_live = std::ranges::any_of(
        r.members, [this](const member& m) { return alive_.contains(m.id); });
    if (has_live) continue;
    for (const member& m : r.members) candidates.insert(m.id);
  }
  return candidates;
}

void controller::UpdateLinks() {
  if (!std::exchange(links_outdated_, false)) return;
  std::vector<roster> rosters;
  for (const auto& [domain, held] : rosters_.All())
    rosters.push_back(held.value);
  const std::vector<member_id> links =
      ChooseLinks(self_.id, rosters, LinkCandidates(rosters));
  // A balancer that becomes a delegate has had no heartbeats of the delegates
  // of other domains so far, only summaries that report them as alive.
  for (const member_id& id : links) {
    if (!linked_.contains(id) && alive_.contains(id))
      liveness_ = RestartMonitoring(std::move(liveness_), id);
  }
  linked_ = {links.begin(), links.end()};
  std::vector<hub_peer> peers;
  for (const roster& r : rosters) {
    for (const member& m : r.members) {
      const bool already_added =
          std::ranges::find(peers, m.id, [](const hub_peer& p) {
            return p.roster_entry.id;
          }) != peers.end();
      if (already_added || !linked_.contains(m.id)) continue;
      const bool is_successor =
          std::ranges::any_of(r.pools, [&](const pool_assignment& pool) {
            return pool.owner == self_.id && Contains(pool.successors, m.id);
          });
      peers.push_back({m, is_successor});
    }
  }
  hub_.SetPeers(peers);
}

heartbeat controller::MakeHeartbeat() {
  heartbeat beat;
  for (const auto& [domain, held] : rosters_.All())
    beat.epochs.push_back({domain, held.value.epoch});
  beat.table_digest = ComputeTableDigest(table_);
  beat.evacuation_digest = ComputeEvacuationDigest(evacuations_);
  if (IsDelegate()) {
    beat.summaries.push_back(MakeDomainSummary(
        rosters_.Latest(config_.domain).value, liveness_, ++summary_sequence_));
  }
  for (const auto& [from, entry] : remote_summaries_.entries)
    beat.summaries.push_back(entry.summary);
  return beat;
}

// Peers that may take a pool over receive the exact counts for each upstream of
// the pool, all others only its number of free slots. Members of this domain
// also receive the free slots that other domains have reported.
std::map<pool_name, pool_usage> controller::MakeLoadReport(
    const member& to, bool exact_counts) const {
  std::map<pool_name, pool_usage> loads;
  if (to.domain == config_.domain) {
    for (const auto& [name, usage] : hub_.ReportedUsage()) {
      if (name.domain != config_.domain)
        loads[name].free_slots = usage.free_slots;
    }
  }
  for (const served_pool_load& served : served_loads_) {
    pool_usage usage = ToPoolUsage(served.load);
    if (!exact_counts) usage.counts.clear();
    loads[served.name] = std::move(usage);
  }
  return loads;
}

// Records the roster epochs that a heartbeat reports, and fills in the epochs
// of the reply. The sender uses an epoch only to extend its lease, so it
// receives only those of the domains in which it owns a pool or is a previous
// owner.
void controller::ExchangeEpochs(const heartbeat& beat, heartbeat_ack& ack) {
  for (const domain_epoch& reported : beat.epochs) {
    const auto lease = leases_.find(reported.domain);
    if (lease == leases_.end()) continue;
    lease->second = radishyard::OnHeartbeat(std::move(lease->second),
                                            beat.sender, reported.epoch);
    const bool owns_or_owned = std::ranges::any_of(
        lease->second.latest_roster.pools, [&](const pool_assignment& pool) {
          return pool.owner == beat.sender ||
                 pool.previous_owner == beat.sender;
        });
    if (!owns_or_owned) continue;
    ack.epochs.push_back({reported.domain, lease->second.latest_roster.epoch});
  }
}

void controller::OnAck(const heartbeat_ack& ack) {
  const time_point now = std::chrono::steady_clock::now();
  liveness_ = RecordHeartbeat(std::move(liveness_), ack.sender);
  for (const domain_epoch& accepted : ack.epochs) {
    lease_state& lease = LeaseOf(accepted.domain);
    lease = OnAcknowledgement(
        std::move(lease), {ack.sender, FromWireMs(ack.sent_ms), accepted.epoch},
        now);
  }
}

void controller::OnHeartbeat(const heartbeat& beat) {
  const time_point now = std::chrono::steady_clock::now();
  liveness_ = RecordHeartbeat(std::move(liveness_), beat.sender);
  for (const domain_summary& summary : beat.summaries) {
    if (summary.domain != config_.domain)
      remote_summaries_ =
          RecordSummary(std::move(remote_summaries_), summary, now);
  }
  for (const domain_epoch& reported : beat.epochs) {
    const versioned_roster held = rosters_.Latest(reported.domain);
    if (reported.epoch < held.value.epoch) SendRoster(beat.sender, held);
  }
  SendVersionsIfDifferent(beat, now);
}

// If the sender's table or evacuations differ from this balancer's, sends the
// sender the version of each service and evacuation here, at most once in
// kMinTableDigestInterval. The sender replies with the records that this
// balancer lacks.
void controller::SendVersionsIfDifferent(const heartbeat& beat,
                                         time_point now) {
  if (beat.table_digest == ComputeTableDigest(table_) &&
      beat.evacuation_digest == ComputeEvacuationDigest(evacuations_))
    return;
  time_point& sent_at = digest_sent_at_[beat.sender];
  if (now - sent_at < kMinTableDigestInterval) return;
  sent_at = now;
  hub_.Send(beat.sender, table_digest{ListVersions(table_),
                                      ListEvacuationVersions(evacuations_)});
}

void controller::SendRoster(const member_id& to, const versioned_roster& held) {
  hub_.Send(to,
            roster_record{held.value.domain, held.version, ToJson(held.value)});
}

void controller::SendRecords(peer_link& link,
                             const std::vector<service_record_ptr>& records) {
  constexpr size_t kBytesPerMessage = 256 << 10;
  table_records batch;
  size_t bytes = 0;
  for (const service_record_ptr& record : records) {
    batch.records.push_back({ToRecordJson(record->value, record->edit_id),
                             record->version, record->edit_id});
    bytes += batch.records.back().value.size();
    if (bytes < kBytesPerMessage) continue;
    link.Send(std::exchange(batch, {}));
    bytes = 0;
  }
  if (!batch.records.empty()) link.Send(batch);
}

// Called when a peer has opened a link and named itself in its hello. A peer
// that is in no roster yet receives the rosters, and the next routing view
// contains it as a trusted sender, so that it can serve as an ingress before a
// roster lists it.
void controller::OnHello(peer_link& link, const member& sender) {
  const bool is_listed =
      std::ranges::any_of(rosters_.All(), [&sender](const auto& entry) {
        return FindMember(entry.second.value, sender.id) != nullptr;
      });
  if (is_listed) {
    unlisted_members_.erase(sender.id.name);
    return;
  }
  unlisted_members_[sender.id.name] = sender;
  view_outdated_ = true;
  for (const auto& [domain, held] : rosters_.All()) {
    link.Send(roster_record{domain, held.version, ToJson(held.value)});
  }
}

// Opens links to the peers from the settings. The digest is empty, so that
// these peers reply with all records.
void controller::DialSeeds() {
  if (!config_.peers.empty()) hub_.DialSeeds(config_.peers, table_digest{});
}

void controller::OnMessage(peer_link& link, const member& from,
                           const peer_message& message) {
  const time_point now = std::chrono::steady_clock::now();
  if (const auto* digest = std::get_if<table_digest>(&message)) {
    SendRecords(link, FindNewerRecords(table_, digest->services));
    SendEvacuations(link,
                    FindNewerEvacuations(evacuations_, digest->evacuations));
  } else if (const auto* records = std::get_if<table_records>(&message)) {
    for (const table_record& record : records->records) {
      ApplyServiceRecord(record.value, record.version,
                         from.domain != config_.domain);
    }
    for (const table_record& record : records->evacuations) {
      ApplyEvacuationRecord(record.value, record.version,
                            from.domain != config_.domain);
    }
  } else if (const auto* received = std::get_if<roster_record>(&message)) {
    rosters_.Apply({roster_cache::KeyOf(received->domain), received->value,
                    received->store_version});
  } else if (const auto* chunk = std::get_if<handover_chunk>(&message)) {
    const auto ownerships = PoolOwnerships();
    const auto ownership = ownerships.find({chunk->service, chunk->domain});
    handovers_.ApplyChunk(from.id, *chunk,
                          ownership == ownerships.end()
                              ? std::nullopt
                              : std::optional(ownership->second));
    view_outdated_ = true;
  } else if (const auto* ack = std::get_if<handover_ack>(&message)) {
    handovers_.ApplyAck(*ack, now);
  } else if (const auto* batch_message = std::get_if<standby_flows>(&message)) {
    // A malformed batch is dropped without a log line.
    failure why;
    if (auto batch = DecodeFlows(batch_message->flows, why))
      traffic_.RecordStandbyFlows(std::move(*batch));
  }
}

std::map<pool_name, pool_ownership> controller::PoolOwnerships() const {
  std::map<pool_name, pool_ownership> ownerships;
  for (const auto& [domain, held] : rosters_.All()) {
    for (const pool_assignment& pool : held.value.pools) {
      ownerships[{pool.service, domain}] = {pool.owner, held.value.epoch};
    }
  }
  return ownerships;
}

void controller::ApplyTrafficReport(
    const std::vector<served_pool_load>& loads,
    const std::vector<pool_name>& pools_to_hand_over) {
  served_loads_ = loads;
  handovers_.Begin(pools_to_hand_over, PoolOwnerships(),
                   std::chrono::steady_clock::now());
}

// For each pool that this balancer owns, informs the pool's successors (its
// standbys) of which upstream serves each long-lived flow, so that they can
// forward the flow's packets after a takeover. CollectFlowsForStandby selects
// the flows.
void controller::SendFlowsToStandbys(time_point now) {
  if (now < standby_due_) return;
  standby_due_ = now + kStandbyFlowsInterval;
  for (const auto& [domain, held] : rosters_.All()) {
    for (const pool_assignment& pool : held.value.pools) {
      if (pool.owner != self_.id || pool.successors.empty()) continue;
      const pool_name name{pool.service, domain};
      if (standbys_[name] != pool.successors) traffic_.ClearSentToStandby(name);
      standbys_[name] = pool.successors;
      traffic_.CollectFlowsForStandby(
          name, kMaxFlowsPerBatch,
          [this, name, to = pool.successors](flow_batch batch) {
            if (batch.flows.empty()) return;
            const standby_flows message{name.domain, name.service,
                                        EncodeFlows(std::move(batch))};
            for (const member_id& id : to) hub_.Send(id, message);
          });
    }
  }
}

}  // namespace radishyard
