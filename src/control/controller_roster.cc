// Membership, ownership and leases: decides which updates of its domain's
// roster this balancer proposes, and applies their outcome.
#include <algorithm>

#include "control/controller.h"
#include "observe/log.h"

namespace radishyard {
namespace {

// Delay before a proposal, per ProposalRank.
constexpr duration kDelayPerRank = 150ms;
// Delay after a proposal that could not reach the store.
constexpr duration kRetryDelay = 500ms;
constexpr duration kVmPollInterval = 15s;

bool HasNonIdempotentPort(const service& table) {
  return std::ranges::any_of(table.ports, [](const service_port& port) {
    return port.proto == protocol::kUdp && port.kind == port_kind::kRequest &&
           !port.idempotent;
  });
}

}  // namespace

lease_state& controller::LeaseOf(const std::string& domain) {
  const auto [entry, is_new] = leases_.try_emplace(domain);
  if (is_new) {
    entry->second.self = self_.id;
    entry->second.latest_roster.domain = domain;
    entry->second.times.lease = config_.limits.lease;
    entry->second.times.takeover_wait = config_.limits.takeover_wait;
  }
  return entry->second;
}

void controller::OnRoster(const versioned_roster& held) {
  Log(severity::kInfo, "roster_adopted",
      {{"domain", held.value.domain},
       {"epoch", held.value.epoch},
       {"version", held.version}});
  const time_point now = std::chrono::steady_clock::now();
  lease_state& lease = LeaseOf(held.value.domain);
  lease = radishyard::OnRoster(std::move(lease), held.value, held.version, now);
  for (const member& m : held.value.members) {
    if (m.id != self_.id)
      liveness_ = StartMonitoring(std::move(liveness_), m.id);
  }
  view_outdated_ = true;
  links_outdated_ = true;
  PublishIfChanged();
}

assignment_inputs controller::MakeAssignmentInputs(
    const std::set<std::string>& may_take_over, time_point now) const {
  assignment_inputs inputs;
  inputs.self = self_.id;
  inputs.alive = alive_;
  inputs.may_take_over = may_take_over;
  inputs.may_release = ServicesToRelease(leases_.at(config_.domain), now);
  for (const auto& [name, record] : table_.records) {
    const bool has_rows = std::ranges::any_of(
        record->value.upstreams,
        [this](const upstream& row) { return row.domain == config_.domain; });
    if (!record->value.deleted && has_rows) inputs.services.insert(name);
  }
  return inputs;
}

lease_inputs controller::MakeLeaseInputs() const {
  lease_inputs inputs;
  for (const auto& [name, record] : table_.records) {
    if (!record->value.deleted && HasNonIdempotentPort(record->value))
      inputs.non_idempotent_services.insert(name);
  }
  for (const member& m : leases_.at(config_.domain).latest_roster.members) {
    if (!alive_.contains(m.id)) inputs.unresponsive.insert(m.id);
  }
  return inputs;
}

// The next roster: lists this balancer in its present state, removes runs that
// have ended, and reassigns pools.
roster controller::ComputeNextRoster(const versioned_roster& held,
                                     time_point now) const {
  roster next = held.value;
  if (departure_ == departure_step::kRemovingEntry)
    return RemoveMember(next, self_.id);
  next = AddMember(next, self_);
  if (self_.leaving) next = MarkLeaving(next, self_.id);
  for (const member& m : held.value.members) {
    if (!alive_.contains(m.id) && HasVmEnded(vm_history_, m.id.name))
      next = RemoveMember(next, m.id);
  }
  const lease_action action =
      NextAction(leases_.at(config_.domain), MakeLeaseInputs(), now);
  const bool takes_over = action.type == lease_action::action_type::kTakeOver;
  const assignment_inputs inputs = MakeAssignmentInputs(
      takes_over ? action.services : std::set<std::string>{}, now);
  if (auto reassigned = ReassignPools(next, inputs)) return *reassigned;
  if (next != held.value) next.epoch = held.value.epoch + 1;
  return next;
}

void controller::ProposeRosterIfDue(time_point now) {
  if (proposing_ || rosters_.IsProposing() || now < propose_after_) return;
  const versioned_roster held = rosters_.Latest(config_.domain);
  const lease_action action =
      NextAction(leases_.at(config_.domain), MakeLeaseInputs(), now);
  if (action.type == lease_action::action_type::kResolveUpdate) {
    if (proposed_) Propose(*proposed_, now);
    return;
  }
  const roster next = ComputeNextRoster(held, now);
  if (next == held.value && action.type != lease_action::action_type::kRenew) {
    change_due_since_.reset();
    return;
  }
  if (!change_due_since_) change_due_since_ = now;
  const bool is_urgent = action.type == lease_action::action_type::kRenew ||
                         departure_ != departure_step::kNone ||
                         FindMember(held.value, self_.id) == nullptr;
  const auto rank = is_urgent ? 0
                              : static_cast<int64_t>(ProposalRank(
                                    next, MakeAssignmentInputs({}, now)));
  if (now - *change_due_since_ < rank * kDelayPerRank) return;
  change_due_since_.reset();
  Propose(next, now);
}

// Sends the update only after the traffic threads have confirmed the new
// grants. From then on they place no non-idempotent requests of the pools that
// the proposal gives to other owners.
void controller::Propose(const roster& next, time_point now) {
  lease_state& lease = LeaseOf(config_.domain);
  lease = BeginUpdate(std::move(lease), next, now);
  proposed_ = next;
  proposing_ = true;
  PublishGrants(now, [this, next] {
    rosters_.Propose(next,
                     [this, next](proposal_outcome outcome, uint64_t version) {
                       OnProposalOutcome(next, outcome, version);
                     });
  });
}

void controller::OnProposalOutcome(const roster& next, proposal_outcome outcome,
                                   uint64_t version) {
  const time_point now = std::chrono::steady_clock::now();
  proposing_ = false;
  lease_state& lease = LeaseOf(config_.domain);
  switch (outcome) {
    case proposal_outcome::kConfirmed:
      lease = OnUpdateConfirmed(std::move(lease), next, version, now);
      break;
    case proposal_outcome::kUnknown:
      lease = OnUpdateFailed(std::move(lease), update_failure::kUnknown);
      break;
    case proposal_outcome::kConflict:
      lease = OnUpdateFailed(std::move(lease), update_failure::kNotApplied);
      break;
    case proposal_outcome::kFailed:
      lease = OnUpdateFailed(std::move(lease), update_failure::kNotApplied);
      propose_after_ = now + kRetryDelay;
      break;
  }
  Log(severity::kInfo, "roster_proposed",
      {{"domain", next.domain},
       {"epoch", next.epoch},
       {"confirmed", outcome == proposal_outcome::kConfirmed ? "yes" : "no"}});
}

void controller::PollVms(time_point now) {
  if (now < vms_due_ || !store_reachable_) return;
  vms_due_ = now + kVmPollInterval;
  store_.ListVms(
      [this](std::optional<std::vector<vm_entry>> list, const failure&) {
        if (list)
          vm_history_ = RecordVmList(std::move(vm_history_), *list,
                                     std::chrono::steady_clock::now());
      });
}

}  // namespace radishyard
