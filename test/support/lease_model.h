// A model of three balancers, a store and a network for exhaustive tests. It
// runs the lease and assignment functions of the library; each step is one
// event at one balancer.
//
// A paused balancer is one that takes no step while time passes, and a
// partition is a set of messages that are not delivered. Time advances in
// ticks: a lease lasts one tick, a takeover waits for two.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "radishyard/lease.h"
#include "radishyard/roster.h"

namespace radishyard {

constexpr duration kTick = 1s;
constexpr size_t kNodes = 3;

// Rules that a test disables to check that the model then finds a violation. By
// default all rules of the library are in force.
struct rule_variant {
  lease_times times{kTick, 2 * kTick, duration{}};
  bool ignores_eligibility = false;       // Any balancer may take over.
  bool ignores_epoch = false;             // For acknowledgements.
  bool treats_unknown_as_failed = false;  // Once a roster is read.
  bool releases_while_waiting = false;    // Before placement is allowed.
  bool places_while_releasing = false;    // While a release is in transit.
  int max_faults = 1'000;  // Steps that would exceed it are left out.
};

// A model_message in transit: a heartbeat, its acknowledgement, or the write of
// a roster to the store.
struct model_message {
  enum class kind : uint8_t { kHeartbeat, kAck, kPut };
  kind type = kind::kHeartbeat;
  size_t from = 0;
  size_t to = 0;
  acknowledgement ack;        // A heartbeat uses its sender, sent_at and epoch.
  uint64_t base_version = 0;  // Version that a put replaces.
  std::shared_ptr<const roster> proposed_roster;
  auto operator<=>(const model_message&) const = default;
};

// A balancer: its lease state and the roster that it proposed in a pending
// update.
struct model_node {
  lease_state lease;
  std::shared_ptr<const roster> proposal;
  auto operator<=>(const model_node&) const = default;
};

// A state of the whole model.
struct model_state {
  time_point now = AtMs(0) + 10 * kTick;
  std::vector<std::shared_ptr<const roster>>
      store;  // The version is the index + 1.
  std::vector<std::shared_ptr<const model_node>>
      nodes;  // Shared until changed.
  std::vector<model_message> messages;
  int faults = 0;  // Restarts, stale reads, late messages, lost responses.
};

// A possible event and the state after it.
struct model_step {
  std::string name;
  model_state next;
};

// Returns the initial state: a owns the pool and b is its successor; c is a
// member, and with `two_successors` a successor too. The owner has a lease.
model_state MakeInitialState(const rule_variant& v, bool two_successors);

// Returns all steps that are possible in `w`.
std::vector<model_step> ListSteps(const model_state& w, const rule_variant& v);

// Returns whether balancer `i` may now place non-idempotent work of the pool.
bool MayPlace(const model_state& w, size_t i);

// Returns whether two balancers may now place non-idempotent work of the pool.
bool HasTwoPlacers(const model_state& w);

// Returns a hash over everything that later steps depend on, so that equivalent
// states are explored once.
uint64_t HashState(const model_state& w);

}  // namespace radishyard
