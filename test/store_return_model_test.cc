// Explores histories of a store that returns from copies of itself: writes of
// upstreams, reads whose responses arrive late, views that balancers exchange,
// and several returns.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <set>
#include <vector>

#include "direct/view/view_sharing.h"
#include "support/direct_world.h"

namespace radishyard {
namespace {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)

constexpr upstream_id kUpstreams = 4;
constexpr size_t kBalancers = 3;
/// Upstreams that live have written again by then, after a return.
constexpr int kRewriteMs = 2000;
/// The store has removed the entries of all others by then.
constexpr int kExpiryMs = 3600;

/// What a copy of the store contains.
struct store_content {
  uint64_t number = 1;
  std::map<upstream_id, upstream_entry> entries;
};

struct model_store {
  uint64_t epoch = 1;
  store_content present;
  store_content copy;

  void Put(const upstream_entry& entry) {
    present.entries[entry.id] = entry;
    ++present.number;
  }
  void Remove(upstream_id id) {
    if (present.entries.erase(id) > 0) ++present.number;
  }
  upstream_list List() const {
    upstream_list list{.revision = {epoch, present.number}};
    for (const auto& [id, entry] : present.entries)
      list.upstreams.push_back(entry);
    return list;
  }
};

/// An upstream writes, leaves and ends; it never takes back that it leaves.
struct model_upstream {
  upstream_entry entry;
  bool is_alive = true;
};

/// A response that has not arrived yet.
struct response {
  upstream_list list;
  time_point requested_at{};
};

struct model_balancer {
  forwarding_state state;
  epoch_tracker epochs;
  std::vector<response> pending;
  std::set<upstream_id> seen_leaving;
};

class model {
 public:
  model() {
    for (upstream_id id = 1; id <= kUpstreams; ++id) {
      upstreams_[id].entry = MakeEntry(id);
      Write(id);
    }
    store_.copy = store_.present;
    for (model_balancer& balancer : balancers_) {
      Request(balancer);
      Receive(balancer, 0);
    }
  }

  /// Executes one step that `random` selects, and advances the time.
  void Step(uint32_t random) {
    const uint32_t argument = random / 16;
    model_balancer& balancer = balancers_[argument % kBalancers];
    const upstream_id id = 1 + argument % kUpstreams;
    switch (random % 16) {
      case 0:
        store_.copy = store_.present;
        break;
      case 1:
        Return();
        break;
      case 2:
        upstreams_[id].entry.leaving = true;
        Write(id);
        break;
      case 3:
        upstreams_[id].is_alive = false;
        store_.Remove(id);
        break;
      case 4:
      case 5:
        Write(id);
        break;
      case 6:
      case 7:
        Exchange(balancer, balancers_[(argument / kBalancers) % kBalancers]);
        break;
      case 8:
      case 9:
      case 10:
        Receive(balancer, argument);
        break;
      default:
        Request(balancer);
    }
    Advance(50);
  }

  /// Lets everything written be read by all.
  void Settle() {
    for (int ms = 0; ms < 16'000; ms += 1000) {
      Advance(1000);
      for (model_balancer& balancer : balancers_) {
        Request(balancer);
        while (!balancer.pending.empty()) Receive(balancer, 0);
        DeregisterMissing(balancer.state.directory, now_);
      }
    }
  }

  void CheckAgreement() const {
    for (const model_balancer& balancer : balancers_) {
      const upstream_directory& directory = balancer.state.directory;
      RC_ASSERT(directory.revision == store_.List().revision);
      for (const auto& [id, upstream] : upstreams_) {
        const bool is_ready = upstream.is_alive && !upstream.entry.leaving;
        const auto known = directory.upstreams.find(id);
        const bool is_used = known != directory.upstreams.end() &&
                             known->second.phase == upstream_phase::kReady;
        RC_ASSERT(is_used == is_ready);
      }
    }
  }

 private:
  void Write(upstream_id id) {
    model_upstream& upstream = upstreams_[id];
    if (!upstream.is_alive) return;
    ++upstream.entry.sequence;
    store_.Put(upstream.entry);
  }

  void Return() {
    store_.present = store_.copy;
    ++store_.epoch;
    rewrite_at_ = now_ + milliseconds(kRewriteMs);
    expire_at_ = now_ + milliseconds(kExpiryMs);
  }

  void Advance(int ms) {
    now_ += milliseconds(ms);
    if (now_ >= rewrite_at_) {
      for (const auto& [id, upstream] : upstreams_) Write(id);
      rewrite_at_ = time_point::max();
    }
    if (now_ >= expire_at_) {
      for (const auto& [id, upstream] : upstreams_)
        if (!upstream.is_alive) store_.Remove(id);
      expire_at_ = time_point::max();
    }
  }

  void Request(model_balancer& balancer) {
    balancer.pending.push_back({store_.List(), now_});
  }

  void Receive(model_balancer& balancer, uint32_t random) {
    if (balancer.pending.empty()) return;
    const size_t index = random % balancer.pending.size();
    const response received = balancer.pending[index];
    balancer.pending.erase(balancer.pending.begin() +
                           static_cast<ptrdiff_t>(index));
    const epoch_effect effect =
        RecordEpoch(balancer.epochs, received.list.revision.epoch);
    if (effect != epoch_effect::kOutdated)
      ApplyUpstreamList(balancer.state, received.list, received.requested_at,
                        now_);
    Check(balancer);
  }

  void Exchange(model_balancer& to, const model_balancer& from) {
    const snapshot_request request = MakeSnapshotRequest(to.state);
    const store_revision before = to.state.directory.revision;
    ApplySnapshot(to.state, MakeSnapshot(from.state, request, now_), now_);
    RC_ASSERT(to.state.directory.revision >= before);
    Check(to);
  }

  /// No upstream is ready once the balancer has seen it leave.
  static void Check(model_balancer& balancer) {
    for (const auto& [id, known] : balancer.state.directory.upstreams) {
      if (known.phase == upstream_phase::kLeaving)
        balancer.seen_leaving.insert(id);
      const bool has_returned = known.phase == upstream_phase::kReady &&
                                balancer.seen_leaving.contains(id);
      RC_ASSERT_FALSE(has_returned);
    }
  }

  model_store store_;
  std::map<upstream_id, model_upstream> upstreams_;
  std::array<model_balancer, kBalancers> balancers_;
  time_point now_ = AtMs(0);
  time_point rewrite_at_ = time_point::max();
  time_point expire_at_ = time_point::max();
};

// DRAIN: a return of the store brought back upstreams that had left, and kept
// others in use for as long as its revisions took to catch up.
RC_GTEST_PROP(StoreReturnModel, ADrainIsNeverUndoneAndAllAgreeInTheEnd, ()) {
  const auto steps = *rc::gen::container<std::vector<uint32_t>>(
      rc::gen::inRange<uint32_t>(0, 1U << 16));
  model m;
  for (const uint32_t step : steps) m.Step(step);
  m.Settle();
  m.CheckAgreement();
}

}  // namespace
}  // namespace radishyard
