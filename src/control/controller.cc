// The control loop, the table, and what the traffic threads are told.
#include "control/controller.h"

#include <algorithm>

#include "observe/log.h"
#include "roster/link_topology.h"
#include "table/table_json.h"

namespace radishyard {
namespace {

constexpr duration kTick = 50ms;
constexpr duration kLinger =
    2s;  // A leaving balancer still forwards what the fabric sends it.

member MemberOf(const settings& config, uint64_t incarnation) {
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
      self_(MemberOf(config, incarnation)),
      traffic_(traffic),
      rosters_(io, store, [this](const held_roster& held) { OnRoster(held); }),
      follower_(
          io, store,
          [this](const stored_object& object) { TakeObject(object); },
          [this](bool reachable) { OnContact(reachable); }),
      hub_(io, self_, config.limits.heartbeat, HubHandlers()),
      handovers_(self_.id, HandoverHandlers()) {
  liveness_.self = self_.id;
  liveness_.times.interval = config.limits.heartbeat;
  alive_.insert(self_.id);
  Lease(config.domain);
}

void controller::Start() {
  started_at_ = std::chrono::steady_clock::now();
  follower_.Start();
  DialSeeds();
  WaitForTick();
}

void controller::WaitForTick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](error_code error) {
    if (error) return;
    Tick(std::chrono::steady_clock::now());
    WaitForTick();
  });
}

void controller::Tick(time_point now) {
  UpdateLiveness(now);
  UpdateLinks();
  FollowIfWatcher();
  PollVms(now);
  ConsiderRoster(now);
  PublishIfChanged();
  PublishGrants(now);
  hub_.Tick(now);
  handovers_.Tick(now);
  TellStandbys(now);
  ContinueLeaving(now);
}

void controller::TakeObject(const stored_object& object) {
  if (object.key.starts_with(kServiceKeyPrefix))
    TakeService(object.value, object.version, true);
  if (object.key.starts_with("rosters/") && rosters_.Take(object)) {
    hub_.SendAll(roster_record{object.key.substr(sizeof("rosters/") - 1),
                               object.version, object.value});
  }
}

// Adopts a record and passes it on: what came from the store goes to all peers,
// what came from another domain to the peers of the own one.
void controller::TakeService(const std::string& value, uint64_t version,
                             bool pass_on) {
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
  changed_ = true;
  if (pass_on) hub_.SendAll(table_records{{{value, version, edit_id}}});
}

void controller::OnContact(bool reachable) {
  if (reachable == store_reachable_) return;
  store_reachable_ = reachable;
  Log(reachable ? severity::kInfo : severity::kWarn, "platform_contact",
      {{"reachable", reachable ? "yes" : "no"}});
}

// Few balancers of a domain watch the store; the others learn from them.
void controller::FollowIfWatcher() {
  if (IsDelegate() ||
      FindMember(rosters_.Of(config_.domain).value, self_.id) == nullptr) {
    follower_.Start();
  } else {
    follower_.Stop();
  }
}

void controller::PublishIfChanged() {
  if (!std::exchange(changed_, false)) return;
  routing_view_inputs inputs;
  inputs.self = self_.id;
  for (const auto& [domain, held] : rosters_.All()) {
    inputs.rosters[domain] = held.value;
    for (const pool_assignment& pool : held.value.pools) {
      const pool_name name{pool.service, domain};
      if (handovers_.IsComplete(name, pool.since_epoch))
        inputs.handed_over.insert(name);
    }
  }
  inputs.alive = alive_;
  for (const auto& [name, who] : strangers_) inputs.strangers.push_back(who);
  inputs.abandoned = abandoned_;
  inputs.fabric = config_.fabric;
  inputs.trace_one_in = config_.trace.sample_one_in;
  const auto view =
      std::make_shared<const routing_view>(BuildRoutingView(table_, inputs));
  traffic_.PublishView(view);
  InheritCounts(*view);
}

// A pool that is served here from now on starts from the counts that its owner
// reported last.
void controller::InheritCounts(const routing_view& view) {
  std::set<pool_name> serving;
  for (const pool_route& route : view.pools) {
    if (route.role != pool_role::kNone) serving.insert(route.name);
  }
  for (const pool_name& name : serving) {
    const auto reported = hub_.Reported().find(name);
    if (serving_.contains(name) || reported == hub_.Reported().end()) continue;
    std::vector<upstream_load> counts;
    for (const upstream_usage& up : reported->second.counts)
      counts.push_back({up.address, up.connections, up.slots});
    traffic_.SetInheritedLoads(name, std::move(counts));
  }
  serving_ = std::move(serving);
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
  for (const auto& [name, counts] : hub_.Reported()) {
    if (counts.free_slots > 0) grants.free_slots[name] = counts.free_slots;
  }
  traffic_.SetGrants(grants, std::move(done));
}

void controller::Leave(std::function<void()> done) {
  self_.leaving = true;
  leaving_ = leave_step::kHandingOver;
  left_ = std::move(done);
}

void controller::ContinueLeaving(time_point now) {
  switch (leaving_) {
    case leave_step::kNone:
      return;
    case leave_step::kHandingOver:
      if (!OwnsNothing() || !handovers_.IsIdle()) return;
      leaving_ = leave_step::kLingering;
      linger_until_ = now + kLinger;
      return;
    case leave_step::kLingering:
      if (now >= linger_until_) leaving_ = leave_step::kUnlisting;
      return;
    case leave_step::kUnlisting:
      if (FindMember(rosters_.Of(config_.domain).value, self_.id) != nullptr)
        return;
      if (left_) std::exchange(left_, nullptr)();
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
