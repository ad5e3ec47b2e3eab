// A small model of three balancers, a store and a network that run the
// product's lease and assignment functions; each step is one event at one of
// them.
//
// A pause is a balancer that takes no step while time passes; a cut, messages
// that are not delivered. Time is in ticks: a lease of one, a wait of two.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "radishyard/lease.h"
#include "radishyard/roster.h"

namespace radishyard {

constexpr duration kTick = 1s;
constexpr size_t kNodes = 3;

// What is taken out of the product's rules; all false and `times` as given is
// the product.
struct rule_variant {
  lease_times times{kTick, 2 * kTick, duration{}};
  bool ignores_eligibility = false;
  bool ignores_epoch = false;
  bool treats_unknown_as_failed = false;
  bool releases_while_waiting = false;
  bool places_while_releasing = false;
  int max_faults = 1'000;
};

struct model_message {
  enum class kind : uint8_t { kHeartbeat, kAck, kPut };
  kind what = kind::kHeartbeat;
  size_t from = 0;
  size_t to = 0;
  acknowledgement ack;  // Of a heartbeat: its sent_at and epoch.
  uint64_t base = 0;
  std::shared_ptr<const roster> value;
  auto operator<=>(const model_message&) const = default;
};

struct model_node {
  lease_state lease;
  std::shared_ptr<const roster> proposal;
  auto operator<=>(const model_node&) const = default;
};

struct model_state {
  time_point now = AtMs(0) + 10 * kTick;
  std::vector<std::shared_ptr<const roster>>
      store;  // Index + 1 is the version.
  std::vector<std::shared_ptr<const model_node>> nodes;  // Shared by states.
  std::vector<model_message> net;
  int faults = 0;  // Restarts, stale reads, late messages, lost answers.
};

struct model_step {
  std::string name;
  model_state next;
};

// a owns the pool, b succeeds it; c is listed, and a successor too where
// `both`.
model_state MakeInitialState(const rule_variant& v, bool both);

// All steps possible from `w`.
std::vector<model_step> ListSteps(const model_state& w, const rule_variant& v);

// True where the balancer may place unsafe work of the pool now.
bool MayPlace(const model_state& w, size_t i);

// True where two balancers may place at one instant.
bool HasTwoPlacers(const model_state& w);

// Hash of what the future depends on.
uint64_t HashState(const model_state& w);

}  // namespace radishyard
