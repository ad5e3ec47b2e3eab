// Tests the stand-ins of fabric, upstreams and callers without balancers: a
// packet rewriter in this test takes their place. With a correct rewriter the
// stand-ins report no violation; they detect each fault of an incorrect one.
#include <gtest/gtest.h>

#include <functional>
#include <thread>

#include "support/datagram_socket.h"
#include "support/stand_in_process.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr uint32_t kServiceAddress = 0x0a140001;   // 10.20.0.1
constexpr uint32_t kUpstreamAddress = 0x0a1e0101;  // 10.30.1.1
constexpr uint16_t kPort = 7001;

// Rewrites the packet in the buffer; an empty buffer drops the packet.
using rewrite_function = std::function<void(packet_view, byte_buffer&)>;

// Sends all flows to one upstream, and restores the service's address as the
// source of responses.
void RewriteCorrectly(const packet_view& packet, byte_buffer& ip) {
  if (packet.destination.address == kServiceAddress) {
    RewriteDestination(ip, {kUpstreamAddress, packet.destination.port});
  } else {
    RewriteSource(ip, {kServiceAddress, packet.source.port});
  }
}

class rewriter {
 public:
  rewriter(endpoint fabric, rewrite_function rule)
      : port_(io_, 0), rule_(std::move(rule)) {
    port_.Start([this, fabric](byte_span datagram, const endpoint&) {
      failure why;
      const byte_span inner = DecodeGeneve(datagram, why)->inner;
      byte_buffer ip(inner.begin(), inner.end());
      rule_(*ParsePacket(inner, why), ip);
      if (!ip.empty()) port_.SendEncapsulated(ip, fabric);
    });
    thread_ = std::thread([this] { io_.run(); });
  }
  ~rewriter() {
    io_.stop();
    thread_.join();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(port_.port());
  }

 private:
  asio::io_context io_;
  datagram_socket port_;
  rewrite_function rule_;
  std::thread thread_;
};

class StandIns : public testing::Test {  // NOLINT
 protected:
  void StartRewriter(const rewrite_function& rule) {
    rewriter_ =
        std::make_unique<rewriter>(ParseEndpointOrThrow(fabric_.data()), rule);
    fabric_.SendCommand({{"cmd", "edges"},
                         {"callers", callers_.data()},
                         {"upstreams", upstreams_.data()}});
    fabric_.SendCommand(
        {{"cmd", "balancers"}, {"list", {rewriter_->address()}}});
    upstreams_.SendCommand({{"cmd", "limits"},
                            {"rows",
                             {{{"address", "10.30.1.1"},
                               {"service", "survey-link"},
                               {"slots", 1000},
                               {"connections", 2000}}}}});
  }

  void SetFaults(double rate) {
    fabric_.SendCommand(
        {{"cmd", "faults"}, {"duplicate", rate}, {"reorder", rate}});
  }

  json Run(json spec) {
    spec.update({{"cmd", "run"},
                 {"service", "survey-link"},
                 {"address", "10.20.0.1"},
                 {"port", kPort},
                 {"bytes", {100, 4000}}});
    callers_.SendCommand(spec);
    EXPECT_TRUE(callers_.SendCommand({{"cmd", "wait"}})["settled"]);
    return callers_.SendCommand({{"cmd", "report"}})["runs"].back();
  }

  int64_t CountViolations(const std::string& kind) {
    const json report = upstreams_.SendCommand({{"cmd", "report"}});
    return report.at(kind).at("count");
  }

  std::string folder_ = MakeTestFolder();
  stand_in_process fabric_{"fabric", {"--seed", "3"}, folder_};
  stand_in_process upstreams_{
      "upstreams", {"--fabric", fabric_.data()}, folder_};
  stand_in_process callers_{"callers", {"--fabric", fabric_.data()}, folder_};
  std::unique_ptr<rewriter> rewriter_;
};

TEST_F(StandIns, CompleteAllFlowsDespiteDuplicationAndReordering) {
  StartRewriter(RewriteCorrectly);
  SetFaults(0.02);
  for (const char* protocol_name : {"tcp", "udp"}) {
    const json run = Run({{"flows", 2000},
                          {"rate", 1000},
                          {"concurrency", 200},
                          {"protocol", protocol_name},
                          {"idempotent", false}});
    // A datagram that the fabric duplicates before the rewriter is executed
    // twice, because the rewriter drops no duplicates; "doubled" is therefore
    // not checked.
    EXPECT_EQ(run["completed"], 2000) << run.dump(1);
  }
  EXPECT_EQ(CountViolations("crossed"), 0);
  EXPECT_EQ(CountViolations("on_two"), 0);
  EXPECT_EQ(CountViolations("over_slots"), 0);
  EXPECT_EQ(CountViolations("over_connections"), 0);
}

TEST_F(StandIns, KeepFeedsOpenDespiteLossAndCloseThemCleanly) {
  StartRewriter(RewriteCorrectly);
  fabric_.SendCommand({{"cmd", "faults"}, {"drop", 0.01}});
  const json run = Run({{"flows", 500},
                        {"rate", 2000},
                        {"concurrency", 500},
                        {"kind", "feed"},
                        {"push_ms", 100},
                        {"lines", 20},
                        {"line_ms", 50}});
  EXPECT_EQ(run["alive"], 500) << run.dump(1);
  std::this_thread::sleep_for(3s);
  const json stopped = callers_.SendCommand({{"cmd", "stop_feeds"}});
  EXPECT_EQ(stopped["runs"][0]["completed"], 500) << stopped.dump(1);
  EXPECT_EQ(stopped["runs"][0]["echoes"], 500 * 20);
}

TEST_F(StandIns, ReportRequestsOfAnotherServiceOrBeyondLimits) {
  StartRewriter(RewriteCorrectly);
  upstreams_.SendCommand({{"cmd", "limits"},
                          {"rows",
                           {{{"address", "10.30.1.1"},
                             {"service", "archive"},
                             {"slots", 1},
                             {"connections", 2}}}}});
  Run({{"flows", 10}, {"rate", 10000}, {"ms", {200, 200}}});
  EXPECT_EQ(CountViolations("crossed"), 10);
  EXPECT_EQ(CountViolations("over_slots"), 9);
  EXPECT_EQ(CountViolations("over_connections"), 8);
}

TEST_F(StandIns, ReportANonIdempotentRequestThatRunsTwice) {
  StartRewriter(RewriteCorrectly);
  fabric_.SendCommand({{"cmd", "faults"}, {"duplicate", 1.0}});
  Run({{"flows", 10}, {"protocol", "udp"}, {"idempotent", false}});
  EXPECT_EQ(CountViolations("doubled"), 10);
  Run({{"flows", 10}, {"protocol", "udp"}, {"idempotent", true}});
  EXPECT_EQ(CountViolations("doubled"), 10);
}

TEST_F(StandIns, ReportAFlowThatReachesTwoUpstreams) {
  StartRewriter([](const packet_view& packet, byte_buffer& ip) {
    RewriteCorrectly(packet, ip);
    const std::string text(packet.payload.begin(), packet.payload.end());
    if (text == "line=3\n")
      RewriteDestination(ip, {kUpstreamAddress + 1, kPort});
  });
  Run({{"flows", 10}, {"kind", "feed"}, {"lines", 5}, {"line_ms", 50}});
  std::this_thread::sleep_for(1s);
  const json run = callers_.SendCommand({{"cmd", "report"}})["runs"][0];
  EXPECT_EQ(run["broken"], 10) << run.dump(1);
  EXPECT_EQ(CountViolations("on_two"), 10);
  EXPECT_EQ(CountViolations("strays"), 10);
}

TEST_F(StandIns, ReportCorruptedResponses) {
  StartRewriter([](const packet_view& packet, byte_buffer& ip) {
    RewriteCorrectly(packet, ip);
    if (packet.destination.address != kServiceAddress &&
        !packet.payload.empty())
      ip.back() = '#';
  });
  EXPECT_EQ(Run({{"flows", 10}})["wrong"], 10);
  EXPECT_EQ(Run({{"flows", 10}, {"protocol", "udp"}})["wrong"], 10);
}

TEST_F(StandIns, DistinguishRefusedFromTimedOutFlows) {
  StartRewriter(RewriteCorrectly);
  const auto set_mode = [&](const char* mode) {
    upstreams_.SendCommand(
        {{"cmd", "upstream"}, {"address", "10.30.1.1"}, {"mode", mode}});
  };
  set_mode("shed");
  EXPECT_EQ(Run({{"flows", 10}})["refused"], 10);
  set_mode("blackhole");
  EXPECT_EQ(Run({{"flows", 10}, {"timeout_ms", 1000}})["timeouts"], 10);
  set_mode("ok");
  const json ids = callers_.SendCommand({{"cmd", "refused"}})["ids"];
  EXPECT_EQ(ids.size(), 10U);
  EXPECT_TRUE(
      upstreams_.SendCommand({{"cmd", "ran"}, {"ids", ids}})["ran"].empty());
}

}  // namespace
}  // namespace radishyard
