// Tests the measurements of the capacity benchmark at bench_scale::kQuick: each
// gives positive values at three or more sizes, a line is fitted to them, and
// the JSON text contains all of them.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>

#include "support/measure.h"

namespace radishyard {
namespace {

constexpr size_t kMinSizes = 3;

void ExpectComplete(const std::vector<measurement>& all) {
  std::set<std::string> names;
  for (const measurement& m : all) {
    SCOPED_TRACE(m.name);
    EXPECT_TRUE(names.insert(m.name).second);
    ASSERT_GE(m.samples.size(), kMinSizes);
    for (const sample& s : m.samples) {
      EXPECT_GT(s.size, 0);
      EXPECT_GT(s.value, 0);
    }
    const line_fit fit = FitLine(m.samples);
    EXPECT_GE(fit.r2, 0);
    EXPECT_LE(fit.r2, 1 + 1e-9);
  }
}

TEST(Capacity, FitsALineByLeastSquares) {
  const line_fit exact = FitLine(std::vector<sample>{{1, 5}, {2, 7}, {4, 11}});
  EXPECT_DOUBLE_EQ(exact.slope, 2);
  EXPECT_DOUBLE_EQ(exact.intercept, 3);
  EXPECT_DOUBLE_EQ(exact.r2, 1);
  EXPECT_LT(FitLine(std::vector<sample>{{1, 1}, {2, 9}, {3, 1}}).r2, 0.1);
}

TEST(Capacity, MeasuresEachPartAtThreeOrMoreSizes) {
  for (const auto measure : {MeasurePeers, MeasureTable, MeasureControlState,
                             MeasureOwnership, MeasureFlows})
    ExpectComplete(measure(bench_scale::kQuick));
}

TEST(Capacity, WritesAllMeasurementsAsJson) {
  const std::vector<measurement> all = MeasureOwnership(bench_scale::kQuick);
  const auto page =
      nlohmann::json::parse(ToMeasurementsJson(all)).at("measurements");
  ASSERT_EQ(page.size(), all.size());
  for (size_t i = 0; i < all.size(); ++i) {
    EXPECT_EQ(page[i].at("name"), all[i].name);
    EXPECT_EQ(page[i].at("samples").size(), all[i].samples.size());
    EXPECT_EQ(page[i].at("slope").get<double>(), FitLine(all[i].samples).slope);
  }
}

}  // namespace
}  // namespace radishyard
