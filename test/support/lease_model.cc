// The steps of the model, and the hash that identifies equivalent states.
#include "support/lease_model.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace radishyard {
namespace {

constexpr size_t kMaxMessages = 2;
constexpr uint64_t kMaxVersions = 5;
const std::string kPool = "p";

// Copies node `i`, which other states may share, and returns the copy for
// changes.
model_node& MutableNode(model_state& w, size_t i) {
  const auto copy = std::make_shared<model_node>(*w.nodes[i]);
  w.nodes[i] = copy;
  return *copy;
}

member MakeMember(const member_id& id) {
  member m;
  m.id = id;
  return m;
}

// Hashes what later steps depend on. Points in time are hashed as ages, clamped
// to the range in which they make a difference.
class state_hasher {
 public:
  explicit state_hasher(const model_state& w) : now_(w.now) {
    text_.reserve(1024);
    // A step reads at most the two latest rosters.
    const size_t versions = w.store.size();
    AddNumber(static_cast<int64_t>(versions));
    for (size_t v = versions - std::min<size_t>(versions, 2); v < versions;
         ++v) {
      Add(*w.store[v]);
    }
    for (const auto& n : w.nodes) Add(*n);
    AddNumber(w.faults);
    std::vector<std::string> messages;
    for (const model_message& m : w.messages) {
      const size_t begin = text_.size();
      Add(m);
      messages.push_back(text_.substr(begin));
      text_.resize(begin);
    }
    std::ranges::sort(messages);
    for (const std::string& text : messages) text_ += text;
  }
  uint64_t Hash() const { return XXH3_64bits(text_.data(), text_.size()); }

 private:
  void AddNumber(int64_t n) { text_ += static_cast<char>(n); }
  void AddAge(time_point t) {
    AddNumber(std::clamp<int64_t>((now_ - t) / kTick, -3, 4));
  }
  void Add(const member_id& id) {
    text_ += id.name;
    AddNumber(static_cast<int64_t>(id.incarnation));
  }
  void Add(const roster& r) {
    AddNumber(static_cast<int64_t>(r.epoch));
    for (const member& m : r.members) {
      Add(m.id);
      AddNumber(m.leaving);
    }
    for (const pool_assignment& p : r.pools) {
      Add(p.owner);
      for (const member_id& id : p.successors) Add(id);
      AddNumber(static_cast<int64_t>(p.since_epoch));
      AddNumber(static_cast<int64_t>(p.successors_epoch));
      AddNumber(p.released);
    }
    text_ += ";";
  }
  void Add(const model_node& n) {
    const lease_state& s = n.lease;
    Add(s.self);
    AddNumber(static_cast<int64_t>(s.version));
    for (const auto& [id, at] : s.acknowledged_at) {
      Add(id);
      AddAge(at);
    }
    text_ += "/";
    for (const auto& [id, epoch] : s.reported_epoch) {
      Add(id);
      AddNumber(static_cast<int64_t>(epoch));
    }
    text_ += "/";
    for (const auto& [service, at] : s.placement_allowed_at)
      AddAge(std::max(at, now_));
    text_ += "/";
    if (s.renewed_at) AddAge(*s.renewed_at);
    if (s.pending) {
      text_ += s.pending->outcome_unknown ? "u" : "p";
      AddAge(s.pending->sent_at);
      AddNumber(static_cast<int64_t>(s.pending->base_version));
      AddNumber(static_cast<int64_t>(s.pending->relinquished_services.size()));
    }
    if (n.proposal) Add(*n.proposal);
    text_ += ";";
  }
  void Add(const model_message& m) {
    AddNumber(static_cast<int64_t>(m.type));
    AddNumber(static_cast<int64_t>(m.from * kNodes + m.to));
    Add(m.ack.from);
    AddAge(m.ack.sent_at);
    AddNumber(static_cast<int64_t>(m.ack.epoch));
    AddNumber(static_cast<int64_t>(m.base_version));
    if (m.proposed_roster) Add(*m.proposed_roster);
  }

  time_point now_;
  std::string text_;
};

// Lists all steps that are possible in one state.
class step_generator {
 public:
  step_generator(const model_state& w, const rule_variant& v) : w_(w), v_(v) {}

  std::vector<model_step> ListAll() {
    model_state later = w_;
    later.now += kTick;
    AddStep("time passes", std::move(later));
    for (size_t i = 0; i < kNodes; ++i) {
      AddHeartbeatSteps(i);
      AddReadSteps(i);
      AddProposalSteps(i);
      AddRestartStep(i);
    }
    for (size_t k = 0; k < w_.messages.size(); ++k) AddDeliveryStep(k);
    return std::move(steps_);
  }

 private:
  void AddStep(std::string name, model_state next, int faults = 0) {
    next.faults += faults;
    if (next.faults > v_.max_faults) return;
    steps_.push_back({std::move(name), std::move(next)});
  }
  const lease_state& Lease(size_t i) const { return w_.nodes[i]->lease; }
  const std::string& Name(size_t i) const { return Lease(i).self.name; }

  // Heartbeats of the owner, either acknowledged at once or left in transit.
  void AddHeartbeatSteps(size_t i) {
    const pool_assignment* pool = FindPool(Lease(i).latest_roster, kPool);
    if (pool == nullptr || pool->owner != Lease(i).self) return;
    for (size_t j = 0; j < kNodes; ++j) {
      const bool is_successor =
          std::ranges::find(pool->successors, Lease(j).self) !=
          pool->successors.end();
      if (!is_successor) continue;
      model_message m;
      m.from = i;
      m.to = j;
      m.ack = {Lease(i).self, w_.now, Lease(i).latest_roster.epoch};
      model_state completed = w_;
      ApplyAcknowledgement(completed, ApplyHeartbeat(completed, m));
      AddStep(Name(i) + " heartbeat acknowledged by " + Name(j), completed);
      if (w_.messages.size() == kMaxMessages) continue;
      model_state sent = w_;
      sent.messages.push_back(m);
      AddStep(Name(i) + " sends heartbeat to " + Name(j), std::move(sent), 1);
    }
  }

  static model_message ApplyHeartbeat(model_state& w, const model_message& m) {
    lease_state& lease = MutableNode(w, m.to).lease;
    lease = OnHeartbeat(std::move(lease), m.ack.from, m.ack.epoch);
    model_message ack{model_message::kind::kAck, m.to, m.from, {}, 0, {}};
    ack.ack = {lease.self, m.ack.sent_at, lease.latest_roster.epoch};
    return ack;
  }

  void ApplyAcknowledgement(model_state& w, const model_message& m) const {
    lease_state& lease = MutableNode(w, m.to).lease;
    acknowledgement ack = m.ack;
    if (v_.ignores_epoch) ack.epoch = 0;
    lease = OnAcknowledgement(std::move(lease), ack, w.now);
  }

  // Reads of the latest roster, or of the previous one as a stale read.
  void AddReadSteps(size_t i) {
    const uint64_t latest = w_.store.size();
    for (uint64_t v = latest; v + 1 >= latest && v > 0; --v) {
      model_state w = w_;
      ApplyStoredRoster(w, i, v);
      if (*w.nodes[i] != *w_.nodes[i])
        AddStep(Name(i) + (v == latest ? " reads" : " reads stale"),
                std::move(w), v != latest);
    }
  }

  void ApplyStoredRoster(model_state& w, size_t i, uint64_t version) const {
    model_node& n = MutableNode(w, i);
    n.lease =
        OnRoster(std::move(n.lease), *w.store[version - 1], version, w.now);
    if (v_.treats_unknown_as_failed && n.lease.pending &&
        n.lease.pending->outcome_unknown) {
      n.lease.pending.reset();
    }
    if (!n.lease.pending) n.proposal.reset();
  }

  void AddProposalSteps(size_t i) {
    const lease_state& lease = Lease(i);
    const bool has_room = w_.store.size() < kMaxVersions;
    if (!has_room || lease.version == 0) return;
    if (lease.pending) {
      const bool is_same_base = lease.pending->base_version == lease.version;
      if (lease.pending->outcome_unknown && is_same_base)
        AddUpdateSteps(i, *w_.nodes[i]->proposal, "again");
      return;
    }
    std::vector<roster> seen;
    for (size_t unreachable = 0; unreachable < (1U << kNodes); ++unreachable) {
      if (unreachable & (1U << i)) continue;
      const std::optional<roster> next = ReassignPools(
          lease.latest_roster, MakeAssignmentInputs(i, unreachable));
      if (!next || std::ranges::find(seen, *next) != seen.end()) continue;
      seen.push_back(*next);
      AddUpdateSteps(i, *next, "reassigns without " + ListNames(unreachable));
    }
    AddLeaveStep(i);
    if (FindMember(lease.latest_roster, lease.self) == nullptr) {
      AddUpdateSteps(i, AddMember(lease.latest_roster, MakeMember(lease.self)),
                     "joins");
    }
    const pool_assignment* pool = FindPool(lease.latest_roster, kPool);
    if (pool != nullptr && pool->owner == lease.self) {
      AddUpdateSteps(i, lease.latest_roster, "renews");
    }
  }

  assignment_inputs MakeAssignmentInputs(size_t i, size_t unreachable) const {
    assignment_inputs view;
    view.self = Lease(i).self;
    view.services = {kPool};
    for (size_t j = 0; j < kNodes; ++j) {
      if (!(unreachable & (1U << j))) view.alive.insert(Lease(j).self);
    }
    view.may_take_over = ServicesToTakeOver(Lease(i));
    view.may_release = ServicesToRelease(Lease(i), w_.now);
    if (v_.ignores_eligibility) view.may_take_over = {kPool};
    if (v_.releases_while_waiting) view.may_release = {kPool};
    return view;
  }

  std::string ListNames(size_t set) const {
    std::string names;
    for (size_t j = 0; j < kNodes; ++j) {
      if (set & (1U << j)) names += Name(j);
    }
    return names.empty() ? "none" : names;
  }

  void AddLeaveStep(size_t i) {
    const roster marked = MarkLeaving(Lease(i).latest_roster, Lease(i).self);
    if (marked == Lease(i).latest_roster) return;
    const std::optional<roster> next =
        ReassignPools(marked, MakeAssignmentInputs(i, 0));
    if (next) AddUpdateSteps(i, *next, "leaves");
  }

  // A roster update with one of three outcomes: applied or rejected with a
  // response, left in transit with an unknown outcome, or applied with the
  // response lost.
  void AddUpdateSteps(size_t i, const roster& next, const std::string& action) {
    model_state sent = w_;
    model_node& n = MutableNode(sent, i);
    // With `places_while_releasing`, the lease does not see which pools the
    // update gives away.
    const bool conceals_release = v_.places_while_releasing;
    const roster recorded = conceals_release ? n.lease.latest_roster : next;
    n.lease = BeginUpdate(std::move(n.lease), recorded, sent.now);
    n.proposal = std::make_shared<roster>(next);
    model_message put{model_message::kind::kPut, i,         i, {},
                      n.lease.version,           n.proposal};
    const std::string name = Name(i) + " " + action;
    model_state completed = sent;
    const bool is_applied = ApplyPut(completed, put);
    ApplyPutResult(completed, i, is_applied);
    AddStep(name, std::move(completed));
    model_state lost = sent;
    MarkOutcomeUnknown(lost, i);
    if (w_.messages.size() < kMaxMessages) {
      model_state in_transit = lost;
      in_transit.messages.push_back(put);
      AddStep(name + ", in transit", std::move(in_transit), 1);
    }
    if (ApplyPut(lost, put))
      AddStep(name + ", response lost", std::move(lost), 1);
  }

  static bool ApplyPut(model_state& w, const model_message& put) {
    if (w.store.size() != put.base_version) return false;
    w.store.push_back(put.proposed_roster);
    return true;
  }

  static void ApplyPutResult(model_state& w, size_t i, bool is_applied) {
    model_node& n = MutableNode(w, i);
    if (is_applied) {
      n.lease = OnUpdateConfirmed(std::move(n.lease), *n.proposal,
                                  w.store.size(), w.now);
    } else {
      n.lease = OnUpdateFailed(std::move(n.lease), update_failure::kNotApplied);
    }
    if (!n.lease.pending) n.proposal.reset();
  }

  static void MarkOutcomeUnknown(model_state& w, size_t i) {
    lease_state& lease = MutableNode(w, i).lease;
    lease = OnUpdateFailed(std::move(lease), update_failure::kUnknown);
  }

  void AddRestartStep(size_t i) {
    for (const auto& n : w_.nodes) {
      if (n->lease.self.incarnation > 1) return;
    }
    model_state w = w_;
    lease_state restarted;
    restarted.times = v_.times;
    restarted.self = {Name(i), 2};
    MutableNode(w, i) = {restarted, {}};
    std::erase_if(w.messages, [&](const model_message& m) {
      return m.to == i && m.type != model_message::kind::kPut;
    });
    AddStep(Name(i) + " restarts", std::move(w), 1);
  }

  void AddDeliveryStep(size_t k) {
    model_state w = w_;
    const model_message m = w.messages[k];
    w.messages.erase(w.messages.begin() + static_cast<ptrdiff_t>(k));
    if (m.type == model_message::kind::kPut) {
      const bool is_applied = ApplyPut(w, m);
      AddStep(Name(m.from) + (is_applied ? " late update applied"
                                         : " late update conflicts"),
              std::move(w));
    } else if (m.type == model_message::kind::kAck) {
      ApplyAcknowledgement(w, m);
      AddStep(Name(m.to) + " receives a late acknowledgement", std::move(w));
    } else {
      w.messages.push_back(ApplyHeartbeat(w, m));
      AddStep(Name(m.to) + " receives a late heartbeat", std::move(w));
    }
  }

  const model_state& w_;
  const rule_variant& v_;
  std::vector<model_step> steps_;
};

}  // namespace

bool MayPlace(const model_state& w, size_t i) {
  return NonIdempotentDeadline(w.nodes[i]->lease, kPool, w.now).has_value();
}

bool HasTwoPlacers(const model_state& w) {
  size_t placers = 0;
  for (size_t i = 0; i < kNodes; ++i) placers += MayPlace(w, i);
  return placers > 1;
}

model_state MakeInitialState(const rule_variant& v, bool two_successors) {
  model_state w;
  roster r{"", 1, {}, {}};
  const std::vector<member_id> ids = {{"a", 1}, {"b", 1}, {"c", 1}};
  for (const member_id& id : ids) r.members.push_back(MakeMember(id));
  pool_assignment pool{kPool, ids[0], {ids[1]}, {}, 1, 1, false};
  if (two_successors) pool.successors.push_back(ids[2]);
  r.pools.push_back(pool);
  w.store.push_back(std::make_shared<roster>(r));
  for (const member_id& id : ids) {
    model_node n;
    n.lease.times = v.times;
    n.lease.self = id;
    n.lease = OnRoster(std::move(n.lease), r, 1, w.now - v.times.takeover_wait);
    w.nodes.push_back(std::make_shared<model_node>(std::move(n)));
  }
  for (size_t j = 1; j <= pool.successors.size(); ++j) {
    lease_state& peer = MutableNode(w, j).lease;
    peer = OnHeartbeat(std::move(peer), ids[0], 1);
    lease_state& owner = MutableNode(w, 0).lease;
    owner = OnAcknowledgement(std::move(owner), {ids[j], w.now, 1}, w.now);
  }
  return w;
}

std::vector<model_step> ListSteps(const model_state& w, const rule_variant& v) {
  return step_generator(w, v).ListAll();
}

uint64_t HashState(const model_state& w) { return state_hasher(w).Hash(); }

}  // namespace radishyard
