// Tests a whole balancer on loopback: forwarding, refusals, the stop, a start
// without the platform and the choice of registry readers.
#include "direct/direct_balancer.h"

#include <gtest/gtest.h>

#include "base/asio.h"
#include "peer/peer_codec.h"
#include "support/direct_world.h"
#include "support/free_port.h"
#include "support/http_client.h"

namespace radishyard {
namespace {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)
using udp = asio::ip::udp;

constexpr uint32_t kLoopback = 0x7F000001;
constexpr uint32_t kCallerAddress = 0x7F000002;

/// A codec whose packets are the bytes of `wire`.
class struct_codec : public packet_codec {
 public:
  struct wire {
    uint32_t caller, service_address, mark, retransmission_count;
    uint16_t service_port;
    uint8_t is_opening, refused;
  };
  size_t HeadroomBytes() const override { return 8; }
  std::optional<direct_packet> Decode(std::span<const uint8_t> bytes,
                                      failure& why) const override {
    if (bytes.size() != sizeof(wire)) {
      why = {failure_kind::kInvalid, "wrong size"};
      return std::nullopt;
    }
    wire w{};
    std::memcpy(&w, bytes.data(), sizeof w);
    direct_packet p;
    p.flow = {{kCallerAddress, static_cast<uint16_t>(w.caller)},
              {w.service_address, w.service_port},
              protocol::kTcp};
    p.mark = w.mark;
    p.is_opening = w.is_opening != 0;
    p.retransmission_count = w.retransmission_count;
    return p;
  }
  void SetUpstream(mutable_bytes datagram, upstream_id to) const override {
    std::memcpy(datagram.data(), &to, sizeof to);
  }
  void SetMark(mutable_bytes datagram, uint32_t mark) const override {
    std::memcpy(datagram.data() + 8 + offsetof(wire, mark), &mark, sizeof mark);
  }
  std::vector<uint8_t> EncodeRefusal(const direct_packet&) const override {
    std::vector<uint8_t> bytes(sizeof(wire));
    bytes[offsetof(wire, refused)] = 1;
    return bytes;
  }
};

/// A registry with a list and a table set by the test. Its reads fail while it
/// is unreachable. It never answers the watches that it loses.
class fake_registry : public registry {
 public:
  explicit fake_registry(asio::io_context& io) : io_(io) {}

  void ListUpstreams(store_handler<upstream_list> handler) override {
    if (list_reads++ == 0) services_at_first_list = services;
    asio::post(io_, [this, handler = std::move(handler)] {
      if (is_unreachable) return handler(std::nullopt, Unreachable());
      handler(list, {});
    });
  }
  void ReadUpstreamChanges(const store_revision&,
                           store_handler<upstream_changes> handler) override {
    ++list_reads;
    asio::post(io_, [this, handler = std::move(handler)] {
      if (is_unreachable) return handler(std::nullopt, Unreachable());
      handler(upstream_changes{.revision = list.revision}, {});
    });
  }
  void SetServices(const service_names& names) override { services = names; }
  void ReadTable(store_handler<table_update> handler) override {
    asio::post(io_, [this, handler = std::move(handler)] {
      if (is_unreachable) return handler(std::nullopt, Unreachable());
      handler(table_update{table, {0, 1}}, {});
    });
  }
  void WatchTable(const store_revision& revision, duration wait,
                  store_handler<table_update> handler) override {
    const bool is_lost = loses_watches;
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, is_lost ? wait + kRegistryTimeout : wait);
    timer->async_wait([timer, revision, is_lost,
                       handler = std::move(handler)](error_code error) {
      if (error) return;
      if (is_lost) return handler(std::nullopt, Unreachable());
      handler(table_update{std::nullopt, revision}, {});
    });
  }

  void ListEvacuations(store_handler<evacuation_list> handler) override {
    ++evacuation_reads;
    asio::post(io_, [this, handler = std::move(handler)] {
      if (is_unreachable || refuses_evacuations)
        return handler(std::nullopt, Unreachable());
      handler(evacuations, {});
    });
  }

  evacuation_list evacuations{.revision = {0, 1}};
  int evacuation_reads = 0;
  upstream_list list;
  routing_table table = MakeRoutingTable();
  bool is_unreachable = false;
  bool refuses_evacuations = false;
  bool loses_watches = false;
  int list_reads = 0;  ///< Of the list or its changes.
  service_names services;
  service_names services_at_first_list;

 private:
  static failure Unreachable() {
    return {failure_kind::kUnavailable, "unreachable"};
  }
  asio::io_context& io_;
};

/// The same with claims, of which each can be created once.
class claiming_registry : public fake_registry, public claim_store {
 public:
  explicit claiming_registry(asio::io_context& io)
      : fake_registry(io), io_(io) {}
  claim_store* Claims() override { return this; }
  void CreateClaim(const stored_claim& claim,
                   store_handler<bool> handler) override {
    asio::post(io_, [this, claim, handler = std::move(handler)] {
      if (claims.emplace(claim.name, claim).second) return handler(true, {});
      handler(std::nullopt, {failure_kind::kConflict, "exists"});
    });
  }
  void ListClaims(store_handler<std::vector<stored_claim>>) override {}
  void DeleteClaim(const std::string&, store_handler<bool>) override {}

  std::map<std::string, stored_claim> claims;

 private:
  asio::io_context& io_;
};

class balancer_on_loopback : public testing::Test {
 protected:
  balancer_on_loopback() {
    upstream_.non_blocking(true);
    caller_.non_blocking(true);
    source_.list = {{0, 1}, {MakeUpstreamEntry()}};
  }

  upstream_entry MakeUpstreamEntry() const {
    upstream_entry entry = MakeEntry(7);
    entry.address = {kLoopback, upstream_.local_endpoint().port()};
    return entry;
  }

  static direct_settings MakeSettings(uint16_t traffic_port) {
    direct_settings s;
    s.name = "b";
    s.domain = kLocalDomain;
    s.traffic = {kLoopback, traffic_port};
    s.ready = {kLoopback, FindFreePort()};
    s.metrics = {kLoopback, FindFreePort()};
    s.peer = {kLoopback, FindFreePort()};
    s.stop_grace = 2500ms;
    return s;
  }

  void RunFor(duration time) { io_.run_for(time); }

  void SendOpening(const endpoint& to, uint32_t service_port = 7000) {
    struct_codec::wire w{};
    w.caller = 4000;
    w.service_address = kIdempotentAddress.address;
    w.service_port = static_cast<uint16_t>(service_port);
    w.is_opening = 1;
    caller_.send_to(asio::buffer(&w, sizeof w),
                    {asio::ip::address_v4(to.address), to.port});
  }

  static size_t ReceiveDatagram(udp::socket& socket,
                                std::vector<uint8_t>& bytes) {
    bytes.resize(200);
    error_code error;
    const size_t n = socket.receive(asio::buffer(bytes), 0, error);
    bytes.resize(error ? 0 : n);
    return bytes.size();
  }

  asio::io_context io_;
  struct_codec codec_;
  fake_registry source_{io_};
  udp::socket upstream_{io_, {asio::ip::address_v4::loopback(), 0}};
  udp::socket caller_{io_, {asio::ip::address_v4::loopback(), 0}};
  std::vector<uint8_t> bytes_;
};

TEST_F(balancer_on_loopback, ForwardsAnOpeningWithTheMarkOfItsUpstream) {
  const direct_settings config = MakeSettings(FindFreePort());
  direct_balancer balancer(io_, config, codec_, source_);
  balancer.Start();
  RunFor(50ms);
  SendOpening(config.traffic);
  RunFor(50ms);
  ASSERT_EQ(ReceiveDatagram(upstream_, bytes_), 8 + sizeof(struct_codec::wire));
  uint64_t id = 0;
  std::memcpy(&id, bytes_.data(), sizeof id);
  EXPECT_EQ(id, 7U);
  struct_codec::wire w{};
  std::memcpy(&w, bytes_.data() + 8, sizeof w);
  EXPECT_EQ(w.mark, ToFlowMark(7));
}

// Entries of a service that no table has hid upstreams from balancers that read
// the list when they did not know the services.
TEST_F(balancer_on_loopback, ReadsTheListOnceItKnowsTheServices) {
  direct_balancer balancer(io_, MakeSettings(FindFreePort()), codec_, source_);
  balancer.Start();
  RunFor(100ms);
  EXPECT_GT(source_.list_reads, 0);
  EXPECT_EQ(source_.services_at_first_list, service_names{kService});
}

// Callers receive refusals at the same port number as the balancer's.
TEST_F(balancer_on_loopback, SendsRefusalsToItsOwnPortNumberAtTheCaller) {
  const uint16_t port = FindFreePort();
  udp::socket refused(io_);
  refused.open(udp::v4());
  refused.bind({asio::ip::address_v4(kCallerAddress), port});
  refused.non_blocking(true);
  const direct_settings config = MakeSettings(port);
  direct_balancer balancer(io_, config, codec_, source_);
  balancer.Start();
  RunFor(50ms);
  SendOpening(config.traffic, 9);
  RunFor(50ms);
  EXPECT_EQ(ReceiveDatagram(upstream_, bytes_), 0U);
  ASSERT_EQ(ReceiveDatagram(refused, bytes_), sizeof(struct_codec::wire));
  EXPECT_EQ(bytes_[offsetof(struct_codec::wire, refused)], 1);
}

TEST_F(balancer_on_loopback, HoldsPacketsUntilTableAndUpstreamsAreKnown) {
  source_.is_unreachable = true;
  const direct_settings config = MakeSettings(FindFreePort());
  direct_balancer balancer(io_, config, codec_, source_);
  balancer.Start();
  RunFor(20ms);
  SendOpening(config.traffic);
  RunFor(20ms);
  EXPECT_EQ(ReceiveDatagram(upstream_, bytes_), 0U);
  source_.is_unreachable = false;
  RunFor(500ms);
  EXPECT_GT(ReceiveDatagram(upstream_, bytes_), 0U);
}

// The report of a peer is the last that the balancer lacks. The packets would
// otherwise be held until the next list, when their callers have given up.
TEST_F(balancer_on_loopback, ForwardsHeldPacketsOnceAPeerReportsEvacuations) {
  source_.refuses_evacuations = true;
  direct_settings config = MakeSettings(FindFreePort());
  config.evacuation_bound = 5s;
  direct_balancer balancer(io_, config, codec_, source_);
  balancer.Start();
  RunFor(50ms);
  SendOpening(config.traffic);
  RunFor(20ms);
  ASSERT_EQ(ReceiveDatagram(upstream_, bytes_), 0U);
  view_report report;
  report.self = {{kLoopback, FindFreePort()}, kLocalDomain, 1};
  report.evacuations = {.revision = 1, .age_ms = 0, .is_read_by_sender = true};
  failure why;
  const auto frame = EncodeFrame(report, why);
  ASSERT_TRUE(frame) << why.text;
  caller_.send_to(asio::buffer(*frame),
                  {asio::ip::address_v4(kLoopback), config.peer.port});
  RunFor(50ms);
  EXPECT_GT(ReceiveDatagram(upstream_, bytes_), 0U);
}

// A store that was silent for a second loses the watches that it received then
// and answers everything else. Callers were sent to upstreams of the table
// before the edit until the watches failed.
TEST_F(balancer_on_loopback, TakesAnEditInTimeAlthoughTheWatchWasLost) {
  const direct_settings config = MakeSettings(FindFreePort());
  source_.loses_watches = true;
  direct_balancer balancer(io_, config, codec_, source_);
  balancer.Start();
  RunFor(300ms);
  source_.loses_watches = false;
  published_address added = source_.table.addresses.back();
  ++added.address.port;
  source_.table.addresses.push_back(added);
  ++source_.table.version;
  RunFor(config.edit_bound);
  SendOpening(config.traffic, added.address.port);
  RunFor(100ms);
  EXPECT_GT(ReceiveDatagram(upstream_, bytes_), 0U);
}

// The second balancer has no access to claims, so what it places on the cold
// upstream was granted by the first one.
TEST_F(balancer_on_loopback, PlacesOnAColdUpstreamUnderAGrantOfAnother) {
  constexpr int kLimit = 5;
  claiming_registry source(io_);
  upstream_entry cold = MakeUpstreamEntry();
  cold.cold_remaining = 60s;
  source.list = source_.list = {{0, 1}, {cold}};
  source.table.start_rates = {{kService, kLimit * 1000, 60s}};
  source_.table = source.table;
  const direct_settings first = MakeSettings(FindFreePort());
  direct_settings second = MakeSettings(FindFreePort());
  second.peers = {first.peer};
  direct_balancer granter(io_, first, codec_, source);
  direct_balancer requester(io_, second, codec_, source_);
  granter.Start();
  requester.Start();
  RunFor(1500ms);
  int arrivals = 0;
  for (int i = 0; i < 20; ++i) {
    SendOpening(second.traffic);
    RunFor(45ms);
    while (ReceiveDatagram(upstream_, bytes_) > 0) ++arrivals;
  }
  EXPECT_EQ(source.claims.size(), 1U);
  EXPECT_GE(arrivals, 1);
  EXPECT_LE(arrivals, kLimit);
}

TEST_F(balancer_on_loopback, StopsOncePacketsCeaseToArrive) {
  direct_balancer balancer(io_, MakeSettings(FindFreePort()), codec_, source_);
  balancer.Start();
  RunFor(50ms);
  const auto begin = std::chrono::steady_clock::now();
  balancer.Stop();
  RunFor(10s);
  const duration elapsed = std::chrono::steady_clock::now() - begin;
  EXPECT_TRUE(io_.stopped());
  EXPECT_GT(elapsed, 1200ms);
  EXPECT_LT(elapsed, 2500ms);
}

TEST_F(balancer_on_loopback, ForwardsWhileStoppingUntilTheGracePeriodEnds) {
  const direct_settings config = MakeSettings(FindFreePort());
  direct_balancer balancer(io_, config, codec_, source_);
  balancer.Start();
  RunFor(50ms);
  balancer.Stop();
  for (int i = 0; i < 8; ++i) {
    SendOpening(config.traffic);
    RunFor(200ms);
    EXPECT_FALSE(io_.stopped());
    EXPECT_GT(ReceiveDatagram(upstream_, bytes_), 0U);
  }
  RunFor(2s);
  EXPECT_TRUE(io_.stopped());
}

// The platform is unreachable, but another balancer has a snapshot.
TEST_F(balancer_on_loopback, StartsFromAnotherBalancersSnapshot) {
  direct_settings first = MakeSettings(FindFreePort());
  first.name = "a";
  direct_balancer other(io_, first, codec_, source_);
  other.Start();
  RunFor(100ms);
  fake_registry unreachable(io_);
  unreachable.is_unreachable = true;
  direct_settings second = MakeSettings(FindFreePort());
  second.peers = {first.peer};
  direct_balancer balancer(io_, second, codec_, unreachable);
  balancer.Start();
  RunFor(700ms);
  SendOpening(second.traffic);
  RunFor(50ms);
  EXPECT_GT(ReceiveDatagram(upstream_, bytes_), 0U);
}

/// Balancers of one domain, the first two of which are its readers. All honour
/// evacuations within 5 s.
class evacuating_balancers : public balancer_on_loopback {
 protected:
  evacuating_balancers() {
    for (int i = 0; i < 3; ++i) {
      settings_.push_back(MakeSettings(FindFreePort()));
      settings_[i].name = std::to_string(i);
      settings_[i].peers = {settings_.front().peer};
      settings_[i].capacity_millicores = i < 2 ? 500 : 1;
      settings_[i].edit_bound = settings_[i].drain_bound = 5s;
      settings_[i].evacuation_bound = 5s;
      sources_.push_back(std::make_unique<fake_registry>(io_));
      sources_[i]->list = source_.list;
    }
    for (int i = 0; i < 3; ++i) Start(i);
  }

  void Start(int i) {
    balancers_[i] = std::make_unique<direct_balancer>(io_, settings_[i], codec_,
                                                      *sources_[i]);
    balancers_[i]->Start();
    RunFor(i < 2 ? 300ms : 700ms);
  }

  void RequestEvacuation(const std::vector<std::string>& domains) {
    ++revision_;
    for (const auto& source : sources_)
      source->evacuations = {{0, revision_}, domains};
  }

  /// True if the member that is no reader places an opening.
  bool DoesMemberPlace() {
    SendOpening(settings_.back().traffic);
    RunFor(60ms);
    return ReceiveDatagram(upstream_, bytes_) > 0;
  }

  uint64_t revision_ = 1;
  std::vector<direct_settings> settings_;
  std::vector<std::unique_ptr<fake_registry>> sources_;
  std::array<std::unique_ptr<direct_balancer>, 3> balancers_;
};

// Otherwise each of hundreds of VMs reads the requests from the platform.
TEST_F(evacuating_balancers, AMemberHearsOfRequestsFromItsReaders) {
  ASSERT_TRUE(DoesMemberPlace());
  sources_[2]->evacuation_reads = 0;
  RequestEvacuation({kLocalDomain});
  RunFor(3s);
  EXPECT_FALSE(DoesMemberPlace());
  RequestEvacuation({});
  RunFor(3s);
  EXPECT_TRUE(DoesMemberPlace());
  EXPECT_EQ(sources_[2]->evacuation_reads, 0);
}

TEST_F(evacuating_balancers, AMemberReadsByItselfOnceItsReadersAreGone) {
  balancers_[0].reset();
  balancers_[1].reset();
  RequestEvacuation({kLocalDomain});
  RunFor(5s);
  EXPECT_FALSE(DoesMemberPlace());
}

// Otherwise a balancer that restarts while the platform is away would place
// flows on the evacuated domain.
TEST_F(evacuating_balancers, ARestartedMemberTakesTheRequestsFromAPeer) {
  RequestEvacuation({kLocalDomain});
  RunFor(3s);
  balancers_[2].reset();
  RunFor(100ms);  // Closes its sockets.
  sources_[2]->is_unreachable = true;
  Start(2);
  EXPECT_FALSE(DoesMemberPlace());
}

TEST_F(evacuating_balancers, RequestsStayInForceWhileThePlatformIsAway) {
  RequestEvacuation({kLocalDomain});
  RunFor(3s);
  for (const auto& source : sources_) source->is_unreachable = true;
  RunFor(6s);
  EXPECT_FALSE(DoesMemberPlace());
}

// Otherwise each VM that is replaced costs the platform several reads.
TEST_F(balancer_on_loopback, StartsWithoutAReadOfThePlatformIfOthersHaveAView) {
  std::vector<std::unique_ptr<direct_balancer>> readers;
  direct_settings config = MakeSettings(FindFreePort());
  config.capacity_millicores = 500;
  // With this bound, members rely on the readers for the table.
  config.edit_bound = config.drain_bound = 5s;
  const endpoint seed = config.peer;
  for (int i = 0; i < 2; ++i) {
    config.peers = {seed};
    readers.push_back(
        std::make_unique<direct_balancer>(io_, config, codec_, source_));
    readers.back()->Start();
    RunFor(300ms);
    const direct_settings next = MakeSettings(FindFreePort());
    config.traffic = next.traffic;
    config.ready = next.ready;
    config.metrics = next.metrics;
    config.peer = next.peer;
  }
  RunFor(1s);
  config.capacity_millicores = 1;
  fake_registry own(io_);
  own.list = source_.list;
  direct_balancer balancer(io_, config, codec_, own);
  balancer.Start();
  RunFor(100ms);
  SendOpening(config.traffic);
  RunFor(100ms);
  EXPECT_GT(ReceiveDatagram(upstream_, bytes_), 0U);
  RunFor(1s);
  EXPECT_EQ(own.list_reads, 0);
}

TEST_F(balancer_on_loopback, OnlyTwoMembersOfADomainReadThePlatform) {
  std::vector<std::unique_ptr<direct_balancer>> balancers;
  std::vector<std::unique_ptr<fake_registry>> sources;
  endpoint seed;
  for (int i = 0; i < 6; ++i) {
    direct_settings config = MakeSettings(FindFreePort());
    config.name = std::to_string(i);
    config.drain_bound = 400ms;  // One read every 200 ms.
    if (i == 0) seed = config.peer;
    config.peers = {seed};
    sources.push_back(std::make_unique<fake_registry>(io_));
    sources.back()->list = source_.list;
    balancers.push_back(
        std::make_unique<direct_balancer>(io_, config, codec_, *sources[i]));
    balancers.back()->Start();
  }
  RunFor(2500ms);
  for (const auto& source : sources) source->list_reads = 0;
  RunFor(2s);
  const auto readers =
      std::count_if(sources.begin(), sources.end(),
                    [](const auto& source) { return source->list_reads > 4; });
  EXPECT_EQ(readers, 2);
}

}  // namespace
}  // namespace radishyard
