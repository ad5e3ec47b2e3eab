// Runs the model of the limit of openings on cold upstreams. A violation means
// that a cold upstream gets more openings than its service allows.
#include "support/start_limit_model.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <iostream>

namespace radishyard {
namespace {

using testing_start_limit::model_settings;
using testing_start_limit::start_limit_model;

constexpr uint64_t kSearchedSeeds = 400;

RC_GTEST_PROP(StartLimitModel, NoFaultsLetAnUpstreamGetMoreThanItsLimit, ()) {
  model_settings settings;
  settings.seed = *rc::gen::arbitrary<uint64_t>();
  settings.balancers = *rc::gen::weightedElement<size_t>(
      {{2, 1}, {6, 2}, {6, 3}, {4, 8}, {3, 26}, {2, 78}, {1, 300}});
  settings.rate = *rc::gen::element<uint32_t>(1, 2, 5, 20, 100, 1000);
  settings.demand = *rc::gen::element(0.3, 1.0, 4.0, 10.0);
  settings.fault_probability = *rc::gen::element(0.01, 0.03, 0.1);
  settings.cold_time = *rc::gen::element<duration>(2s, 5s, 15s);
  // The longer time includes the deletion of the claim and another claim.
  settings.length =
      settings.cold_time + *rc::gen::element<duration>(1s, 1s, 20s);
  if (settings.rate == 1000) settings.demand = 3;
  start_limit_model model(settings);
  model.Run();
  RC_ASSERT(model.MostInOneSecond() <= model.limit());
}

// Returns true if some seed leads to a violation.
bool FindsViolation(model_settings settings, const char* rule) {
  for (settings.seed = 1; settings.seed <= kSearchedSeeds; ++settings.seed) {
    start_limit_model model(settings);
    model.Run();
    if (model.MostInOneSecond() <= model.limit()) continue;
    std::cout << rule << ": seed " << settings.seed << ", "
              << model.MostInOneSecond() << " instead of " << model.limit()
              << "\n";
    return true;
  }
  return false;
}

// Guards against a model that could not show a violation.
TEST(StartLimitModel, RemovingAnyRuleCausesAViolation) {
  model_settings settings{.balancers = 8,
                          .rate = 20,
                          .demand = 0.3,
                          .cold_time = 20s,
                          .length = 20s};
  EXPECT_FALSE(FindsViolation(settings, "no rule removed"));
  settings.clock_counts_suspensions = false;
  EXPECT_TRUE(FindsViolation(settings, "suspensions are not counted"));
  settings.clock_counts_suspensions = true;
  settings.store_is_exclusive = false;
  EXPECT_TRUE(FindsViolation(settings, "two balancers hold a claim"));
  settings.store_is_exclusive = true;
  settings.lifetime_counts_from_request = false;
  EXPECT_TRUE(FindsViolation(settings, "grants last from their receipt"));
}

// At these sizes the share of one balancer is less than one flow.
TEST(StartLimitModel, AtLeastHalfOfTheRateIsUsableWithoutFaults) {
  for (const auto& [balancers, rate] : std::vector<std::pair<size_t, uint32_t>>{
           {78, 5}, {300, 1}, {1, 1}, {300, 1000}, {1, 1000}, {78, 100}}) {
    model_settings settings{.balancers = balancers,
                            .rate = rate,
                            .demand = 1.5,
                            .has_faults = false,
                            .cold_time = 20s,
                            .length = 21s};
    if (rate == 1000) settings.cold_time = 6s;
    start_limit_model model(settings);
    model.Run();
    const double seconds =
        std::chrono::duration<double>(settings.cold_time).count();
    const double used =
        static_cast<double>(model.FirstColdArrivals()) / seconds;
    std::cout << balancers << " balancers, rate " << rate << ": " << used
              << " openings a second, at most " << model.MostInOneSecond()
              << " of " << model.limit() << " in one\n";
    EXPECT_GE(used, rate / 2.0);
    EXPECT_LE(model.MostInOneSecond(), model.limit());
  }
}

}  // namespace
}  // namespace radishyard
