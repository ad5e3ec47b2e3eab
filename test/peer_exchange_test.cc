// Tests the exchange of messages between balancers over UDP.
#include "direct/peer_exchange.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace radishyard
