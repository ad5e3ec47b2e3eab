// Tests the peer protocol: messages keep their values through encoding and
// decoding, malformed input is rejected, pool deltas reproduce the counts, and
// links reconnect after a loss.
#include <gtest/gtest.h>

#include <iostream>
#include <random>

#include "peer/peer_codec.h"
#include "peer/peer_connector.h"
#include "peer/peer_server.h"
#include "peer/pool_delta.h"

namespace radishyard {
namespace {

constexpr uint32_t kLoopback = 0x7F000001;

member MakeMember(const std::string& name) {
  return {{name, 1700000000}, "rennes",           4,   {0x0A000001, 6081}, 4,
          {0x0A000001, 9100}, {0x0A000001, 9200}, true};
}

heartbeat MakeHeartbeat(uint32_t upstreams) {
  heartbeat beat{{"vm-rennes-1", 1700000000}, 900000, 86400000};
  beat.epochs = {{"rennes", 310}, {"quimper", 290}, {"vannes", 305}};
  beat.table_digest = 0x9E3779B97F4A7C15;
  pool_delta load{"survey-link", "rennes", true, {}, 3, 9};
  for (uint32_t i = 0; i < upstreams; ++i)
    load.counts.push_back({0x0A010000 + i, 1200 + i, i % 3});
  beat.loads = {load};
  beat.summaries = {{"vannes",
                     {"vm-vannes-1", 1700000000},
                     77,
                     305,
                     {{"vm-vannes-2", 1700000000}}}};
  return beat;
}

/// One message of each type with a description, for the report of frame sizes.
std::vector<std::pair<std::string, peer_message>> SampleMessages() {
  table_digest digest;
  for (int i = 0; i < 2500; ++i)
    digest.services.push_back({"service-" + std::to_string(i), 100000U + i});
  heartbeat idle = MakeHeartbeat(0);
  idle.loads.clear();
  idle.summaries.clear();
  const byte_blob flows(1024, 0xAB);
  return {{"hello", hello{MakeMember("vm-rennes-1")}},
          {"heartbeat, no pool", idle},
          {"heartbeat, 1 upstream changed", MakeHeartbeat(1)},
          {"heartbeat, 14 upstreams", MakeHeartbeat(14)},
          {"heartbeat_ack",
           heartbeat_ack{{"vm-2", 1700000000}, 9, 8, {{"rennes", 310}}}},
          {"table_digest, 2,500 services", digest},
          {"table_records, 1 of 600 B",
           table_records{{{std::string(600, ' '), 7, "edit-1"}}, {}}},
          {"table_records, 1 evacuation",
           table_records{{}, {{std::string(100, ' '), 7, "edit-1"}}}},
          {"table_digest, 1 evacuation", table_digest{{}, {{"rennes", 7}}}},
          {"roster_record, 2 kB",
           roster_record{"rennes", 12, std::string(2000, ' ')}},
          {"handover_chunk, 1 KiB of flows",
           handover_chunk{"rennes", "archive", 311, 70000, true, flows}},
          {"handover_ack", handover_ack{"rennes", "archive", 311, 70000}},
          {"flow_witness, 1 KiB of flows",
           standby_flows{"rennes", "archive", flows}}};
}

std::string MustEncodeFrame(const peer_message& message) {
  failure why;
  return EncodeFrame(message, why).value();
}

TEST(PeerCodec, DecodesEveryEncodedMessage) {
  for (const auto& [name, message] : SampleMessages()) {
    const std::string frame = MustEncodeFrame(message);
    const std::string stream = frame + "more";
    const frame_view view = ParseFrame(stream);
    ASSERT_EQ(view.what, frame_view::status::kComplete) << name;
    EXPECT_EQ(view.size, frame.size());
    failure why;
    EXPECT_EQ(DecodePayload(view.payload, why), message) << name << why.text;
    std::cout << "bytes of " << name << ": " << frame.size() << "\n";
  }
}

TEST(PeerCodec, RejectsEveryTruncationWithAReason) {
  for (const auto& [name, message] : SampleMessages()) {
    const std::string frame = MustEncodeFrame(message);
    // Short frames are cut at every position; longer ones in steps that are
    // coprime to the sizes of their fields.
    const size_t step = 1 + frame.size() / 500;
    for (size_t cut = 0; cut < frame.size(); cut += step) {
      const std::string_view part = std::string_view(frame).substr(0, cut);
      EXPECT_EQ(ParseFrame(part).what, frame_view::status::kPartial);
      if (cut < kFrameLengthBytes) continue;
      failure why;
      EXPECT_FALSE(DecodePayload(part.substr(kFrameLengthBytes), why)) << name;
      EXPECT_EQ(why.kind, failure_kind::kInvalid);
      EXPECT_FALSE(why.text.empty());
    }
  }
}

// A short message may claim long arrays within arrays, each of which the
// decoder would allocate before it notices that the items are missing.
TEST(PeerCodec, RejectsDeepNestingAndLengthsBeyondTheMessage) {
  failure why;
  const std::string head =
      MustEncodeFrame(hello{MakeMember("vm-1")}).substr(kFrameLengthBytes, 2);
  const std::string long_array = "\xdc\xff\xff";
  std::string claims = head;
  for (int level = 0; level < 8; ++level) claims += long_array;
  EXPECT_FALSE(DecodePayload(claims, why));
  const std::string huge_array = "\xdd\xff\xff\xff\xff";
  EXPECT_FALSE(DecodePayload(head + huge_array, why));
  const std::string huge_string = "\x91\xdb\xff\xff\xff\xff";
  EXPECT_FALSE(DecodePayload(head + huge_string, why));
  constexpr size_t kLevels = 500'000;
  EXPECT_FALSE(DecodePayload(head + std::string(kLevels, '\x91'), why));
  EXPECT_FALSE(
      DecodePayload(head + std::string(kLevels, '\x91') + '\xc0', why));
}

// Guards against accepting corrupted bytes as another message: a mutated
// payload that is decoded must encode and decode again to the same value, and
// every other one must be rejected with a reason.
TEST(PeerCodec, RejectsMutatedPayloadsOrDecodesThemConsistently) {
  constexpr int kRounds = 4000;
  std::mt19937_64 random(42);
  size_t rejected = 0;
  for (const auto& [name, message] : SampleMessages()) {
    const std::string payload =
        MustEncodeFrame(message).substr(kFrameLengthBytes);
    if (payload.size() > 4000) continue;
    for (int round = 0; round < kRounds; ++round) {
      std::string bytes = payload;
      for (uint64_t i = 1 + random() % 4; i > 0; --i)
        bytes[random() % bytes.size()] = static_cast<char>(random());
      if (random() % 4 == 0) bytes.resize(random() % bytes.size());
      failure why;
      const auto decoded = DecodePayload(bytes, why);
      rejected += decoded ? 0 : 1;
      ASSERT_EQ(decoded.has_value(), why.kind == failure_kind::kNone);
      if (!decoded) continue;
      const std::string again =
          MustEncodeFrame(*decoded).substr(kFrameLengthBytes);
      ASSERT_EQ(DecodePayload(again, why), decoded);
    }
  }
  EXPECT_GT(rejected, 0U);
}

TEST(PeerCodec, RejectsMalformedBodiesAndSkipsAppendedFields) {
  const std::string header = {1, 3};  // heartbeat_ack
  const std::vector<std::string> bodies = {
      std::string("\xdd\xff\xff\xff\xff", 5),  // array of 2^32 - 1
      std::string("\xdb\xff\xff\xff\xff", 5),  // string of 2^32 - 1
      std::string(500000, '\x91'),             // arrays 500,000 deep
      std::string("\x95\x92\xa1\xff\x01\x01\x01\x01\xc3", 9),  // not UTF-8
      std::string("\x95\x92\xa1v\x01\x01\x01\xff\xc3", 9),     // negative
      std::string("\x94\x92\xa1v\x01\x01\x01\x01", 8),         // field missing
      std::string("\x95\x92\xa1v\x01\x01\x01\x01\xc3\xc3", 10)};  // trailing
  for (const std::string& body : bodies) {
    failure why;
    EXPECT_FALSE(DecodePayload(header + body, why));
  }
  // A field appended by a later release is skipped.
  failure why;
  EXPECT_TRUE(DecodePayload(
      header + std::string("\x95\x92\xa1v\x01\x01\x01\x90\xc0", 9), why));
  // Fields appended in this release are omitted by older ones.
  const auto digest = DecodePayload(
      std::string({1, 4}) + std::string("\x91\x91\x92\xa1s\x07", 6), why);
  ASSERT_TRUE(digest) << why.text;
  EXPECT_EQ(std::get<table_digest>(*digest), (table_digest{{{"s", 7}}, {}}));
  EXPECT_FALSE(
      EncodeFrame(standby_flows{"", "", byte_blob(kMaxPayloadBytes)}, why));
}

TEST(PoolDelta, CarriesOnlyChangesAndReproducesTheCounts) {
  std::mt19937 random(7);
  pool_usage sent;
  pool_usage receiver_usage;
  const pool_usage* previous = nullptr;
  for (int round = 0; round < 500; ++round) {
    pool_usage current = sent;
    if (current.counts.size() < 14 && random() % 4 == 0)
      current.counts.push_back({round + 1U, 0, 0});
    if (!current.counts.empty() && random() % 8 == 0)
      current.counts.erase(current.counts.begin());
    if (!current.counts.empty())
      current.counts[random() % current.counts.size()].slots = random() % 3;
    current.queue_length = random() % 5;
    const pool_delta delta =
        ComputePoolDelta("archive", "rennes", previous, current);
    EXPECT_TRUE(delta.full || delta.counts.size() <= 2);
    ApplyPoolDelta(receiver_usage, delta);
    ASSERT_EQ(receiver_usage, current);
    sent = current;
    previous = &sent;
  }
}

TEST(Backoff, DoublesUpToTheLongestDelayWithJitter) {
  const backoff_policy policy{100ms, 5s};
  for (unsigned attempt = 0; attempt < 100; ++attempt) {
    const duration full_delay =
        std::min<duration>(5s, 100ms * (int64_t{1} << std::min(attempt, 10U)));
    const duration delay = ComputeBackoffDelay(policy, attempt, 1);
    EXPECT_GE(delay, full_delay / 2);
    EXPECT_LE(delay, full_delay);
    EXPECT_EQ(delay, ComputeBackoffDelay(policy, attempt, 1));
    EXPECT_NE(delay, ComputeBackoffDelay(policy, attempt, 2));
  }
}

/// A server, a connector to it and what their handlers have received.
class peer_links : public testing::Test {
 protected:
  /// Runs the event loop until `done` returns true, for 5 s at most.
  template <typename Condition>
  bool RunUntil(Condition done) {
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!done() && std::chrono::steady_clock::now() < end)
      io_.run_one_for(10ms);
    return done();
  }

  std::unique_ptr<peer_server> StartServer(uint16_t port = 0) {
    const link_handlers handlers{
        [](peer_link& link) { link.Send(hello{MakeMember("server")}); },
        [](peer_link& link, const peer_message& message) {
          if (message.index() == 1) link.Send(heartbeat_ack{{"server", 1}});
        },
        [this](peer_link&, const failure& why) { server_failure_ = why; }};
    return std::make_unique<peer_server>(io_, endpoint{kLoopback, port},
                                         handlers, server_counters_);
  }

  std::unique_ptr<peer_connector> StartConnector(uint16_t port) {
    const link_handlers handlers{
        [](peer_link& link) { link.Send(hello{MakeMember("client")}); },
        [this](peer_link&, const peer_message& m) { received_.push_back(m); },
        [this](peer_link&, const failure&) { ++client_closes_; }};
    auto connector = std::make_unique<peer_connector>(
        io_, endpoint{kLoopback, port}, handlers, client_counters_, 1,
        backoff_policy{5ms, 50ms});
    connector->Start();
    return connector;
  }

  /// Sends raw bytes to `server`, closes the sending direction and waits until
  /// the server has closed the link.
  void SendRawAndAwaitClose(const peer_server& server,
                            const std::string& bytes) {
    asio::ip::tcp::socket raw(io_);
    raw.connect({asio::ip::address_v4(kLoopback), server.port()});
    asio::write(raw, asio::buffer(bytes));
    raw.shutdown(asio::socket_base::shutdown_send);
    server_failure_ = {};
    EXPECT_TRUE(RunUntil([&] { return !server_failure_.text.empty(); }));
    EXPECT_EQ(server.size(), 0U);
  }

  asio::io_context io_;
  std::shared_ptr<peer_counters> server_counters_ =
      std::make_shared<peer_counters>();
  std::shared_ptr<peer_counters> client_counters_ =
      std::make_shared<peer_counters>();
  std::vector<peer_message> received_;
  failure server_failure_;
  int client_closes_ = 0;
};

TEST_F(peer_links, ExchangeMessagesAndReconnectAfterALoss) {
  auto server = StartServer();
  const uint16_t port = server->port();
  const auto client = StartConnector(port);
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 1; }));
  EXPECT_EQ(client->link()->peer(), MakeMember("server"));
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(client->Send(MakeHeartbeat(14)));
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 101; }));
  server->ForEach(
      [](peer_link& link) { EXPECT_EQ(link.peer(), MakeMember("client")); });
  EXPECT_EQ(client_counters_->messages_sent, 101U);
  EXPECT_EQ(server_counters_->messages_received, 101U);
  EXPECT_EQ(client_counters_->bytes_sent, server_counters_->bytes_received);
  EXPECT_EQ(server_counters_->bytes_sent, client_counters_->bytes_received);

  server.reset();
  ASSERT_TRUE(RunUntil([&] { return client_closes_ == 1; }));
  EXPECT_FALSE(client->Send(MakeHeartbeat(1)));
  ASSERT_TRUE(RunUntil([&] { return client->failed_attempts() > 3; }));
  server = StartServer(port);
  EXPECT_TRUE(RunUntil([&] { return received_.size() == 102; }));
  EXPECT_EQ(client->failed_attempts(), 0U);
}

TEST_F(peer_links, CountMalformedFramesAndReadTheNextOne) {
  const auto server = StartServer();
  const std::string good = MustEncodeFrame(heartbeat{});
  const std::string bad = std::string("\0\0\0\3\1\2\xc0", 7);
  SendRawAndAwaitClose(*server, good + bad + good);
  EXPECT_EQ(server_counters_->messages_received, 2U)
      << "the message after the malformed one is read";
  EXPECT_EQ(server_counters_->malformed, 1U);
  SendRawAndAwaitClose(*server, good + good.substr(0, good.size() - 1));
  EXPECT_EQ(server_counters_->messages_received, 3U);
  SendRawAndAwaitClose(*server,
                       std::string("\0\x10\0\1", 4) + std::string(100, 'x'));
  EXPECT_EQ(server_failure_.kind, failure_kind::kInvalid);
  EXPECT_EQ(server_counters_->malformed, 2U);
}

TEST_F(peer_links, CloseWhenThePeerDoesNotRead) {
  const auto server = StartServer();
  asio::ip::tcp::socket raw(io_);
  raw.connect({asio::ip::address_v4(kLoopback), server->port()});
  ASSERT_TRUE(RunUntil([&] { return server->size() == 1; }));
  const standby_flows large{"", "", byte_blob(500000)};
  bool queued = true;
  for (int i = 0; i < 200 && queued; ++i) {
    server->ForEach([&](peer_link& link) { queued = link.Send(large); });
    io_.poll();
  }
  EXPECT_FALSE(queued);
  EXPECT_TRUE(RunUntil([&] { return server->size() == 0; }));
  EXPECT_EQ(server_counters_->overflows, 1U);
}

}  // namespace
}  // namespace radishyard
