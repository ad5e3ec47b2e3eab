// The operators' commands over a store that fails, loses answers and takes
// edits of others in between.
#include "radishyard/ctl.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>

#include "ctl/command_line.h"
#include "roster/roster_json.h"
#include "support/fake_store.h"

namespace radishyard {
namespace {

using nlohmann::json;
using testing::HasSubstr;
using testing::StartsWith;

enum class fault : uint8_t { kNone, kLostAfter, kLostBefore, kRefused, kMute };

// The faults of `put_faults` concern one Put each; the hooks run around a Put,
// as another operator would.
class scripted_store : public fake_store {
 public:
  using fake_store::fake_store;

  void Put(const std::string& key, const std::string& value, uint64_t expected,
           store_handler<uint64_t> handler) override {
    const fault now = put_faults.empty() ? fault::kNone : put_faults.front();
    if (!put_faults.empty()) put_faults.pop_front();
    if (now == fault::kMute) return;
    if (now == fault::kRefused)
      return Fail(handler, failure_kind::kUnavailable);
    if (now == fault::kLostBefore) return Fail(handler, failure_kind::kUnknown);
    if (before_put) before_put();
    if (now == fault::kLostAfter) {
      handler = [handler](std::optional<uint64_t>, const failure&) {
        handler(std::nullopt, {failure_kind::kUnknown, "lost"});
      };
    }
    fake_store::Put(key, value, expected, handler);
    if (after_put) after_put();
  }

  std::deque<fault> put_faults;
  std::function<void()> before_put;
  std::function<void()> after_put;

 private:
  void Fail(const store_handler<uint64_t>& handler, failure_kind kind) {
    fake_store::Get("none", [handler, kind](auto, const failure&) {
      handler(std::nullopt, {kind, "scripted"});
    });
  }
};

service Example(const std::string& name, uint32_t subnet) {
  service s{name, subnet, {{80, 80}}, {}, false};
  for (uint32_t i = 1; i <= 4; ++i) {
    s.upstreams.push_back(
        {"u" + std::to_string(i), subnet + i, "rennes", 10, 2, 2000});
  }
  return s;
}

class ctl_test : public testing::Test {
 protected:
  ctl_test() {
    std::string name = std::filesystem::temp_directory_path() / "ctlXXXXXX";
    folder_ = ::mkdtemp(name.data());
  }
  ~ctl_test() override { std::filesystem::remove_all(folder_); }

  std::string File(const std::string& name, const std::string& text) {
    std::ofstream(folder_ / name) << text;
    return folder_ / name;
  }
  std::string File(const service& s) {
    return File(s.name + ".json", ToJson(s));
  }
  // Runs a command line as the tool would.
  command_result Run(std::vector<std::string> words) {
    words.insert(words.begin(), {"radishyardctl", "-p", "127.0.0.1:1"});
    std::vector<const char*> argv;
    argv.reserve(words.size() + 1);
    for (const std::string& word : words) argv.push_back(word.c_str());
    argv.push_back(nullptr);
    failure why;
    const auto line =
        ParseCommandLine(static_cast<int>(words.size()), argv.data(), why);
    if (!line) return {exit_code::kUsage, why.text, {}};
    return RunCommand(*line, {blocking_, fetch_, [this] {
                                return "edit-" + std::to_string(++edits_);
                              }});
  }
  service Stored(const std::string& name) {
    failure why;
    return ReadService(blocking_, name, why).value().record.value;
  }
  // Another operator's edit, past the tool.
  void EditAside(const std::string& name,
                 const std::function<void(service&)>& edit) {
    const stored_object object =
        platform_.Find(ToServiceKey(name), false).value();
    findings found;
    service_record record =
        ParseRecord(object.value, object.version, found).value();
    auto earlier_edits = ParseEarlierEdits(object.value);
    earlier_edits.insert(earlier_edits.begin(),
                         {record.edit_id, record.version});
    edit(record.value);
    failure why;
    platform_.Put(object.key,
                  ToRecordJson(record.value, "aside", earlier_edits),
                  object.version, why);
  }
  // The edit runs aside during the first Put only.
  void EditAsideOnce(const std::function<void(service&)>& edit,
                     bool after = false) {
    auto& hook = after ? store_.after_put : store_.before_put;
    hook = [this, edit, &hook] {
      EditAside("a", edit);
      hook = nullptr;
    };
  }

  asio::io_context io_;
  fake_platform platform_;
  scripted_store store_{io_, platform_};
  blocking_store blocking_{store_, io_, 200ms};
  page_fetcher fetch_;
  std::filesystem::path folder_;
  int edits_ = 0;
};

TEST_F(ctl_test, ApplyAcceptsOnceAndChecksBeforeWriting) {
  const std::string a = File(Example("a", 0x0a000100));
  File(Example("b", 0x0a000200));
  EXPECT_EQ(Run({"apply", "-f", folder_}).text,
            "a: accepted, version 1, edit edit-1\n"
            "b: accepted, version 2, edit edit-2\n");
  EXPECT_THAT(Run({"apply", "-f", a}).text, "a: unchanged, version 1\n");
  EXPECT_EQ(platform_.revision(), 2U);

  // An upstream of "a" in "c", and a faulty file: nothing is written.
  service c = Example("c", 0x0a000300);
  c.upstreams[0].address = 0x0a000101;
  const auto clashing = Run({"apply", "-f", File(c)});
  EXPECT_EQ(clashing.code, exit_code::kFindings);
  EXPECT_THAT(clashing.text, HasSubstr("/c: has the upstream endpoint"));
  File("d.json", "{");
  EXPECT_EQ(Run({"apply", "-f", folder_}).code, exit_code::kFindings);
  EXPECT_EQ(Run({"validate", folder_}).json["findings"].size(), 2U);
  EXPECT_EQ(platform_.revision(), 2U);
  store_.SetFault({.mode = fault_mode::kOutage});
  EXPECT_EQ(Run({"apply", "-f", a}).code, exit_code::kUnavailable);
}

TEST_F(ctl_test, CommandLineFaultsAreUsage) {
  for (const std::vector<std::string>& words :
       std::vector<std::vector<std::string>>{
           {},
           {"frob"},
           {"apply"},
           {"drain", "a"},
           {"--nothing"},
           {"status", "-o", "xml"},
           {"status", "-t", "0"},
           {"settle", "e", "a", "--after", "-1"}}) {
    EXPECT_EQ(Run(words).code, exit_code::kUsage);
  }
}

TEST_F(ctl_test, TwoOperatorsLoseNoEdit) {
  const service base = Example("a", 0x0a000100);
  const std::string base_file = File("base.json", ToJson(base));
  Run({"apply", "-f", base_file});
  service mine = base;
  mine.upstreams[0].weight = 12;
  const std::string file = File(mine);
  const auto add_row = [](service& s) {
    s.upstreams.push_back({"u5", 0x0a000105, "vannes", 3, 2, 9});
    s.upstreams[0].slots = 7;
  };

  // In the middle of an apply: refused, or merged where asked for.
  EditAsideOnce(add_row);
  const auto refused = Run({"apply", "-f", file});
  EXPECT_EQ(refused.code, exit_code::kNotDone);
  EXPECT_THAT(refused.text,
              HasSubstr("from version 1, the store has version 2"));
  EXPECT_THAT(refused.text, HasSubstr("/upstreams/u5"));
  const auto merged = Run({"apply", "-f", file, "--merge", "-b", base_file});
  EXPECT_EQ(merged.code, exit_code::kDone) << merged.text;
  EXPECT_EQ(Stored("a").upstreams.size(), 5U);
  EXPECT_EQ(Stored("a").upstreams[0].weight, 12U);
  EXPECT_EQ(Stored("a").upstreams[0].slots, 7U);

  // The same field in two ways is a conflict at its place, also with --merge.
  EditAside("a", [](service& s) { s.upstreams[0].weight = 14; });
  const auto conflict = Run({"apply", "-f", file, "-m", "-b", base_file});
  EXPECT_EQ(conflict.code, exit_code::kNotDone);
  EXPECT_THAT(conflict.text, HasSubstr("conflict at /upstreams/u1/weight: was "
                                       "10, your edit makes it 12, the store "
                                       "has 14"));
  // A file that names the version it was made from is held to it.
  const auto old = Run({"apply", "-f", File("v.json", ToFileJson({mine, 1}))});
  EXPECT_EQ(old.code, exit_code::kNotDone);
  EXPECT_EQ(Stored("a").upstreams[0].weight, 14U);
  // A file that names no state ends no drain.
  Run({"drain", "a", "u4"});
  json open = json::parse(ToFileJson({Stored("a"), platform_.revision()}));
  for (json& row : open["upstreams"]) row.erase("state");
  EXPECT_THAT(Run({"apply", "-f", File("open.json", open.dump())}).text,
              StartsWith("a: unchanged"));
  // A one-row edit starts again on top of the other edit.
  EditAsideOnce([](service& s) { s.upstreams[1].weight = 1; });
  EXPECT_EQ(Run({"drain", "a", "u1"}).code, exit_code::kDone);
  EXPECT_EQ(Stored("a").upstreams[0].state, upstream_state::kLeaving);
  EXPECT_EQ(Stored("a").upstreams[1].weight, 1U);
}

TEST_F(ctl_test, LostAnswersAreSettledNeverGuessed) {
  Run({"apply", "-f", File(Example("a", 0x0a000100))});
  store_.put_faults = {fault::kLostAfter};
  EXPECT_THAT(Run({"drain", "a", "u1"}).text, StartsWith("a: accepted"));
  store_.put_faults = {fault::kLostBefore, fault::kRefused};
  EXPECT_THAT(Run({"drain", "a", "u2"}).text, StartsWith("a: accepted"));
  EXPECT_EQ(platform_.revision(), 3U);

  // Accepted, then replaced by another's edit before it was read back.
  store_.put_faults = {fault::kLostAfter};
  EditAsideOnce([](service& s) { s.upstreams[3].weight = 1; }, true);
  EXPECT_THAT(Run({"drain", "a", "u3"}).text, StartsWith("a: accepted"));
  EXPECT_EQ(Stored("a").upstreams[2].state, upstream_state::kLeaving);

  // Lost on its way while another's edit took its place: made again on top.
  store_.put_faults = {fault::kLostBefore};
  EditAsideOnce([](service& s) { s.upstreams[3].weight = 2; });
  EXPECT_THAT(Run({"join", "a", "u3"}).text, StartsWith("a: accepted"));
  EXPECT_EQ(Stored("a").upstreams[3].weight, 2U);

  // The answer is lost, then the platform fails: unknown, with its id.
  const uint64_t before = platform_.revision();
  store_.put_faults = {fault::kLostAfter};
  store_.after_put = [this] { store_.SetFault({fault_mode::kOutage}); };
  const auto unknown = Run({"activate", "a", "u3"});
  store_.after_put = nullptr;
  EXPECT_EQ(unknown.code, exit_code::kUnknown);
  const std::string id = unknown.json["services"][0]["edit_id"];
  const std::string after = std::to_string(before);
  EXPECT_THAT(unknown.text, HasSubstr("settle " + id + " a --after " + after));
  store_.SetFault({fault_mode::kStaleRead});
  EXPECT_EQ(Run({"settle", id, "a", "--after", after}).code,
            exit_code::kUnknown);
  store_.SetFault({});
  EXPECT_THAT(Run({"settle", id, "a"}).text, HasSubstr("a: accepted"));
  EXPECT_EQ(Run({"settle", "other", "a"}).code, exit_code::kUnknown);
  EXPECT_EQ(Run({"settle", "other", "a", "--after", after}).code,
            exit_code::kNotDone);
}

TEST_F(ctl_test, SettlesNothingThatTheHistoryDoesNotShow) {
  stored_service now{{Example("a", 1), 40, "e40"}, {{"e38", 38}, {"e37", 37}}};
  EXPECT_FALSE(ResolveEdit(now, "mine", 40));  // May still be on its way.
  EXPECT_FALSE(ResolveEdit(now, "mine", 30));
  EXPECT_EQ(ResolveEdit(now, "mine", 37)->state, edit_state::kNotAccepted);
  EXPECT_EQ(ResolveEdit(now, "e37", 30)->state, edit_state::kAccepted);
  EXPECT_EQ(ResolveEdit(now, "mine", 0)->state, edit_state::kNotAccepted);
  now.earlier_edits.resize(kMaxEarlierEdits);
  EXPECT_FALSE(ResolveEdit(now, "mine", 0));
}

// Whatever is lost, whenever others edit, the report agrees with the store.
TEST_F(ctl_test, ReportsAgreeWithTheStore) {
  Run({"apply", "-f", File(Example("a", 0x0a000100))});
  const bool holds =
      rc::check([this](const std::vector<uint8_t>& faults, bool others_edit) {
        for (size_t i = 0; i < faults.size() && i < 5; ++i)
          store_.put_faults.push_back(static_cast<fault>(faults[i] % 4));
        if (others_edit)
          EditAsideOnce([](service& s) { s.upstreams[1].weight ^= 1; });
        const auto base = Stored("a").upstreams[0].state;
        const bool drains = base != upstream_state::kLeaving;
        const auto result = Run({drains ? "drain" : "activate", "a", "u1"});
        store_.put_faults.clear();
        store_.before_put = nullptr;
        const bool is_changed = Stored("a").upstreams[0].state != base;
        const std::string said = result.json["services"][0]["outcome"];
        if (said == "accepted") RC_ASSERT(is_changed);
        if (said == "not accepted") RC_ASSERT(!is_changed);
        RC_ASSERT((said == "unknown") == (result.code == exit_code::kUnknown));
      });
  EXPECT_TRUE(holds);
}

TEST_F(ctl_test, KilledMidwayLeavesWholeServices) {
  const service a = Example("a", 0x0a000100);
  const service b = Example("b", 0x0a000200);
  File(a);
  File(b);
  // The store goes mute at the second write, as for a tool that is gone.
  store_.put_faults = {fault::kNone, fault::kMute, fault::kMute,
                       fault::kMute, fault::kMute, fault::kMute};
  EXPECT_EQ(Run({"apply", "-f", folder_}).code, exit_code::kUnknown);
  EXPECT_FALSE(platform_.Find(ToServiceKey("b"), false));
  EXPECT_EQ(Stored("a"), a);
  EXPECT_EQ(Run({"apply", "-f", folder_}).code, exit_code::kDone);
  EXPECT_EQ(Stored("b"), b);
  EXPECT_EQ(Run({"delete", "b"}).code, exit_code::kDone);
  EXPECT_TRUE(Stored("b").deleted);
  EXPECT_THAT(Run({"get"}).text, HasSubstr("b: version 3"));
  EXPECT_THAT(Run({"diff", "-f", folder_}).text,
              HasSubstr("/deleted: true -> false"));
}

TEST_F(ctl_test, StatusTellsWhatIsInForceWhere) {
  Run({"apply", "-f", File(Example("a", 0x0a000100))});
  const roster r{"rennes",
                 1,
                 {{{"b1", 1}, "rennes", 1, {1, 1}, 1, {1, 2}, {1, 3}},
                  {{"b2", 1}, "rennes", 1, {1, 4}, 1, {1, 5}, {1, 6}}},
                 {}};
  failure why;
  platform_.Put("rosters/rennes", ToJson(r), 0, why);
  const std::string page = R"({"balancer":"b1","services":{"a":{"version":1}},
    "flows":{"open":5,"queued":1},"pools":[{"service":"a","domain":"rennes",
    "owner":true,"connections":5,"slots":2,"queued":1}],"new":[]})";
  balancer_page second{std::nullopt, "refused"};
  fetch_ = [&](const std::vector<endpoint>& addresses) {
    EXPECT_EQ(addresses, (std::vector<endpoint>{{1, 3}, {1, 6}}));
    return std::vector<balancer_page>{{page, ""}, second};
  };
  auto status = Run({"status"});
  EXPECT_EQ(status.code, exit_code::kDone);
  EXPECT_THAT(status.text, HasSubstr("in force on 1 of 1"));
  EXPECT_THAT(status.text, HasSubstr("b2 in rennes: no answer: refused"));
  second.body = R"({"balancer":"b2","services":{},"flows":{"open":1}})";
  status = Run({"status"});
  EXPECT_EQ(status.code, exit_code::kLagging);
  EXPECT_THAT(status.text, HasSubstr("lagging: b2 (0)"));
  EXPECT_EQ(Run({"flows"}).json["open"], 6);
  EXPECT_EQ(Run({"flows"}).json["pools"][0]["slots"], 2);
  store_.SetFault({.mode = fault_mode::kOutage});
  EXPECT_EQ(Run({"status"}).code, exit_code::kUnavailable);
}

}  // namespace
}  // namespace radishyard
