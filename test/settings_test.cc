// Tests the settings: the defaults, a file that sets every field, and a file
// with several faults.
#include "settings/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace radishyard {
namespace {

using nlohmann::json;

json MakeMinimalSettings() {
  return json::parse(R"({"name":"b1","domain":"rennes",
    "data":{"address":"127.0.0.1","port":9000},
    "control":{"address":"127.0.0.1","port":9100},
    "admin":{"address":"127.0.0.1","port":9200},
    "fabric":["127.0.0.1:8000"],"platform":"127.0.0.1:7000"})");
}

TEST(Settings, UsesDefaultsForMissingFields) {
  findings found;
  const auto s = ParseSettings(MakeMinimalSettings().dump(), found);
  ASSERT_TRUE(s) << found.Text();
  EXPECT_EQ(s->limits, limit_settings{});
  EXPECT_EQ(s->log, log_settings{});
  EXPECT_EQ(s->data_threads, 1);
  EXPECT_EQ(ToString(s->fabric.at(0)), "127.0.0.1:8000");
}

TEST(Settings, ReadsEveryField) {
  json file = MakeMinimalSettings();
  file.merge_patch(json::parse(R"({"size":2,"data":{"threads":3},
    "peers":["127.0.0.1:9101"],"domains":["rennes","quimper"],
    "log":{"level":"debug","file":"/tmp/log"},
    "trace":{"sample_one_in":100,"file":"/tmp/trace"},
    "limits":{"heartbeat_ms":10,"lease_ms":30,
    "takeover_ms":600,"held_flows":7}})"));
  findings found;
  const auto s = ParseSettings(file.dump(), found);
  ASSERT_TRUE(s) << found.Text();
  EXPECT_EQ(s->size, 2U);
  EXPECT_EQ(s->data_threads, 3);
  EXPECT_EQ(ToString(s->peers.at(0)), "127.0.0.1:9101");
  EXPECT_EQ(s->domains, (std::vector<std::string>{"rennes", "quimper"}));
  EXPECT_EQ(s->log, (log_settings{log_level::kDebug, "/tmp/log"}));
  EXPECT_EQ(s->trace, (trace_settings{100, "/tmp/trace"}));
  EXPECT_EQ(s->limits, (limit_settings{10ms, 30ms, 600ms, 7}));
}

TEST(Settings, ReportsAllFaultsTogether) {
  json file = MakeMinimalSettings();
  file.merge_patch(json::parse(R"({"size":-1,"colour":"red",
    "data":{"port":65535,"threads":2},"domains":["quimper","quimper"],
    "admin":{"port":9100},"fabric":["nowhere"],"log":{"level":"loud"},
    "limits":{"lease_ms":3000}})"));
  file.erase("platform");
  findings found;
  EXPECT_FALSE(ParseSettings(file.dump(), found));
  std::vector<std::string> places;
  for (const finding& f : found.list()) places.push_back(f.place);
  EXPECT_THAT(places, testing::UnorderedElementsAre(
                          "", "/size", "/colour", "/data/threads", "/domain",
                          "/domains/1", "/admin", "/fabric/0", "/log/level",
                          "/limits/lease_ms"))
      << found.Text();
}

}  // namespace
}  // namespace radishyard
