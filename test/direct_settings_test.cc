// Tests the parser of the settings of a balancer with direct server return.
#include "direct/direct_settings.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>

namespace radishyard {
namespace {

using nlohmann::json;

json ValidSettings() {
  return {{"name", "rennes-1"},
          {"domain", "rennes"},
          {"cores", 0.055},
          {"traffic", "127.0.0.1:7000"},
          {"ready", "127.0.0.1:7001"},
          {"metrics", "127.0.0.1:7002"},
          {"peer", "127.0.0.1:7003"},
          {"peers", json::array({"127.0.0.1:7103"})},
          {"platform", "127.0.0.1:9000"},
          {"drain_bound_ms", 3000},
          {"edit_bound_ms", 2500.5},
          {"stop_grace_ms", 6000}};
}

TEST(DirectSettings, ReadsEveryField) {
  findings found;
  const auto s = ParseDirectSettings(ValidSettings().dump(), found);
  ASSERT_TRUE(s) << found.Text();
  EXPECT_EQ(s->name, "rennes-1");
  EXPECT_EQ(s->capacity_millicores, 55U);
  EXPECT_EQ(ToString(s->traffic), "127.0.0.1:7000");
  ASSERT_EQ(s->peers.size(), 1U);
  EXPECT_EQ(PublicPeerAddress(*s), s->peer) << "unless peer_public is set";
  EXPECT_EQ(s->drain_bound, 3s);
  EXPECT_EQ(s->edit_bound, 2500500us);
  EXPECT_EQ(s->level, log_level::kInfo);
  EXPECT_FALSE(s->spill_over) << "off unless a deployment enables it";
  EXPECT_FALSE(s->is_admission_enabled);
}

TEST(DirectSettings, ReadsTheBoundsOfOpeningsOnColdUpstreams) {
  json settings = ValidSettings();
  findings found;
  EXPECT_EQ(ParseDirectSettings(settings.dump(), found)->start,
            (start_bounds{1, 0}));
  settings["start_overage"] = 1.5;
  settings["start_slack"] = 5;
  EXPECT_EQ(ParseDirectSettings(settings.dump(), found)->start,
            (start_bounds{1.5, 5}));
  settings["start_overage"] = 0.5;
  settings["start_slack"] = "many";
  EXPECT_FALSE(ParseDirectSettings(settings.dump(), found));
  EXPECT_EQ(found.size(), 2U);
}

TEST(DirectSettings, ReadsOrRejectsSpillOver) {
  json settings = ValidSettings();
  settings["spill_over"] = true;
  findings found;
  const auto s = ParseDirectSettings(settings.dump(), found);
  ASSERT_TRUE(s) << found.Text();
  EXPECT_TRUE(s->spill_over);
  settings["spill_over"] = 1;
  EXPECT_FALSE(ParseDirectSettings(settings.dump(), found));
}

TEST(DirectSettings, ReadsAPublicPeerAddress) {
  json settings = ValidSettings();
  settings["peer_public"] = "192.0.2.1:7003";
  findings found;
  const auto s = ParseDirectSettings(settings.dump(), found);
  ASSERT_TRUE(s) << found.Text();
  EXPECT_EQ(ToString(PublicPeerAddress(*s)), "192.0.2.1:7003");
  settings["peer_public"] = "nowhere";
  EXPECT_FALSE(ParseDirectSettings(settings.dump(), found));
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found.list()[0].place, "/peer_public");
}

TEST(DirectSettings, ReadsOrRejectsTheLinkAndTheFirstStart) {
  json settings = ValidSettings();
  findings found;
  EXPECT_EQ(ParseDirectSettings(settings.dump(), found)->link_mbps, 1000U);
  settings["link_mbps"] = 0.5;
  settings["first_start"] = true;
  settings["admission"] = true;
  const auto s = ParseDirectSettings(settings.dump(), found);
  ASSERT_TRUE(s) << found.Text();
  EXPECT_EQ(s->link_mbps, 1U);
  EXPECT_TRUE(s->is_first_start);
  EXPECT_TRUE(s->is_admission_enabled);
  settings["link_mbps"] = -1;
  settings["first_start"] = "yes";
  EXPECT_FALSE(ParseDirectSettings(settings.dump(), found));
  EXPECT_EQ(found.size(), 2U) << found.Text();
}

TEST(DirectSettings, ReportsAllFaultsTogether) {
  json settings = ValidSettings();
  settings.erase("name");
  settings["domain"] = 7;
  settings["traffic"] = "nowhere";
  settings["peers"] = json::array({"127.0.0.1:7103", 5});
  settings["drain_bound_ms"] = -1;
  settings["log_level"] = "loud";
  settings["cores"] = 0;
  findings found;
  EXPECT_FALSE(ParseDirectSettings(settings.dump(), found));
  EXPECT_EQ(found.size(), 7U) << found.Text();
}

TEST(DirectSettings, IgnoresUnknownFields) {
  json settings = ValidSettings();
  settings["future"] = "x";
  findings found;
  EXPECT_TRUE(ParseDirectSettings(settings.dump(), found));
}

TEST(DirectSettings, ReadsOrRejectsFuzzedText) {
  const std::string valid_text = ValidSettings().dump();
  std::mt19937 random(4);
  constexpr int kRounds = 3000;
  for (int i = 0; i < kRounds; ++i) {
    std::string text = valid_text;
    for (uint32_t n = 1 + random() % 5; n-- > 0;)
      text[random() % text.size()] = static_cast<char>(random());
    findings found;
    const auto s = ParseDirectSettings(text, found);
    EXPECT_EQ(s.has_value(), found.empty());
  }
}

}  // namespace
}  // namespace radishyard
