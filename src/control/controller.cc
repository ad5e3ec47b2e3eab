// Control loop: events from the store, a tick, and proposals.
#include "control/controller.h"

#include <algorithm>

#include "observe/log.h"
#include "roster/assign.h"
#include "table/table_json.h"

namespace radishyard {
namespace {

constexpr duration kTick = 50ms;
constexpr duration kProposalSpacing = 150ms;  // Wait per rank before proposing.
constexpr std::string_view kRosterPrefix = "rosters/";

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
                       publish_handler publish)
    : tick_(io),
      config_(config),
      self_(MemberOf(config, incarnation)),
      publish_(std::move(publish)),
      rosters_(io, store, [this](const held_roster& held) { OnRoster(held); }),
      follower_(
          io, store,
          [this](const stored_object& object) { TakeObject(object); },
          [this](bool reachable) { OnContact(reachable); }) {
  alive_.insert(self_.id);
}

void controller::Start() {
  follower_.Start();
  WaitForTick();
}

void controller::Leave(std::function<void()> done) {
  self_.leaving = true;
  left_ = std::move(done);
}

void controller::TakeObject(const stored_object& object) {
  if (object.key.starts_with(kServicePrefix)) TakeService(object);
  if (object.key.starts_with(kRosterPrefix)) rosters_.Take(object);
}

void controller::TakeService(const stored_object& object) {
  findings found;
  std::optional<service_record> record =
      ParseRecord(object.value, object.version, found);
  if (!record) {
    Log(severity::kWarn, "service_malformed",
        {{"key", object.key},
         {"version", object.version},
         {"findings", found.Text()}});
    return;
  }
  const std::string name = record->value.name;
  if (Adopt(table_, std::move(*record), found) != adoption::kAdopted) return;
  Log(severity::kInfo, "service_adopted",
      {{"service", name},
       {"version", object.version},
       {"findings", found.Text()}});
  changed_ = true;
}

void controller::OnRoster(const held_roster& held) {
  Log(severity::kInfo, "roster_adopted",
      {{"domain", held.value.domain},
       {"epoch", held.value.epoch},
       {"version", held.version}});
  for (const member& m : held.value.members) alive_.insert(m.id);
  changed_ = true;
}

void controller::OnContact(bool reachable) {
  if (reachable == store_reachable_) return;
  store_reachable_ = reachable;
  Log(reachable ? severity::kInfo : severity::kWarn, "platform_contact",
      {{"reachable", reachable ? "yes" : "no"}});
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
  ConsiderRoster(now);
  PublishIfChanged();
  if (left_ && ServesNothing()) std::exchange(left_, nullptr)();
}

assign_view controller::AssignView() const {
  assign_view view;
  view.self = self_.id;
  view.alive = alive_;
  for (const auto& [name, record] : table_.records) {
    const service& table = record->value;
    const bool has_rows = std::ranges::any_of(
        table.upstreams,
        [this](const upstream& row) { return row.domain == config_.domain; });
    if (!table.deleted && has_rows) view.services.insert(name);
  }
  return view;
}

// The roster with this balancer listed, as it should be listed.
roster controller::NextRoster(const held_roster& held) const {
  roster next = Join(held.value, self_);
  if (self_.leaving) next = MarkLeaving(next, self_.id);
  return next;
}

void controller::ConsiderRoster(time_point now) {
  if (rosters_.IsProposing() || !store_reachable_) return;
  const held_roster held = rosters_.Of(config_.domain);
  roster next = NextRoster(held);
  const assign_view view = AssignView();
  if (auto reassigned = Reassign(next, view)) next = std::move(*reassigned);
  if (next == held.value) {
    change_due_since_.reset();
    return;
  }
  if (!change_due_since_) change_due_since_ = now;
  const bool lists_self = FindMember(held.value, self_.id) != nullptr;
  const duration wait =
      lists_self
          ? static_cast<int64_t>(ProposalRank(next, view)) * kProposalSpacing
          : duration{};
  if (now - *change_due_since_ < wait) return;
  change_due_since_.reset();
  next.epoch = held.value.epoch + 1;
  rosters_.Propose(next, now, [](proposal_end end, time_point) {
    Log(severity::kInfo, "roster_proposal",
        {{"confirmed", end == proposal_end::kConfirmed ? "yes" : "no"}});
  });
}

void controller::PublishIfChanged() {
  if (!std::exchange(changed_, false)) return;
  view_inputs inputs;
  inputs.self = self_.id;
  for (const auto& [domain, held] : rosters_.All())
    inputs.rosters[domain] = held.value;
  inputs.alive = alive_;
  inputs.fabric = config_.fabric;
  inputs.trace_one_in = config_.trace.sample_one_in;
  publish_(std::make_shared<const routing_view>(BuildView(table_, inputs)));
}

bool controller::ServesNothing() const {
  const held_roster held = rosters_.Of(config_.domain);
  return std::ranges::none_of(
      held.value.pools,
      [this](const pool_assignment& pool) { return pool.owner == self_.id; });
}

}  // namespace radishyard
