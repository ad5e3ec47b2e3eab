// The control loop, the table, and publication to the traffic threads.
#include "control/controller.h"

#include <algorithm>

#include "observe/log.h"
#include "roster/link_topology.h"
#include "table/table_json.h"

namespace radishyard {
namespace {

constexpr duration kTickInterval = 50ms;
// A leaving balancer that owns no pool any more still forwards the packets that
// the fabric sends to it for this time.
constexpr duration kDepartureDelay = 2s;
/// A balancer goes on watching the store for this long after its roster has
/// listed it, or others have become the delegates. The roster changes several
/// times while balancers are replaced one after the other.
constexpr duration kWatchAfterListing = 30s;

member MakeSelf(const settings& config, uint64_t incarnation) {
  member self;
  self.id = {config.name, incarnation};
  self.domain = config.domain;
  self.size = config.size;
  self.data = config.data;
  self.data_threads = config.data_threads;
  self.control = config.control;
  self.admin = config.admin;
  return self;
}

}  // namespace

controller::controller(asio::io_context& io, object_store& store,
                       const settings& config, uint64_t incarnation,
                       traffic_control& traffic)
    : tick_(io),
      store_(store),
      config_(config),
      self_(MakeSelf(config, incarnation)),
      traffic_(traffic),
      rosters_(io, store,
               [this](const versioned_roster& held) { OnRoster(held); }),
      follower_(
          io, store,
          [this](const stored_object& object) { ApplyObject(object); },
          [this](bool reachable) { OnStoreReachability(reachable); }),
      hub_(io, self_, config.limits.heartbeat_interval, MakeHubHandlers()),
      handovers_(self_.id, MakeHandoverHandlers()) {
  liveness_.self = self_.id;
  liveness_.times.interval = config.limits.heartbeat_interval;
  alive_.insert(self_.id);
  LeaseOf(config.domain);
}

void controller::Start() {
  started_at_ = std::chrono::steady_clock::now();
  follower_.Start();
  DialSeeds();
  WaitForTick();
}

void controller::WaitForTick() {
  tick_.expires_after(kTickInterval);
  tick_.async_wait([this](error_code error) {
    if (error) return;
    Tick(std::chrono::steady_clock::now());
    WaitForTick();
  });
}

void controller::Tick(time_point now) {
  UpdateLiveness(now);
  UpdateLinks();
  UpdateStoreWatch(now);
  PollVms(now);
  ProposeRosterIfDue(now);
  PublishIfChanged();
  PublishGrants(now);
  hub_.Tick(now);
  handovers_.Tick(now);
  SendFlowsToStandbys(now);
  ContinueDeparture(now);
}

void controller::ApplyObject(const stored_object& object) {
  if (object.key.starts_with(kServiceKeyPrefix))
    ApplyServiceRecord(object.value, object.version, true);
  if (object.key.starts_with(kEvacuationKeyPrefix))
    ApplyEvacuationObject(object);
  if (object.key.starts_with("rosters/") && rosters_.Apply(object)) {
    hub_.SendAll(roster_record{object.key.substr(sizeof("rosters/") - 1),
                               object.version, object.value});
  }
}

// Applies a record if it is newer, and forwards it: a record from the store to
// all peers, one from another domain to the peers of this domain.
void controller::ApplyServiceRecord(const std::string& value, uint64_t version,
                                    bool forward) {
  findings found;
  std::optional<service_record> record = ParseRecord(value, version, found);
  if (!record) {
    Log(severity::kWarn, "service_malformed",
        {{"version", version}, {"findings", found.Text()}});
    return;
  }
  const std::string name = record->value.name;
  const std::string edit_id = record->edit_id;
  if (ApplyRecord(table_, std::move(*record), found) != apply_result::kApplied)
    return;
  Log(severity::kInfo, "service_adopted",
      {{"service", name}, {"version", version}, {"findings", found.Text()}});
  view_outdated_ = true;
  if (forward) hub_.SendAll(table_records{{{value, version, edit_id}}});
}

void controller::OnStoreReachability(bool reachable) {
  if (reachable == store_reachable_) return;
  store_reachable_ = reachable;
  Log(reachable ? severity::kInfo : severity::kWarn, "platform_contact",
      {{"reachable", reachable ? "yes" : "no"}});
}

// Only the delegates of a domain, and balancers that its roster does not list
// yet or has listed lately, watch the store. The other balancers receive the
// objects from peers.
void controller::UpdateStoreWatch(time_point now) {
  if (IsDelegate() ||
      FindMember(rosters_.Latest(config_.domain).value, self_.id) == nullptr) {
    watch_until_ = now + kWatchAfterListing;
  }
  now < watch_until_ ? follower_.Start() : follower_.Stop();
}

void controller::PublishIfChanged() {
  if (!std::exchange(view_outdated_, false)) return;
  routing_view_inputs inputs;
  inputs.self = self_.id;
  for (const auto& [domain, held] : rosters_.All()) {
    inputs.rosters[domain] = held.value;
    for (const pool_assignment& pool : held.value.pools) {
      const pool_name name{pool.service, domain};
      if (handovers_.IsComplete(name, pool.since_epoch))
        inputs.completed_handovers.insert(name);
    }
  }
  inputs.alive = alive_;
  for (const auto& [name, unlisted] : unlisted_members_)
    inputs.unlisted_members.push_back(unlisted);
  inputs.unserved_domains = unserved_domains_;
  inputs.evacuated_domains = EvacuatedDomains(evacuations_);
  inputs.fabric = config_.fabric;
  inputs.trace_one_in = config_.trace.sample_one_in;
  const auto view =
      std::make_shared<const routing_view>(BuildRoutingView(table_, inputs));
  traffic_.PublishView(view);
  InheritCounts(*view);
}

// Initializes the counts of each pool that this balancer starts to serve from
// the last report of its previous owner.
void controller::InheritCounts(const routing_view& view) {
  std::set<pool_name> now_served;
  for (const pool_route& route : view.pools) {
    if (route.role != pool_role::kNone) now_served.insert(route.name);
  }
  for (const pool_name& name : now_served) {
    const auto reported = hub_.ReportedUsage().find(name);
    if (served_pools_.contains(name) || reported == hub_.ReportedUsage().end())
      continue;
    std::vector<upstream_load> counts;
    for (const upstream_usage& up : reported->second.counts)
      counts.push_back({up.address, up.connections, up.slots});
    traffic_.SetInheritedLoads(name, std::move(counts));
  }
  served_pools_ = std::move(now_served);
}

std::map<pool_name, time_point> controller::NonIdempotentDeadlines(
    time_point now) const {
  std::map<pool_name, time_point> deadlines;
  for (const auto& [domain, lease] : leases_) {
    for (const pool_assignment& pool : lease.latest_roster.pools) {
      const auto until = NonIdempotentDeadline(lease, pool.service, now);
      if (until) deadlines[{pool.service, domain}] = *until;
    }
  }
  return deadlines;
}

void controller::PublishGrants(time_point now, std::function<void()> done) {
  traffic_grants grants;
  grants.lease_deadlines = NonIdempotentDeadlines(now);
  for (const auto& [name, counts] : hub_.ReportedUsage()) {
    if (counts.free_slots > 0) grants.free_slots[name] = counts.free_slots;
  }
  traffic_.SetGrants(grants, std::move(done));
}

void controller::Leave(std::function<void()> done) {
  self_.leaving = true;
  departure_ = departure_step::kHandingOver;
  on_left_ = std::move(done);
}

void controller::ContinueDeparture(time_point now) {
  switch (departure_) {
    case departure_step::kNone:
      return;
    case departure_step::kHandingOver:
      if (!OwnsNothing() || !handovers_.HasNoOutgoing()) return;
      departure_ = departure_step::kForwarding;
      forward_until_ = now + kDepartureDelay;
      return;
    case departure_step::kForwarding:
      if (now >= forward_until_) departure_ = departure_step::kRemovingEntry;
      return;
    case departure_step::kRemovingEntry:
      if (FindMember(rosters_.Latest(config_.domain).value, self_.id) !=
          nullptr)
        return;
      if (on_left_) std::exchange(on_left_, nullptr)();
      return;
  }
}

bool controller::OwnsNothing() const {
  for (const auto& [domain, held] : rosters_.All()) {
    for (const pool_assignment& pool : held.value.pools) {
      if (pool.owner == self_.id) return false;
    }
  }
  return true;
}

}  // namespace radishyard
