// Steps of the model, and what makes two of its states the same.
#include "support/lease_model.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace radishyard {
namespace {

constexpr size_t kMostMessages = 2;
constexpr uint64_t kMostVersions = 5;
const std::string kPool = "p";

// The node's own copy in this state.
model_node& Change(model_state& w, size_t i) {
  const auto copy = std::make_shared<model_node>(*w.nodes[i]);
  w.nodes[i] = copy;
  return *copy;
}

member MemberOf(const member_id& id) {
  member m;
  m.id = id;
  return m;
}

// Hashes what the future depends on: spans instead of instants, cut off where
// they make no difference any more.
class fingerprint {
 public:
  explicit fingerprint(const model_state& w) : now_(w.now) {
    text_.reserve(1024);
    // Only the two latest rosters are ever read.
    const size_t versions = w.store.size();
    Number(static_cast<int64_t>(versions));
    for (size_t v = versions - std::min<size_t>(versions, 2); v < versions;
         ++v) {
      Add(*w.store[v]);
    }
    for (const auto& n : w.nodes) Add(*n);
    Number(w.faults);
    std::vector<std::string> net;
    for (const model_message& m : w.net) {
      const size_t begin = text_.size();
      Add(m);
      net.push_back(text_.substr(begin));
      text_.resize(begin);
    }
    std::ranges::sort(net);
    for (const std::string& text : net) text_ += text;
  }
  uint64_t Hash() const { return XXH3_64bits(text_.data(), text_.size()); }

 private:
  void Number(int64_t n) { text_ += static_cast<char>(n); }
  void Age(time_point t) {
    Number(std::clamp<int64_t>((now_ - t) / kTick, -3, 4));
  }
  void Add(const member_id& id) {
    text_ += id.name;
    Number(static_cast<int64_t>(id.incarnation));
  }
  void Add(const roster& r) {
    Number(static_cast<int64_t>(r.epoch));
    for (const member& m : r.members) {
      Add(m.id);
      Number(m.leaving);
    }
    for (const pool_assignment& p : r.pools) {
      Add(p.owner);
      for (const member_id& id : p.successors) Add(id);
      Number(static_cast<int64_t>(p.since_epoch));
      Number(static_cast<int64_t>(p.successors_epoch));
      Number(p.released);
    }
    text_ += ";";
  }
  void Add(const model_node& n) {
    const lease_state& s = n.lease;
    Add(s.self);
    Number(static_cast<int64_t>(s.version));
    for (const auto& [id, at] : s.acknowledged_at) {
      Add(id);
      Age(at);
    }
    text_ += "/";
    for (const auto& [id, epoch] : s.reported_epoch) {
      Add(id);
      Number(static_cast<int64_t>(epoch));
    }
    text_ += "/";
    for (const auto& [service, at] : s.placement_allowed_at)
      Age(std::max(at, now_));
    text_ += "/";
    if (s.renewed_at) Age(*s.renewed_at);
    if (s.pending) {
      text_ += s.pending->outcome_unknown ? "u" : "p";
      Age(s.pending->sent_at);
      Number(static_cast<int64_t>(s.pending->base_version));
      Number(static_cast<int64_t>(s.pending->relinquished_services.size()));
    }
    if (n.proposal) Add(*n.proposal);
    text_ += ";";
  }
  void Add(const model_message& m) {
    Number(static_cast<int64_t>(m.what));
    Number(static_cast<int64_t>(m.from * kNodes + m.to));
    Add(m.ack.from);
    Age(m.ack.sent_at);
    Number(static_cast<int64_t>(m.ack.epoch));
    Number(static_cast<int64_t>(m.base));
    if (m.value) Add(*m.value);
  }

  time_point now_;
  std::string text_;
};

// All steps possible from one state.
class stepper {
 public:
  stepper(const model_state& w, const rule_variant& v) : w_(w), v_(v) {}

  std::vector<model_step> All() {
    model_state later = w_;
    later.now += kTick;
    Take("time passes", std::move(later));
    for (size_t i = 0; i < kNodes; ++i) {
      Heartbeats(i);
      Reads(i);
      Proposals(i);
      Restart(i);
    }
    for (size_t k = 0; k < w_.net.size(); ++k) Deliver(k);
    return std::move(steps_);
  }

 private:
  void Take(std::string name, model_state next, int faults = 0) {
    next.faults += faults;
    if (next.faults > v_.max_faults) return;
    steps_.push_back({std::move(name), std::move(next)});
  }
  const lease_state& Lease(size_t i) const { return w_.nodes[i]->lease; }
  const std::string& Name(size_t i) const { return Lease(i).self.name; }

  // Heartbeats of an owner, answered at once or left on their way.
  void Heartbeats(size_t i) {
    const pool_assignment* pool = FindPool(Lease(i).latest_roster, kPool);
    if (pool == nullptr || pool->owner != Lease(i).self) return;
    for (size_t j = 0; j < kNodes; ++j) {
      const bool named = std::ranges::find(pool->successors, Lease(j).self) !=
                         pool->successors.end();
      if (!named) continue;
      model_message m;
      m.from = i;
      m.to = j;
      m.ack = {Lease(i).self, w_.now, Lease(i).latest_roster.epoch};
      model_state answered = w_;
      Acknowledge(answered, Receive(answered, m));
      Take(Name(i) + " heartbeat acknowledged by " + Name(j), answered);
      if (w_.net.size() == kMostMessages) continue;
      model_state sent = w_;
      sent.net.push_back(m);
      Take(Name(i) + " sends heartbeat to " + Name(j), std::move(sent), 1);
    }
  }

  static model_message Receive(model_state& w, const model_message& m) {
    lease_state& lease = Change(w, m.to).lease;
    lease = OnHeartbeat(std::move(lease), m.ack.from, m.ack.epoch);
    model_message ack{model_message::kind::kAck, m.to, m.from, {}, 0, {}};
    ack.ack = {lease.self, m.ack.sent_at, lease.latest_roster.epoch};
    return ack;
  }

  void Acknowledge(model_state& w, const model_message& m) const {
    lease_state& lease = Change(w, m.to).lease;
    acknowledgement ack = m.ack;
    if (v_.ignores_epoch) ack.epoch = 0;
    lease = OnAcknowledgement(std::move(lease), ack, w.now);
  }

  // Reads of the latest roster or of the one before it, which is stale.
  void Reads(size_t i) {
    const uint64_t latest = w_.store.size();
    for (uint64_t v = latest; v + 1 >= latest && v > 0; --v) {
      model_state w = w_;
      Learn(w, i, v);
      if (*w.nodes[i] != *w_.nodes[i])
        Take(Name(i) + (v == latest ? " reads" : " reads stale"), std::move(w),
             v != latest);
    }
  }

  void Learn(model_state& w, size_t i, uint64_t version) const {
    model_node& n = Change(w, i);
    n.lease =
        OnRoster(std::move(n.lease), *w.store[version - 1], version, w.now);
    if (v_.treats_unknown_as_failed && n.lease.pending &&
        n.lease.pending->outcome_unknown) {
      n.lease.pending.reset();
    }
    if (!n.lease.pending) n.proposal.reset();
  }

  void Proposals(size_t i) {
    const lease_state& lease = Lease(i);
    const bool room = w_.store.size() < kMostVersions;
    if (!room || lease.version == 0) return;
    if (lease.pending) {
      const bool same = lease.pending->base_version == lease.version;
      if (lease.pending->outcome_unknown && same)
        Send(i, *w_.nodes[i]->proposal, "again");
      return;
    }
    std::vector<roster> seen;
    for (size_t silent = 0; silent < (1U << kNodes); ++silent) {
      if (silent & (1U << i)) continue;
      const std::optional<roster> next =
          ReassignPools(lease.latest_roster, View(i, silent));
      if (!next || std::ranges::find(seen, *next) != seen.end()) continue;
      seen.push_back(*next);
      Send(i, *next, "reassigns without " + Names(silent));
    }
    Leave(i);
    if (FindMember(lease.latest_roster, lease.self) == nullptr) {
      Send(i, AddMember(lease.latest_roster, MemberOf(lease.self)), "joins");
    }
    const pool_assignment* pool = FindPool(lease.latest_roster, kPool);
    if (pool != nullptr && pool->owner == lease.self) {
      Send(i, lease.latest_roster, "renews");
    }
  }

  assignment_inputs View(size_t i, size_t silent) const {
    assignment_inputs view;
    view.self = Lease(i).self;
    view.services = {kPool};
    for (size_t j = 0; j < kNodes; ++j) {
      if (!(silent & (1U << j))) view.alive.insert(Lease(j).self);
    }
    view.may_take_over = ServicesToTakeOver(Lease(i));
    view.may_release = ServicesToRelease(Lease(i), w_.now);
    if (v_.ignores_eligibility) view.may_take_over = {kPool};
    if (v_.releases_while_waiting) view.may_release = {kPool};
    return view;
  }

  std::string Names(size_t set) const {
    std::string names;
    for (size_t j = 0; j < kNodes; ++j) {
      if (set & (1U << j)) names += Name(j);
    }
    return names.empty() ? "none" : names;
  }

  void Leave(size_t i) {
    const roster marked = MarkLeaving(Lease(i).latest_roster, Lease(i).self);
    if (marked == Lease(i).latest_roster) return;
    const std::optional<roster> next = ReassignPools(marked, View(i, 0));
    if (next) Send(i, *next, "leaves");
  }

  // An update that is on its way, carried out and answered, or carried out with
  // the answer lost. One on its way may also count as unanswered.
  void Send(size_t i, const roster& next, const std::string& what) {
    model_state sent = w_;
    model_node& n = Change(sent, i);
    const bool hides = v_.places_while_releasing;
    const roster shown = hides ? n.lease.latest_roster : next;
    n.lease = BeginUpdate(std::move(n.lease), shown, sent.now);
    n.proposal = std::make_shared<roster>(next);
    model_message put{model_message::kind::kPut, i,         i, {},
                      n.lease.version,           n.proposal};
    const std::string name = Name(i) + " " + what;
    model_state answered = sent;
    const bool done = Store(answered, put);
    Answer(answered, i, done);
    Take(name, std::move(answered));
    model_state lost = sent;
    Unknown(lost, i);
    if (w_.net.size() < kMostMessages) {
      model_state late = lost;
      late.net.push_back(put);
      Take(name + ", on its way", std::move(late), 1);
    }
    if (Store(lost, put)) Take(name + ", answer lost", std::move(lost), 1);
  }

  static bool Store(model_state& w, const model_message& put) {
    if (w.store.size() != put.base) return false;
    w.store.push_back(put.value);
    return true;
  }

  static void Answer(model_state& w, size_t i, bool done) {
    model_node& n = Change(w, i);
    if (done) {
      n.lease = OnUpdateConfirmed(std::move(n.lease), *n.proposal,
                                  w.store.size(), w.now);
    } else {
      n.lease = OnUpdateFailed(std::move(n.lease), update_failure::kNotApplied);
    }
    if (!n.lease.pending) n.proposal.reset();
  }

  static void Unknown(model_state& w, size_t i) {
    lease_state& lease = Change(w, i).lease;
    lease = OnUpdateFailed(std::move(lease), update_failure::kUnknown);
  }

  void Restart(size_t i) {
    for (const auto& n : w_.nodes) {
      if (n->lease.self.incarnation > 1) return;
    }
    model_state w = w_;
    lease_state fresh;
    fresh.times = v_.times;
    fresh.self = {Name(i), 2};
    Change(w, i) = {fresh, {}};
    std::erase_if(w.net, [&](const model_message& m) {
      return m.to == i && m.what != model_message::kind::kPut;
    });
    Take(Name(i) + " restarts", std::move(w), 1);
  }

  void Deliver(size_t k) {
    model_state w = w_;
    const model_message m = w.net[k];
    w.net.erase(w.net.begin() + static_cast<ptrdiff_t>(k));
    if (m.what == model_message::kind::kPut) {
      const bool done = Store(w, m);
      Take(Name(m.from) +
               (done ? " late update done" : " late update conflicts"),
           std::move(w));
    } else if (m.what == model_message::kind::kAck) {
      Acknowledge(w, m);
      Take(Name(m.to) + " gets a late acknowledgement", std::move(w));
    } else {
      w.net.push_back(Receive(w, m));
      Take(Name(m.to) + " gets a late heartbeat", std::move(w));
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

model_state MakeInitialState(const rule_variant& v, bool both) {
  model_state w;
  roster r{"", 1, {}, {}};
  const std::vector<member_id> ids = {{"a", 1}, {"b", 1}, {"c", 1}};
  for (const member_id& id : ids) r.members.push_back(MemberOf(id));
  pool_assignment pool{kPool, ids[0], {ids[1]}, {}, 1, 1, false};
  if (both) pool.successors.push_back(ids[2]);
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
    lease_state& peer = Change(w, j).lease;
    peer = OnHeartbeat(std::move(peer), ids[0], 1);
    lease_state& owner = Change(w, 0).lease;
    owner = OnAcknowledgement(std::move(owner), {ids[j], w.now, 1}, w.now);
  }
  return w;
}

std::vector<model_step> ListSteps(const model_state& w, const rule_variant& v) {
  return stepper(w, v).All();
}

uint64_t HashState(const model_state& w) { return fingerprint(w).Hash(); }

}  // namespace radishyard
