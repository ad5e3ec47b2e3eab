// Explores the interleavings of the lease model. Invariant: never two balancers
// may place unsafe work of the pool at one instant. Each rule is also taken out
// in turn, and the same exploration must then find a violation.
#include <absl/container/flat_hash_set.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <random>

#include "support/lease_world.h"

namespace radishyard {
namespace {

constexpr size_t kDepth = 5;
constexpr size_t kMostStates = 1'000'000;
constexpr size_t kWalks = 2000;
constexpr size_t kWalkLength = 60;

using trail = std::vector<std::string>;

std::string Text(const trail& steps) {
  std::string text;
  for (const std::string& name : steps) text += " | " + name;
  return text;
}

// Walks at random, far deeper than the complete exploration reaches. Gives the
// steps to a violation, or nothing.
std::optional<trail> Walk(const rule_variant& v, uint64_t seed, size_t length,
                          size_t& placing) {
  std::mt19937_64 random(seed);
  world w = Start(v, seed % 2 == 0);
  trail names;
  for (size_t i = 0; i < length; ++i) {
    std::vector<step> steps = Steps(w, v);
    step& chosen = steps[random() % steps.size()];
    names.push_back(chosen.name);
    w = std::move(chosen.next);
    if (HasTwoPlacers(w)) return names;
    for (size_t n = 1; n < kNodes; ++n) placing += MayPlace(w, n);
  }
  return std::nullopt;
}

// True where the steps named can be taken in turn and end in a violation.
bool Replay(const rule_variant& v, bool both, const trail& names) {
  world w = Start(v, both);
  for (const std::string& name : names) {
    std::vector<step> steps = Steps(w, v);
    const auto found = std::ranges::find(steps, name, &step::name);
    if (found == steps.end()) return false;
    w = std::move(found->next);
  }
  return HasTwoPlacers(w);
}

// Leaves out every step that the violation does not need.
trail Shrink(const rule_variant& v, bool both, trail names) {
  for (size_t i = names.size(); i-- > 0;) {
    trail fewer = names;
    fewer.erase(fewer.begin() + static_cast<ptrdiff_t>(i));
    if (!Replay(v, both, fewer)) continue;
    names = std::move(fewer);
    i = names.size();
  }
  return names;
}

struct exploration {
  size_t states = 0;
  std::optional<trail> violation;  // The shortest.
};

// Breadth first, each state once, to a depth or a number of states.
exploration Explore(const rule_variant& v, size_t depth, size_t most_states) {
  struct origin {
    size_t parent;
    std::string name;
  };
  std::vector<origin> origins = {{0, "start with b and c"},
                                 {1, "start with b"}};
  std::vector<std::pair<world, size_t>> level = {{Start(v, true), 0},
                                                 {Start(v, false), 1}};
  absl::flat_hash_set<uint64_t> seen;
  for (size_t d = 0; d < depth; ++d) {
    std::vector<std::pair<world, size_t>> next_level;
    for (const auto& [w, index] : level) {
      for (step& s : Steps(w, v)) {
        if (seen.size() == most_states) return {seen.size(), {}};
        if (!seen.insert(Fingerprint(s.next)).second) continue;
        origins.push_back({index, s.name});
        if (HasTwoPlacers(s.next)) {
          trail names = {s.name};
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

TEST(LeaseModel, NeverTwoPlacersInAnyInterleaving) {
  const exploration result = Explore({.max_faults = 2}, kDepth, kMostStates);
  std::cout << "states=" << result.states << " depth=" << kDepth << "\n";
  EXPECT_LT(result.states, kMostStates) << "not explored completely";
  EXPECT_FALSE(result.violation) << Text(*result.violation);
}

TEST(LeaseModel, NeverTwoPlacersOnLongWalks) {
  size_t placing = 0;
  for (uint64_t seed = 0; seed < kWalks; ++seed) {
    const std::optional<trail> steps = Walk({}, seed, kWalkLength, placing);
    ASSERT_FALSE(steps) << Text(Shrink({}, seed % 2 == 0, *steps));
  }
  std::cout << "walks=" << kWalks << " steps=" << kWalks * kWalkLength
            << " placing_after_a_move=" << placing << "\n";
  EXPECT_GT(placing, kWalks);
}

// Looks for the shortest violation first, then for one by long walks.
void ExpectViolation(const std::string& rule, rule_variant v) {
  v.max_faults = 2;
  const exploration result = Explore(v, kDepth, kMostStates / 10);
  if (result.violation) {
    std::cout << rule << ":" << Text(*result.violation) << "\n";
    return;
  }
  v.max_faults = rule_variant().max_faults;
  size_t placing = 0;
  for (uint64_t seed = 0; seed < kWalks; ++seed) {
    const std::optional<trail> steps = Walk(v, seed, kWalkLength, placing);
    if (!steps) continue;
    std::cout << rule << ", walk " << seed << ":"
              << Text(Shrink(v, seed % 2 == 0, *steps)) << "\n";
    return;
  }
  ADD_FAILURE() << rule << ": no violation found";
}

TEST(LeaseModel, EachRuleIsNeeded) {
  ExpectViolation("no wait", {.times = {kTick, duration{}, duration{}}});
  ExpectViolation("lease longer than wait",
                  {.times = {3 * kTick, 2 * kTick, duration{}}});
  ExpectViolation("successor not counted by the owner takes over",
                  {.ignores_eligibility = true});
  ExpectViolation("epoch of acknowledgements ignored", {.ignores_epoch = true});
  ExpectViolation("lost answer taken for a failure",
                  {.treats_unknown_as_failed = true});
  ExpectViolation("released while still waiting",
                  {.releases_while_waiting = true});
  ExpectViolation("places while releasing", {.places_while_releasing = true});
}

}  // namespace
}  // namespace radishyard
