// Tests the scan for the values of a JSON document: values are found whatever
// the others contain, nesting is bounded, and broken documents are rejected.
#include "table/json_scan.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "store/store_codec.h"

namespace radishyard {
namespace {

using internal::json_limits;
using internal::json_text;
using internal::ParseBoundedJson;
using internal::ScanValue;
using internal::VisitItems;
using internal::VisitMembers;
using nlohmann::json;

constexpr json_limits kLimits{.max_bytes = 1000, .max_depth = 3};

std::vector<std::string> ItemsOf(std::string_view text) {
  std::vector<std::string> items;
  const bool is_array = VisitItems(
      text, [&items](const json_text& item) { items.emplace_back(item.text); });
  return is_array ? items : std::vector<std::string>{"not an array"};
}

TEST(JsonScan, FindsTheItemsOfAnArray) {
  EXPECT_EQ(ItemsOf(R"( [ 1 , "a,]\"b" , {"c":[2]} , [ ] , null ,1e999] )"),
            (std::vector<std::string>{"1", R"("a,]\"b")", R"({"c":[2]})", "[ ]",
                                      "null", "1e999"}));
  EXPECT_TRUE(ItemsOf("[]").empty());
}

TEST(JsonScan, FindsTheMembersOfAnObject) {
  std::string seen;
  EXPECT_TRUE(VisitMembers(R"({"a":1, "b\"":{"x":[]},"c" : "d"})",
                           [&seen](std::string_view key, const json_text& v) {
                             seen += std::string(key) + "=" +
                                     std::string(v.text) + "@" +
                                     std::to_string(v.depth) + ";";
                           }));
  EXPECT_EQ(seen, R"(a=1@0;b\"={"x":[]}@2;c="d"@0;)");
}

TEST(JsonScan, RejectsWhatIsNoArray) {
  for (const char* text : {"", "[", "[1", "[1,", "[1,]", "[1]2", "{}", "1",
                           "[\"]", "[\"\\\"]", "[[]", "[,1]"})
    EXPECT_EQ(ItemsOf(text), (std::vector<std::string>{"not an array"}))
        << text;
}

TEST(JsonScan, RejectsWhatIsNoObject) {
  const auto ignore = [](std::string_view, const json_text&) {};
  for (const char* text :
       {"", "{", "{\"a\"", "{\"a\":", "{\"a\":1", "{\"a\":1,}", "{a:1}",
        "{\"a\":1}}", "[]", "{\"a\" 1}"})
    EXPECT_FALSE(VisitMembers(text, ignore)) << text;
}

TEST(JsonScan, BoundsNestingAndSize) {
  EXPECT_TRUE(ParseBoundedJson(*ScanValue("[[[1]]]"), kLimits));
  EXPECT_FALSE(ParseBoundedJson(*ScanValue("[[[[1]]]]"), kLimits));
  std::string long_text(1002, 'x');
  long_text.front() = long_text.back() = '"';
  EXPECT_FALSE(ParseBoundedJson(*ScanValue(long_text), kLimits));
  EXPECT_FALSE(ParseBoundedJson(*ScanValue("1e999"), kLimits));
  EXPECT_FALSE(ParseBoundedJson(*ScanValue("nonsense"), kLimits));
  EXPECT_FALSE(ParseBoundedJson({}, kLimits));
}

// Whatever the parser accepts is one value to the scan, with the same items.
TEST(JsonScan, AgreesWithTheParserOnMutatedDocuments) {
  const std::string valid =
      R"([{"a":[1,2.5e3,"x\\\""],"b":{"c":null}},true,"\u00e4",[[]]])";
  std::mt19937 random(3);
  constexpr int kRounds = 20'000;
  for (int round = 0; round < kRounds; ++round) {
    std::string text = valid;
    for (uint32_t i = 1 + random() % 3; i > 0; --i)
      text[random() % text.size()] = static_cast<char>(random() % 128);
    const json parsed = json::parse(text, nullptr, false);
    if (parsed.is_discarded()) {
      ItemsOf(text);
      continue;
    }
    ASSERT_TRUE(ScanValue(text)) << text;
    if (!parsed.is_array()) continue;
    EXPECT_EQ(ItemsOf(text).size(), parsed.size());
  }
}

// One object that another program has written must not stop a balancer from
// following the others.
TEST(StoreCodec, LeavesOutAMalformedObject) {
  const std::string good = R"({"key":"a","value":"v","version":3})";
  constexpr size_t kLevels = 200'000;
  const std::string deep =
      std::string(kLevels, '[') + std::string(kLevels, ']');
  for (const std::string& odd :
       {std::string("1e999"), deep, std::string(R"({"key":1})"),
        R"({"key":"b","value":")" + std::string(2U << 20, 'x') +
            R"(","version":4})",
        std::string("{\"key\":\"\xff\",\"value\":\"\",\"version\":1}"),
        std::string(R"({"key":"b","value":"v","version":-1})")}) {
    std::string body = R"({"revision":9,"objects":[)";
    for (const std::string& part : {good, odd, good})
      body.append(body.back() == '[' ? "" : ",").append(part);
    body += "]}";
    const auto batch = internal::ParseBatch(body);
    ASSERT_TRUE(batch) << odd.substr(0, 40);
    EXPECT_EQ(batch->objects.size(), 2U) << odd.substr(0, 40);
    EXPECT_EQ(batch->rejected, 1U);
    EXPECT_EQ(batch->revision, 9U);
  }
  EXPECT_FALSE(internal::ParseBatch(deep));
  EXPECT_FALSE(internal::ParseObject(deep));
  EXPECT_FALSE(internal::ParseVms(deep));
  EXPECT_FALSE(internal::ParseVersion(deep));
}

}  // namespace
}  // namespace radishyard
