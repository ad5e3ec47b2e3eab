// The control thread of several balancers with a fake platform: ownership and
// table under faults of the platform, kills and pauses.
#include <gtest/gtest.h>

#include "support/control_world.h"

namespace radishyard {
namespace {

const pool_name kRennes{"survey-link", "rennes"};

// Three balancers of rennes and two of quimper.
class control_test : public testing::Test {
 protected:
  void StartAll() {
    version = w.Edit("survey-link", 10);
    for (const char* name : {"rennes-1", "rennes-2", "rennes-3"})
      w.Start(name, "rennes");
    for (const char* name : {"quimper-1", "quimper-2"})
      w.Start(name, "quimper");
    ASSERT_TRUE(w.RunUntil([&] { return IsSettled(); }, 15s));
  }

  bool IsSettled() const { return w.HasOneOwnerEach() && AllHave(version); }

  bool AllHave(uint64_t wanted) const {
    return std::ranges::all_of(w.nodes, [&](const auto& node) {
      return node.second->Version("survey-link") >= wanted;
    });
  }

  void SetFaults(const store_fault& fault, const std::string& prefix = "") {
    for (const auto& [name, node] : w.nodes)
      if (name.starts_with(prefix)) node->store.SetFault(fault);
  }

  void TearDown() override {
    EXPECT_EQ(w.lease_violation, "");
    EXPECT_EQ(w.version_regression, "");
  }

  control_world w;
  uint64_t version = 0;
};

TEST_F(control_test, AllProposeAtOnceAndAllAreListed) {
  StartAll();
  ASSERT_TRUE(w.RunUntil(
      [&] {
        const auto& rosters = w.nodes.at("quimper-1")->control.rosters();
        return rosters.Latest("rennes").value.members.size() == 3 &&
               rosters.Latest("quimper").value.members.size() == 2;
      },
      5s));
}

TEST_F(control_test, StaleReadsAndOldEventsNeverRevert) {
  StartAll();
  version = w.Edit("survey-link", 11);
  ASSERT_TRUE(w.RunUntil([&] { return AllHave(version); }, 3s));
  for (const fault_mode mode :
       {fault_mode::kStaleRead, fault_mode::kStaleWatch}) {
    SetFaults({.mode = fault_mode::kOutage});  // Ends the waiting watches.
    w.RunFor(100ms);
    SetFaults({.mode = mode});
    w.RunFor(2s);
    EXPECT_TRUE(AllHave(version));
  }
  SetFaults({});
  EXPECT_TRUE(w.RunUntil([&] { return IsSettled(); }, 5s));
}

TEST_F(control_test, OneInformedBalancerTellsAll) {
  StartAll();
  SetFaults({.mode = fault_mode::kOutage});
  w.nodes.at("rennes-1")->store.SetFault({});
  w.nodes.at("quimper-1")->store.SetFault({});
  w.RunFor(1s);
  version = w.Edit("survey-link", 12);
  EXPECT_TRUE(w.RunUntil([&] { return AllHave(version); }, 3s));
}

TEST_F(control_test, ASuccessorTakesOverFromASilentOwner) {
  StartAll();
  const std::string owner = *w.PlacerOf(kRennes);
  const roster before =
      w.nodes.at("quimper-1")->control.rosters().Latest("rennes").value;
  w.Kill(owner);
  ASSERT_TRUE(w.RunUntil([&] { return IsSettled(); }, 10s));
  const std::string taker = *w.PlacerOf(kRennes);
  const auto& successors = before.pools.at(0).successors;
  EXPECT_TRUE(std::ranges::any_of(successors, [&](const member_id& id) {
    return id.name == taker;
  })) << taker;
}

TEST_F(control_test, LostAnswersOfRosterUpdatesLeaveOneOwner) {
  StartAll();
  SetFaults({.mode = fault_mode::kLostResponse});
  w.Kill(*w.PlacerOf(kRennes));
  EXPECT_TRUE(w.RunUntil([&] { return IsSettled(); }, 10s));
  w.Start("rennes-4", "rennes", fault_mode::kLostResponse);
  EXPECT_TRUE(w.RunUntil([&] { return IsSettled(); }, 10s));
}

TEST_F(control_test, APausedOwnerPlacesNothingAfterItsSuccessor) {
  StartAll();
  const std::string owner = *w.PlacerOf(kRennes);
  w.nodes.at(owner)->is_paused = true;
  EXPECT_TRUE(w.RunUntil(
      [&] {
        const auto placer = w.PlacerOf(kRennes);
        return placer && *placer != owner;
      },
      10s));
  w.nodes.at(owner)->is_paused = false;
  w.RunFor(3s);
  EXPECT_TRUE(IsSettled());
}

TEST_F(control_test, ANewRunLearnsFromItsPeersInAnOutage) {
  StartAll();
  SetFaults({.mode = fault_mode::kOutage});
  w.RunFor(500ms);
  control_node& late = w.Start("rennes-4", "rennes", fault_mode::kOutage);
  EXPECT_TRUE(w.RunUntil([&] { return AllHave(version); }, 3s));
  EXPECT_EQ(late.control.rosters().All().size(), 2);
  SetFaults({});
  EXPECT_TRUE(w.RunUntil([&] { return IsSettled(); }, 10s));
}

TEST_F(control_test, ADomainWithoutThePlatformGoesOnAndHeals) {
  StartAll();
  SetFaults({.mode = fault_mode::kOutage}, "rennes");
  w.RunFor(4s);
  EXPECT_TRUE(w.HasOneOwnerEach()) << "owners and successors still talk";
  version = w.Edit("survey-link", 13);
  EXPECT_TRUE(w.RunUntil([&] { return AllHave(version); }, 3s))
      << "the edit comes from quimper";
  w.Kill(*w.PlacerOf(kRennes));
  w.RunFor(4s);
  EXPECT_FALSE(w.PlacerOf(kRennes)) << "nobody may take it without the store";
  SetFaults({});
  EXPECT_TRUE(w.RunUntil([&] { return IsSettled(); }, 10s));
}

// The lease switched off, in effect: it outlasts the take-over. The check of
// the tests above must see two that may place.
TEST(ControlWithoutLease, APausedOwnerAndItsSuccessorBothPlace) {
  control_world w;
  w.limits.lease = 20s;
  w.Edit("survey-link", 10);
  for (const char* name : {"rennes-1", "rennes-2", "rennes-3"})
    w.Start(name, "rennes");
  ASSERT_TRUE(w.RunUntil([&] { return !!w.PlacerOf(kRennes); }, 15s));
  w.RunFor(2s);
  w.nodes.at(*w.PlacerOf(kRennes))->is_paused = true;
  EXPECT_TRUE(w.RunUntil([&] { return !w.lease_violation.empty(); }, 10s));
}

}  // namespace
}  // namespace radishyard
