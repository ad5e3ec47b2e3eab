// Tests which requests to evacuate a failure domain are in effect on a
// balancer, how they spread, and that the bound holds by its sum.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "direct/view/registry_follower.h"
#include "peer/peer_codec.h"
#include "radishyard/direct.h"
#include "support/direct_world.h"

namespace radishyard {
namespace {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)

constexpr upstream_id kLocal = 1;
constexpr upstream_id kRemote = 2;

class evacuation : public testing::Test {
 protected:
  evacuation() { state().honours_evacuations = true; }

  forwarding_state& state() { return world_.state; }

  evacuation_effect Request(uint64_t revision,
                            std::vector<std::string> domains) {
    return ApplyEvacuations(state(), {{0, revision}, std::move(domains)},
                            AtMs(0));
  }

  static direct_packet Opening(uint16_t port, uint32_t retransmissions = 0) {
    return {.flow = {{0x7F000001, port}, kIdempotentAddress, protocol::kTcp},
            .is_opening = true,
            .retransmission_count = retransmissions};
  }

  upstream_id Place(uint16_t port) {
    return RoutePacket(state(), Opening(port), AtMs(10)).upstream;
  }

  direct_world world_{{MakeEntry(kLocal), MakeEntry(kRemote, kRemoteDomain)}};
};

TEST_F(evacuation, NewFlowsLeaveTheDomainAndOpenFlowsStay) {
  Request(5, {});
  ASSERT_EQ(Place(1000), kLocal);
  direct_packet data = Opening(1000);
  data.is_opening = false;
  data.mark = ToFlowMark(kLocal);
  data.length = 100;
  RoutePacket(state(), data, AtMs(11));
  EXPECT_EQ(Request(6, {kLocalDomain}), evacuation_effect::kChanged);
  for (uint16_t port = 1001; port < 1020; ++port)
    EXPECT_EQ(Place(port), kRemote);
  data.sequence = 100;
  EXPECT_EQ(RoutePacket(state(), data, AtMs(20)).upstream, kLocal);
  EXPECT_EQ(Request(7, {}), evacuation_effect::kChanged);
  EXPECT_EQ(Place(1020), kLocal);
}

// The upstream may not have received the first copy, which was placed before
// the request.
TEST_F(evacuation, ADuplicateOfAnUnconfirmedOpeningMoves) {
  Request(5, {});
  ASSERT_EQ(Place(1000), kLocal);
  Request(6, {kLocalDomain});
  EXPECT_EQ(Place(1000), kRemote);
}

TEST_F(evacuation, AListOfUpstreamsDoesNotBringTheDomainBack) {
  Request(6, {kLocalDomain});
  world_.ApplyList(
      {MakeEntry(kLocal), MakeEntry(3), MakeEntry(kRemote, kRemoteDomain)},
      AtMs(5));
  EXPECT_EQ(Place(1000), kRemote);
}

TEST_F(evacuation, OpeningsAreRefusedWithTheirOwnReasonIfNoDomainIsLeft) {
  Request(6, {kRemoteDomain, kLocalDomain});
  const verdict decision = RoutePacket(state(), Opening(1000), AtMs(10));
  EXPECT_EQ(decision.action, verdict_action::kRefuse);
  EXPECT_EQ(decision.reason, verdict_reason::kEvacuated);
  // Without any ready upstream, evacuation is not the reason.
  world_.ApplyList({}, AtMs(20));
  EXPECT_EQ(RoutePacket(state(), Opening(1001), AtMs(9000)).reason,
            verdict_reason::kNoUpstream);
}

TEST_F(evacuation, ADomainThatNobodyHasHeardOfChangesNothing) {
  Request(6, {"elsewhere"});
  EXPECT_EQ(Place(1000), kLocal);
}

TEST_F(evacuation, NoOpeningIsPlacedBeforeTheRequestsAreKnown) {
  EXPECT_FALSE(IsReady(state()));
  EXPECT_EQ(RoutePacket(state(), Opening(1000), AtMs(10)).action,
            verdict_action::kDrop);
  Request(1, {});
  EXPECT_TRUE(IsReady(state()));
}

TEST_F(evacuation, WithoutTheSettingReportsOfOthersHaveNoEffect) {
  state().honours_evacuations = false;
  EXPECT_TRUE(IsReady(state()));
  ApplyEvacuationReport(state(), {.revision = 9, .domains = {kLocalDomain}},
                        AtMs(0));
  EXPECT_EQ(Place(1000), kLocal);
}

// A peer that was cut off, an old snapshot or a store that answers late must
// not end a request that has been honoured, nor bring a withdrawn one back.
RC_GTEST_PROP(EvacuationOrder, TheLatestStateOfTheStoreWinsInAnyOrder, ()) {
  const auto reports = *rc::gen::container<std::vector<evacuation_report>>(
      rc::gen::map(rc::gen::inRange<uint64_t>(1, 12), [](uint64_t revision) {
        // The domains are a function of the revision, as in the store.
        evacuation_report r{.revision = revision, .age_ms = 0};
        for (const uint64_t bit : {1, 2, 4})
          if ((revision & bit) != 0)
            r.domains.push_back("domain-" + std::to_string(bit));
        return r;
      }));
  evacuation_set set;
  uint64_t latest = 0;
  for (const evacuation_report& report : reports) {
    ApplyEvacuationReport(set, report, AtMs(0));
    latest = std::max(latest, report.revision);
    RC_ASSERT(set.list.revision == (store_revision{0, latest}));
    RC_ASSERT(IsEvacuated(set.list, "domain-2") == ((latest & 2) != 0));
  }
}

TEST(EvacuationReport, PassesAConfirmationOnOnce) {
  evacuation_set reader;
  ApplyEvacuations(reader, evacuation_list{{0, 7}, {"a"}}, AtMs(1000));
  const auto from_reader = MakeEvacuationReport(reader, AtMs(1500));
  EXPECT_TRUE(from_reader.is_read_by_sender);
  EXPECT_EQ(from_reader.age_ms, 500U);
  evacuation_set member;
  ApplyEvacuationReport(member, from_reader, AtMs(2000));
  EXPECT_EQ(member.confirmed_at, AtMs(1500));
  const auto from_member = MakeEvacuationReport(member, AtMs(2500));
  EXPECT_FALSE(from_member.is_read_by_sender);
  EXPECT_EQ(from_member.age_ms, 1000U);
  evacuation_set other;
  ApplyEvacuationReport(other, from_member, AtMs(2500));
  EXPECT_EQ(other.confirmed_at, AtMs(1500));
  EXPECT_EQ(MakeEvacuationReport(other, AtMs(2600)).age_ms, kNotConfirmed);
  EXPECT_EQ(MakeEvacuationReport(other, AtMs(2600)).domains,
            other.list.domains);
}

TEST(EvacuationReport, AnOlderReportConfirmsNothing) {
  evacuation_set set;
  ApplyEvacuations(set, evacuation_list{{0, 7}, {"a"}}, AtMs(1000));
  const evacuation_report older{.revision = 6, .age_ms = 0};
  EXPECT_EQ(ApplyEvacuationReport(set, older, AtMs(4000)),
            evacuation_effect::kOlder);
  EXPECT_EQ(set.confirmed_at, AtMs(1000));
  EXPECT_TRUE(IsEvacuated(set.list, "a"));
}

TEST(EvacuationReport, ASuspensionAgesTheConfirmation) {
  evacuation_set set;
  ApplyEvacuations(set, evacuation_list{{0, 7}, {}}, AtMs(9000));
  RecordSuspension(set, 4s);
  EXPECT_EQ(set.confirmed_at, AtMs(5000));
  EXPECT_EQ(set.direct_at, time_point{});
}

TEST(EvacuationReport, ASnapshotBringsTheRequestsBeforeTheUpstreams) {
  direct_world other({MakeEntry(kLocal), MakeEntry(kRemote, kRemoteDomain)});
  other.state.honours_evacuations = true;
  ApplyEvacuations(other.state, {{0, 4}, {kLocalDomain}}, AtMs(0));
  forwarding_state fresh;
  fresh.domain = kLocalDomain;
  fresh.honours_evacuations = true;
  const auto effect =
      ApplySnapshot(fresh, MakeSnapshot(other.state, {}, AtMs(100)), AtMs(100));
  EXPECT_TRUE(effect.evacuations_changed);
  EXPECT_TRUE(IsReady(fresh));
  EXPECT_EQ(fresh.directory.ready_by_service[kService].size(), 1U);
}

// Other programs can write any number of requests; a report that exceeds a
// datagram would not be sent at all.
/// A balancer that has read the requests of epoch 1, for the domains "a" and
/// "b"; "c" was withdrawn before.
class returned_evacuations : public testing::Test {
 protected:
  using domains = std::vector<std::string>;
  /// Applies the requests of epoch 2 as read at `ms`.
  const domains& Read(const domains& requested, int64_t ms) {
    ApplyEvacuations(set_, evacuation_list{{2, ++revision_}, requested},
                     AtMs(ms));
    return set_.list.domains;
  }
  void SetUp() override {
    ApplyEvacuations(set_, evacuation_list{{1, 90}, {"a", "b"}}, AtMs(0));
  }

  evacuation_set set_;
  uint64_t revision_ = 10;
};

// EVAC: requests of before a return of the store were forgotten, or kept until
// its revisions had caught up.
TEST_F(returned_evacuations, WhatWasHonouredStaysInForceUntilItIsWrittenAgain) {
  EXPECT_EQ(Read({"b", "c"}, 1000), (domains{"a", "b"}));
  EXPECT_EQ(Read({"a", "b", "c"}, 2000), (domains{"a", "b"}));
  EXPECT_EQ(Read({"a", "b"}, 3500), (domains{"a", "b"}));
}

TEST_F(returned_evacuations, TheStoresWordCountsAfterTheTimeOfRewriting) {
  Read({"b", "c"}, 1000);
  EXPECT_EQ(Read({"b", "c"}, 3499), (domains{"a", "b"}));
  EXPECT_EQ(Read({"b", "c"}, 3500), (domains{"b", "c"}));
}

TEST_F(returned_evacuations, ARequestAfterTheReturnIsHonouredAtOnce) {
  Read({"b", "c"}, 1000);
  EXPECT_EQ(Read({"b", "c", "d"}, 1500), (domains{"a", "b", "d"}));
}

TEST_F(returned_evacuations, AReportPassesOnWhatIsInForce) {
  Read({"b", "c"}, 1000);
  evacuation_set member;
  ApplyEvacuations(member, evacuation_list{{1, 95}, {"a", "b"}}, AtMs(0));
  ApplyEvacuationReport(member, MakeEvacuationReport(set_, AtMs(1100)),
                        AtMs(1100));
  EXPECT_EQ(member.list.domains, (domains{"a", "b"}));
  EXPECT_EQ(member.list.revision, (store_revision{2, 11}));
  Read({"b", "c"}, 3500);
  ApplyEvacuationReport(member, MakeEvacuationReport(set_, AtMs(3700)),
                        AtMs(3700));
  EXPECT_EQ(member.list.domains, (domains{"b", "c"}));
}

TEST(EvacuationLimit, KeepsTheDomainsThatHaveUpstreams) {
  evacuation_list list{{0, 3}, {}};
  for (int i = 0; i < 100; ++i)
    list.domains.push_back(std::string(200, 'a') + std::to_string(i));
  list.domains.push_back("vannes");
  EXPECT_FALSE(LimitDomains(list, {"vannes"}));
  EXPECT_TRUE(IsEvacuated(list, "vannes"));
  size_t bytes = 0;
  for (const std::string& domain : list.domains) bytes += domain.size();
  EXPECT_LE(bytes, kMaxEvacuationBytes);
  evacuation_list small{{0, 3}, {"quimper", "vannes"}};
  EXPECT_TRUE(LimitDomains(small, {}));
  EXPECT_EQ(small.domains.size(), 2U);
}

// Thousands of short names: their headers are as long as the names.
TEST(EvacuationLimit, CountsTheEncodingOfShortNames) {
  evacuation_list list{{0, 3}, {}};
  for (int i = 1000; i < 4000; ++i) list.domains.push_back(std::to_string(i));
  EXPECT_FALSE(LimitDomains(list, {}));
  const auto encoded_bytes = [](const view_report& report) {
    failure why;
    const auto frame = EncodeFrame(report, why);
    return frame ? frame->size() : SIZE_MAX;
  };
  view_report report;
  const size_t others = encoded_bytes(report);
  report.evacuations.domains = list.domains;
  EXPECT_LE(encoded_bytes(report), others + kMaxEvacuationBytes);
}

// The stated target is the bound from the request to the last new flow.
TEST(EvacuationTiming, TheSumOfWorstTimesKeepsTheBound) {
  for (const duration bound : {3000ms, 4000ms, 5000ms, 6000ms, 30000ms}) {
    const evacuation_times times =
        MakeEvacuationTimes(bound, kRegistryTiming, kEvacuationRecheckInterval);
    const duration known_to_reader =
        times.read_interval + LostAnswerDelay(kRegistryTiming);
    const duration spread = times.is_relayed ? kEvacuationSpread : duration{};
    EXPECT_LE(known_to_reader + spread, bound);
    // With two reads in the bound, one that fails at once is repeated.
    EXPECT_LE(2 * times.read_interval, bound);
    // A member to which no reader reports reads by itself.
    EXPECT_LE(times.confirmation_timeout + kEvacuationRecheckInterval +
                  kReadTimeAllowance,
              bound);
  }
  EXPECT_TRUE(MakeEvacuationTimes(5s, kRegistryTiming, 150ms).is_relayed);
  EXPECT_FALSE(MakeEvacuationTimes(3s, kRegistryTiming, 150ms).is_relayed);
}

/// A registry whose reads of evacuations follow a script.
class scripted_store : public registry {
 public:
  explicit scripted_store(asio::io_context& io) : io_(io) {}
  void ListUpstreams(store_handler<upstream_list>) override {}
  void ReadUpstreamChanges(const store_revision&,
                           store_handler<upstream_changes>) override {}
  void ReadTable(store_handler<table_update>) override {}
  void WatchTable(const store_revision&, duration,
                  store_handler<table_update>) override {}
  void ListEvacuations(store_handler<evacuation_list> handler) override {
    ++reads;
    asio::post(io_, [this, handler = std::move(handler)] {
      if (is_refusing)
        return handler(std::nullopt,
                       {failure_kind::kUnavailable, "status 503"});
      handler(list, {});
    });
  }

  evacuation_list list{.revision = {0, 1}};
  bool is_refusing = false;
  int reads = 0;

 private:
  asio::io_context& io_;
};

class evacuation_reads : public testing::Test {
 protected:
  void Start() {
    follower_.emplace(
        io_, store_, 50ms,
        evacuation_handlers{
            .on_list = [this](const evacuation_list& list,
                              time_point) { last_ = list; },
            .on_platform_state =
                [this](const std::string& reason) {
                  states_.push_back(reason.empty() ? "regained" : "lost");
                },
            .needs_list = [this] { return is_needed_; },
            .is_reader = [this] { return is_reader_; },
            .has_list = [this] { return IsKnown(last_.revision); }},
        1);
    follower_->Start();
  }

  asio::io_context io_;
  scripted_store store_{io_};
  std::optional<evacuation_follower> follower_;
  evacuation_list last_;
  std::vector<std::string> states_;
  bool is_needed_ = true;
  bool is_reader_ = true;
};

TEST_F(evacuation_reads, FollowsTheStoreAtTheInterval) {
  Start();
  io_.run_for(80ms);
  store_.list = {{0, 2}, {"rennes"}};
  io_.run_for(150ms);
  EXPECT_EQ(last_.domains, std::vector<std::string>{"rennes"});
  EXPECT_LE(store_.reads, 6);
}

// While the store refuses, what is known stays in force, and the first answer
// after that is used.
TEST_F(evacuation_reads, KeepsWhatIsKnownWhileTheStoreRefuses) {
  store_.list = {{0, 2}, {"rennes"}};
  Start();
  io_.run_for(30ms);
  store_.is_refusing = true;
  io_.run_for(400ms);
  EXPECT_EQ(last_.domains, std::vector<std::string>{"rennes"});
  store_.is_refusing = false;
  store_.list = {{0, 9}, {}};
  io_.run_for(1000ms);
  EXPECT_TRUE(last_.domains.empty());
  EXPECT_EQ(states_, (std::vector<std::string>{"lost", "regained"}));
}

// Hundreds of members that hear nothing during an outage would call the
// platform more often than their readers do.
TEST_F(evacuation_reads, AMemberBacksOffFurtherThanAReader) {
  is_reader_ = false;
  store_.is_refusing = true;
  Start();
  io_.run_for(3000ms);
  EXPECT_LE(store_.reads, 6);
}

TEST_F(evacuation_reads, ReadsNothingWhileOthersRead) {
  is_needed_ = false;
  Start();
  io_.run_for(300ms);
  EXPECT_EQ(store_.reads, 0);
  is_needed_ = true;
  io_.run_for(200ms);
  EXPECT_GE(store_.reads, 1);
}

}  // namespace
}  // namespace radishyard
