// Explores the interleavings of the lease model. It tests the invariant that no
// two balancers may place non-idempotent requests of the pool at one instant.
// Each rule of the lease is also removed in turn, and the same exploration must
// then find a violation.
#include "support/lease_model.h"

#include <absl/container/flat_hash_set.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <random>

namespace radishyard {
namespace {

constexpr size_t kExplorationDepth = 5;
constexpr size_t kMaxStates = 1'000'000;
constexpr size_t kRandomWalks = 2000;
constexpr size_t kStepsPerWalk = 60;

using step_names = std::vector<std::string>;

std::string JoinNames(const step_names& steps) {
  std::string text;
  for (const std::string& name : steps) text += " | " + name;
  return text;
}

// Takes `length` random steps, far more than the depth of the complete
// exploration. Returns the steps to a violation, or nothing. Adds to
// `placements` how often, after a step, a balancer other than the first owner
// may place.
std::optional<step_names> RunRandomWalk(const rule_variant& v, uint64_t seed,
                                        size_t length, size_t& placements) {
  std::mt19937_64 random(seed);
  model_state w = MakeInitialState(v, seed % 2 == 0);
  step_names names;
  for (size_t i = 0; i < length; ++i) {
    std::vector<model_step> steps = ListSteps(w, v);
    model_step& chosen_step = steps[random() % steps.size()];
    names.push_back(chosen_step.name);
    w = std::move(chosen_step.next);
    if (HasTwoPlacers(w)) return names;
    for (size_t n = 1; n < kNodes; ++n) placements += MayPlace(w, n);
  }
  return std::nullopt;
}

// True if the named steps are possible in this order and end in a violation.
bool ReplayViolates(const rule_variant& v, bool two_successors,
                    const step_names& names) {
  model_state w = MakeInitialState(v, two_successors);
  for (const std::string& name : names) {
    std::vector<model_step> steps = ListSteps(w, v);
    const auto found = std::ranges::find(steps, name, &model_step::name);
    if (found == steps.end()) return false;
    w = std::move(found->next);
  }
  return HasTwoPlacers(w);
}

// Removes every step without which the violation still occurs.
step_names RemoveNeedlessSteps(const rule_variant& v, bool two_successors,
                               step_names names) {
  for (size_t i = names.size(); i-- > 0;) {
    step_names fewer = names;
    fewer.erase(fewer.begin() + static_cast<ptrdiff_t>(i));
    if (!ReplayViolates(v, two_successors, fewer)) continue;
    names = std::move(fewer);
    i = names.size();
  }
  return names;
}

struct exploration {
  size_t states = 0;
  std::optional<step_names> violation;  // The shortest one found.
};

// Explores breadth first, visiting each state once, up to a depth or a number
// of states.
exploration Explore(const rule_variant& v, size_t depth, size_t max_states) {
  struct origin {
    size_t parent;
    std::string name;
  };
  std::vector<origin> origins = {{0, "start with b and c"},
                                 {1, "start with b"}};
  std::vector<std::pair<model_state, size_t>> level = {
      {MakeInitialState(v, true), 0}, {MakeInitialState(v, false), 1}};
  absl::flat_hash_set<uint64_t> seen;
  for (size_t d = 0; d < depth; ++d) {
    std::vector<std::pair<model_state, size_t>> next_level;
    for (const auto& [w, index] : level) {
      for (model_step& s : ListSteps(w, v)) {
        if (seen.size() == max_states) return {seen.size(), {}};
        if (!seen.insert(HashState(s.next)).second) continue;
        origins.push_back({index, s.name});
        if (HasTwoPlacers(s.next)) {
          step_names names = {s.name};
          size_t at = index;
          for (; origins[at].parent != at; at = origins[at].parent) {
            names.push_back(origins[at].name);
          }
          names.push_back(origins[at].name);
          std::ranges::reverse(names);
          return {seen.size(), names};
        }
        if (d + 1 == depth) continue;
        next_level.emplace_back(std::move(s.next), origins.size() - 1);
      }
    }
    level = std::move(next_level);
  }
  return {seen.size(), {}};
}

TEST(LeaseModel, NoInterleavingLetsTwoBalancersPlace) {
  const exploration result =
      Explore({.max_faults = 2}, kExplorationDepth, kMaxStates);
  std::cout << "states=" << result.states << " depth=" << kExplorationDepth
            << "\n";
  EXPECT_LT(result.states, kMaxStates) << "the exploration is incomplete";
  EXPECT_FALSE(result.violation) << JoinNames(*result.violation);
}

TEST(LeaseModel, NoLongRandomWalkLetsTwoBalancersPlace) {
  size_t placements = 0;
  for (uint64_t seed = 0; seed < kRandomWalks; ++seed) {
    const std::optional<step_names> steps =
        RunRandomWalk({}, seed, kStepsPerWalk, placements);
    ASSERT_FALSE(steps) << JoinNames(
        RemoveNeedlessSteps({}, seed % 2 == 0, *steps));
  }
  std::cout << "walks=" << kRandomWalks
            << " steps=" << kRandomWalks * kStepsPerWalk
            << " placing_after_a_move=" << placements << "\n";
  EXPECT_GT(placements, kRandomWalks);
}

// Searches for the shortest violation first, then for one on long random walks.
void ExpectViolation(const std::string& rule, rule_variant v) {
  v.max_faults = 2;
  const exploration result = Explore(v, kExplorationDepth, kMaxStates / 10);
  if (result.violation) {
    std::cout << rule << ":" << JoinNames(*result.violation) << "\n";
    return;
  }
  v.max_faults = rule_variant().max_faults;
  size_t placements = 0;
  for (uint64_t seed = 0; seed < kRandomWalks; ++seed) {
    const std::optional<step_names> steps =
        RunRandomWalk(v, seed, kStepsPerWalk, placements);
    if (!steps) continue;
    std::cout << rule << ", walk " << seed << ":"
              << JoinNames(RemoveNeedlessSteps(v, seed % 2 == 0, *steps))
              << "\n";
    return;
  }
  ADD_FAILURE() << rule << ": no violation found";
}

TEST(LeaseModel, RemovingAnyRuleCausesAViolation) {
  ExpectViolation("a new owner does not wait",
                  {.times = {kTick, duration{}, duration{}}});
  ExpectViolation("the lease is longer than the wait",
                  {.times = {3 * kTick, 2 * kTick, duration{}}});
  ExpectViolation("a successor takes over before the owner reports its epoch",
                  {.ignores_eligibility = true});
  ExpectViolation("the epoch of acknowledgements is ignored",
                  {.ignores_epoch = true});
  ExpectViolation("a lost reply is treated as a failure",
                  {.treats_unknown_as_failed = true});
  ExpectViolation("an owner releases while it still waits",
                  {.releases_while_waiting = true});
  ExpectViolation("an owner places while it releases",
                  {.places_while_releasing = true});
}

}  // namespace
}  // namespace radishyard
