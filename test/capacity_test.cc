// The measurements of the capacity benchmark at their quick size: every slope
// comes out, and the JSON holds what the table shows.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>

#include "support/measure.h"

namespace radishyard {
namespace {

constexpr size_t kLeastSizes = 3;

void ExpectWhole(const std::vector<measurement>& all) {
  std::set<std::string> names;
  for (const measurement& m : all) {
    SCOPED_TRACE(m.name);
    EXPECT_TRUE(names.insert(m.name).second);
    ASSERT_GE(m.samples.size(), kLeastSizes);
    for (const sample& s : m.samples) {
      EXPECT_GT(s.size, 0);
      EXPECT_GT(s.value, 0);
    }
    const line_fit fit = FitLine(m.samples);
    EXPECT_GE(fit.r2, 0);
    EXPECT_LE(fit.r2, 1 + 1e-9);
  }
}

TEST(Capacity, FitsALine) {
  const line_fit exact = FitLine(std::vector<sample>{{1, 5}, {2, 7}, {4, 11}});
  EXPECT_DOUBLE_EQ(exact.slope, 2);
  EXPECT_DOUBLE_EQ(exact.intercept, 3);
  EXPECT_DOUBLE_EQ(exact.r2, 1);
  EXPECT_LT(FitLine(std::vector<sample>{{1, 1}, {2, 9}, {3, 1}}).r2, 0.1);
}

TEST(Capacity, MeasuresEveryPart) {
  for (const auto measure : {MeasurePeers, MeasureTable, MeasureControlState,
                             MeasureOwnership, MeasureFlows})
    ExpectWhole(measure(extent::kQuick));
}

TEST(Capacity, WritesSoundJson) {
  const std::vector<measurement> all = MeasureOwnership(extent::kQuick);
  const auto page = nlohmann::json::parse(JsonText(all)).at("measurements");
  ASSERT_EQ(page.size(), all.size());
  for (size_t i = 0; i < all.size(); ++i) {
    EXPECT_EQ(page[i].at("name"), all[i].name);
    EXPECT_EQ(page[i].at("samples").size(), all[i].samples.size());
    EXPECT_EQ(page[i].at("slope").get<double>(), FitLine(all[i].samples).slope);
  }
}

}  // namespace
}  // namespace radishyard
