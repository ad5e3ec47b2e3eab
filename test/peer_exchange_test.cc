// Tests the exchange of messages between balancers over UDP.
#include "direct/view/peer_exchange.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

#include "peer/peer_codec.h"
#include "support/direct_world.h"
#include "support/free_port.h"

namespace radishyard {
namespace {

using namespace testing_direct_return;  // NOLINT(google-build-using-namespace)
using udp = asio::ip::udp;

constexpr uint32_t kLoopback = 0x7F000001;

/// An exchange that receives reports from a member played by the test.
class exchange_on_loopback : public testing::Test {
 protected:
  void SendReport() {
    view_report report;
    report.self = {
        {kLoopback, sender_.local_endpoint().port()}, kLocalDomain, 1};
    report.watches_table = true;
    report.table_version = 1;
    failure why;
    sender_.send_to(asio::buffer(*EncodeFrame(report, why)),
                    {asio::ip::address_v4::loopback(), listen_.port});
  }

  void SendForeignNotice() {
    const load_notice notice{.sender = {{kLoopback, 9}, kRemoteDomain, 1},
                             .sums = {{.domain = kRemoteDomain}}};
    failure why;
    sender_.send_to(asio::buffer(*EncodeFrame(notice, why)),
                    {asio::ip::address_v4::loopback(), listen_.port});
  }

  /// Returns the domains of the sums in the last notice of loads that the
  /// member has received.
  std::vector<std::string> ReceiveSums() {
    std::vector<std::string> domains;
    std::array<char, 8192> buffer{};
    sender_.non_blocking(true);
    error_code error;
    for (;;) {
      const size_t size = sender_.receive(asio::buffer(buffer), 0, error);
      if (error) return domains;
      failure why;
      const auto message =
          DecodePayload(ParseFrame({buffer.data(), size}).payload, why);
      const auto* notice =
          message ? std::get_if<load_notice>(&*message) : nullptr;
      if (notice == nullptr) continue;
      domains.clear();
      for (const domain_sum& sum : notice->sums) domains.push_back(sum.domain);
    }
  }

  bool HasMembers() const {
    return exchange_.HasMembers(std::chrono::steady_clock::now());
  }

  asio::io_context io_;
  direct_world world_{{MakeEntry(1)}};
  udp::socket sender_{io_, {asio::ip::address_v4::loopback(), 0}};
  endpoint listen_{kLoopback, FindFreePort()};
  bool was_paused_ = false;
  peer_exchange exchange_{
      io_,
      listen_,
      {listen_, kLocalDomain, 1},
      {},
      1000,
      world_.state,
      {.on_snapshot = [](const endpoint&, const snapshot_effect&) {},
       .watches_table = [] { return false; },
       .table_read_at = [] { return time_point{}; },
       .on_activity =
           [this] {
             if (std::exchange(was_paused_, false)) exchange_.DiscardReceived();
           }}};
};

// A process that was stopped for seconds finds reports in its socket that
// confirm what has been true seconds ago.
TEST_F(exchange_on_loopback, MessagesReceivedDuringAPauseAreDiscarded) {
  exchange_.Start();
  io_.run_for(20ms);
  SendReport();
  was_paused_ = true;
  io_.run_for(50ms);
  EXPECT_FALSE(HasMembers());
  EXPECT_EQ(exchange_.confirmation().at, time_point{});
  SendReport();
  io_.run_for(50ms);
  EXPECT_TRUE(HasMembers());
  EXPECT_NE(exchange_.confirmation().at, time_point{});
}

// One datagram of another program, or of a later release, must not stop the
// exchange.
TEST_F(exchange_on_loopback, MalformedMessagesAreIgnored) {
  exchange_.Start();
  io_.run_for(20ms);
  const udp::endpoint to(asio::ip::address_v4::loopback(), listen_.port);
  for (const std::string& bytes :
       {std::string(), std::string("x"), std::string(8000, '\xff'),
        std::string("\0\0\0\4\1\xff\xdc\xff", 8)})
    sender_.send_to(asio::buffer(bytes), to);
  io_.run_for(20ms);
  SendReport();
  io_.run_for(50ms);
  EXPECT_TRUE(HasMembers());
}

// Without it, a member would know the load of its own reports only.
TEST_F(exchange_on_loopback, AReaderSendsTheSumsOfAllDomainsToMembers) {
  world_.state.spill.is_enabled = true;
  UpdateLoads(world_.state, std::chrono::steady_clock::now() - 1s);
  exchange_.Start();
  SendReport();
  SendForeignNotice();
  // The second round of reports follows after a second.
  io_.run_for(1500ms);
  EXPECT_EQ(ReceiveSums(),
            (std::vector<std::string>{kRemoteDomain, kLocalDomain}));
}

}  // namespace
}  // namespace radishyard
