// Tests of the control threads of several balancers with a fake platform: pool
// ownership and the table under faults of the platform, kills and pauses.
#include <gtest/gtest.h>

#include "roster/link_topology.h"
#include "support/controller_cluster.h"

namespace radishyard {
namespace {

const pool_name kRennesPool{"survey-link", "rennes"};

// Runs three balancers in the domain rennes and two in quimper.
class control_test : public testing::Test {
 protected:
  void StartAll() {
    version = world.WriteService("survey-link", 10);
    for (const char* name : {"rennes-1", "rennes-2", "rennes-3"})
      world.Start(name, "rennes");
    for (const char* name : {"quimper-1", "quimper-2"})
      world.Start(name, "quimper");
    ASSERT_TRUE(world.RunUntil([&] { return IsStable(); }, 15s));
  }

  bool IsStable() const {
    return world.HasOwnerForEachPool() && AllHaveVersion(version);
  }

  bool AllHaveVersion(uint64_t min_version) const {
    return std::ranges::all_of(world.nodes, [&](const auto& node) {
      return node.second->Version("survey-link") >= min_version;
    });
  }

  // Writes the request that the domain be evacuated, or restored.
  void WriteEvacuation(const std::string& domain, bool evacuated) {
    WriteObject(ToEvacuationKey(domain),
                ToJson(evacuation_record{domain, evacuated, 0, "edit", {}}));
  }

  void WriteObject(const std::string& key, const std::string& value) {
    const auto found = world.platform.Find(key, false);
    failure why;
    world.platform.Put(key, value, found ? found->version : 0, why);
  }

  // True if no balancer places new flows in the domain or, if `evacuated` is
  // false, all do.
  bool AllHaveEvacuated(const std::string& domain, bool evacuated) const {
    return std::ranges::all_of(world.nodes, [&](const auto& node) {
      const auto& pools = node.second->traffic.view->pools;
      return !pools.empty() &&
             std::ranges::all_of(pools, [&](const pool_route& pool) {
               return pool.name.domain != domain || pool.weight == 0 ||
                      pool.evacuated == evacuated;
             });
    });
  }

  void SetFaults(const store_fault& fault, const std::string& prefix = "") {
    for (const auto& [name, node] : world.nodes)
      if (name.starts_with(prefix)) node->store.SetFault(fault);
  }

  void TearDown() override {
    EXPECT_EQ(world.lease_violation, "");
    EXPECT_EQ(world.version_regression, "");
  }

  controller_cluster world;
  uint64_t version = 0;
};

TEST_F(control_test, AllBalancersThatProposeAtOnceGetListed) {
  StartAll();
  ASSERT_TRUE(world.RunUntil(
      [&] {
        const auto& rosters = world.nodes.at("quimper-1")->control.rosters();
        return rosters.Latest("rennes").value.members.size() == 3 &&
               rosters.Latest("quimper").value.members.size() == 2;
      },
      5s));
}

TEST_F(control_test, StaleReadsAndRepeatedEventsDoNotRevertTheTable) {
  StartAll();
  version = world.WriteService("survey-link", 11);
  ASSERT_TRUE(world.RunUntil([&] { return AllHaveVersion(version); }, 3s));
  for (const fault_mode mode :
       {fault_mode::kStaleRead, fault_mode::kStaleWatch}) {
    SetFaults({.mode = fault_mode::kOutage});  // Ends the pending watches.
    world.RunFor(100ms);
    SetFaults({.mode = mode});
    world.RunFor(2s);
    EXPECT_TRUE(AllHaveVersion(version));
  }
  SetFaults({});
  EXPECT_TRUE(world.RunUntil([&] { return IsStable(); }, 5s));
}

TEST_F(control_test, OneBalancerWithTheStorePerDomainUpdatesAll) {
  StartAll();
  SetFaults({.mode = fault_mode::kOutage});
  world.nodes.at("rennes-1")->store.SetFault({});
  world.nodes.at("quimper-1")->store.SetFault({});
  world.RunFor(1s);
  version = world.WriteService("survey-link", 12);
  EXPECT_TRUE(world.RunUntil([&] { return AllHaveVersion(version); }, 3s));
}

// Guards against an evacuation that only some balancers honour, or that changes
// the table.
TEST_F(control_test, EvacuationsReachAllBalancersThroughOneWithTheStore) {
  StartAll();
  SetFaults({.mode = fault_mode::kOutage});
  world.nodes.at("quimper-1")->store.SetFault({});
  world.RunFor(1s);
  WriteEvacuation("rennes", true);
  EXPECT_TRUE(
      world.RunUntil([&] { return AllHaveEvacuated("rennes", true); }, 7s));
  EXPECT_TRUE(AllHaveEvacuated("quimper", false));
  EXPECT_TRUE(AllHaveVersion(version));
  WriteEvacuation("rennes", false);
  EXPECT_TRUE(
      world.RunUntil([&] { return AllHaveEvacuated("rennes", false); }, 7s));
}

// Guards against an evacuation that a stale answer of the store ends, that a
// malformed record ends, or that a balancer that starts during an outage does
// not know.
TEST_F(control_test, EvacuationOutlastsStaleReadsMalformedRecordsAndOutages) {
  StartAll();
  WriteEvacuation("rennes", false);
  WriteEvacuation("rennes", true);
  ASSERT_TRUE(
      world.RunUntil([&] { return AllHaveEvacuated("rennes", true); }, 7s));
  for (const fault_mode mode :
       {fault_mode::kStaleRead, fault_mode::kStaleWatch}) {
    SetFaults({.mode = fault_mode::kOutage});  // Ends the pending watches.
    world.RunFor(100ms);
    SetFaults({.mode = mode});
    world.RunFor(1s);
    EXPECT_TRUE(AllHaveEvacuated("rennes", true));
  }
  SetFaults({});
  WriteObject("evacuations/rennes", "{}");
  WriteObject("evacuations/Quimper!", "{}");
  WriteObject("evacuations/quimper",
              ToJson(evacuation_record{"rennes", false, 0, "edit", {}}));
  world.RunFor(1s);
  EXPECT_TRUE(AllHaveEvacuated("rennes", true));
  EXPECT_TRUE(AllHaveEvacuated("quimper", false));
  SetFaults({.mode = fault_mode::kOutage});
  world.RunFor(500ms);
  controller_node& new_run =
      world.Start("rennes-4", "rennes", fault_mode::kOutage);
  EXPECT_TRUE(world.RunUntil(
      [&] {
        return EvacuatedDomains(new_run.control.evacuations())
            .contains("rennes");
      },
      3s));
}

// Balancers that are listed but no delegates rely on their peers. While many
// are replaced, the rosters change several times in a few seconds.
TEST_F(control_test, ABalancerGoesOnWatchingTheStoreOnceItIsListed) {
  StartAll();
  std::map<std::string, uint64_t> watches;
  for (const auto& [name, node] : world.nodes)
    watches[name] = node->store.calls().watches;
  EXPECT_FALSE(world.RunUntil([] { return false; }, 6s));
  for (const auto& [name, node] : world.nodes)
    EXPECT_GT(node->store.calls().watches, watches[name]) << name;
}

TEST_F(control_test, SuccessorTakesOverFromAnUnresponsiveOwner) {
  StartAll();
  const std::string owner = *world.FindPlacer(kRennesPool);
  const roster before =
      world.nodes.at("quimper-1")->control.rosters().Latest("rennes").value;
  world.Kill(owner);
  ASSERT_TRUE(world.RunUntil([&] { return IsStable(); }, 10s));
  const std::string new_owner = *world.FindPlacer(kRennesPool);
  const auto& successors = before.pools.at(0).successors;
  EXPECT_TRUE(std::ranges::any_of(successors, [&](const member_id& id) {
    return id.name == new_owner;
  })) << new_owner;
}

// A balancer that becomes a delegate has had no heartbeats of the other domains
// before. It treated all their members as dead for an interval and sent flows
// of their pools elsewhere, retransmissions of running requests among them.
TEST_F(control_test, NewDelegateKeepsReachingTheOtherDomains) {
  StartAll();
  world.RunFor(3s);  // Longer than members of other domains are presumed alive.
  const roster listed =
      world.nodes.at("quimper-1")->control.rosters().Latest("rennes").value;
  std::set<member_id> members;
  for (const member& m : listed.members) members.insert(m.id);
  const auto delegates = ChooseDelegates(listed, members);
  for (const member_id& id : delegates) members.erase(id);
  ASSERT_EQ(members.size(), 1U);
  controller_node& new_delegate = *world.nodes.at(members.begin()->name);
  world.Kill(delegates.front().name);
  EXPECT_FALSE(world.RunUntil(
      [&] {
        return std::ranges::any_of(
            new_delegate.traffic.view->pools, [](const pool_route& pool) {
              return pool.name.domain == "quimper" && !pool.reachable;
            });
      },
      4s));
}

TEST_F(control_test, LostRepliesToRosterUpdatesLeaveOneOwner) {
  StartAll();
  SetFaults({.mode = fault_mode::kLostResponse});
  world.Kill(*world.FindPlacer(kRennesPool));
  EXPECT_TRUE(world.RunUntil([&] { return IsStable(); }, 10s));
  world.Start("rennes-4", "rennes", fault_mode::kLostResponse);
  EXPECT_TRUE(world.RunUntil([&] { return IsStable(); }, 10s));
}

TEST_F(control_test, PausedOwnerPlacesNothingAfterItsSuccessorTookOver) {
  StartAll();
  const std::string owner = *world.FindPlacer(kRennesPool);
  world.nodes.at(owner)->is_paused = true;
  EXPECT_TRUE(world.RunUntil(
      [&] {
        const auto placer = world.FindPlacer(kRennesPool);
        return placer && *placer != owner;
      },
      10s));
  world.nodes.at(owner)->is_paused = false;
  world.RunFor(3s);
  EXPECT_TRUE(IsStable());
}

TEST_F(control_test, NewRunReceivesTableAndRostersFromPeersDuringAnOutage) {
  StartAll();
  SetFaults({.mode = fault_mode::kOutage});
  world.RunFor(500ms);
  controller_node& new_run =
      world.Start("rennes-4", "rennes", fault_mode::kOutage);
  EXPECT_TRUE(world.RunUntil([&] { return AllHaveVersion(version); }, 3s));
  EXPECT_EQ(new_run.control.rosters().All().size(), 2);
  SetFaults({});
  EXPECT_TRUE(world.RunUntil([&] { return IsStable(); }, 10s));
}

TEST_F(control_test, DomainWithoutThePlatformKeepsItsOwnersAndRecovers) {
  StartAll();
  SetFaults({.mode = fault_mode::kOutage}, "rennes");
  world.RunFor(4s);
  EXPECT_TRUE(world.HasOwnerForEachPool())
      << "owners and successors still have links";
  version = world.WriteService("survey-link", 13);
  EXPECT_TRUE(world.RunUntil([&] { return AllHaveVersion(version); }, 3s))
      << "quimper forwards the edit";
  world.Kill(*world.FindPlacer(kRennesPool));
  world.RunFor(4s);
  EXPECT_FALSE(world.FindPlacer(kRennesPool))
      << "a takeover requires the store";
  SetFaults({});
  EXPECT_TRUE(world.RunUntil([&] { return IsStable(); }, 10s));
}

// The lease is longer than the takeover wait, so it no longer prevents two
// owners. The check of the tests above must then report two balancers that may
// place, which shows that the check works.
TEST(ControlWithoutLease, PausedOwnerAndItsSuccessorBothPlace) {
  controller_cluster world;
  world.limits.lease = 20s;
  world.WriteService("survey-link", 10);
  for (const char* name : {"rennes-1", "rennes-2", "rennes-3"})
    world.Start(name, "rennes");
  ASSERT_TRUE(
      world.RunUntil([&] { return !!world.FindPlacer(kRennesPool); }, 15s));
  world.RunFor(2s);
  world.nodes.at(*world.FindPlacer(kRennesPool))->is_paused = true;
  EXPECT_TRUE(
      world.RunUntil([&] { return !world.lease_violation.empty(); }, 10s));
}

}  // namespace
}  // namespace radishyard
