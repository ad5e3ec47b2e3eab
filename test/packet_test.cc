// Tests parsing of IPv4 packets, in-place rewriting with checksum updates, the
// packets that reject a flow, and the Geneve encapsulation.
#include "packet/packet.h"

#include <gtest/gtest.h>
#include <tins/tins.h>

#include <algorithm>
#include <random>
#include <string>

#include "packet/geneve.h"

namespace radishyard {
namespace {

const endpoint kCaller{0x0a010101, 40000};
const endpoint kService{0x0a140001, 7000};
const endpoint kUpstream{0x0a1e0102, 7100};

byte_span Bytes(const std::string& text) {
  return {reinterpret_cast<const uint8_t*>(text.data()), text.size()};
}

// Compares with libtins, an independent library that recomputes the IP and
// transport checksums when it serializes a packet.
void ExpectValidChecksums(const byte_buffer& bytes) {
  Tins::IP ip(bytes.data(), static_cast<uint32_t>(bytes.size()));
  const byte_buffer reserialized = ip.serialize();
  EXPECT_EQ(bytes, reserialized);
}

TEST(Packet, RewriteKeepsChecksumsValid) {
  const std::string text = "odd";
  for (const protocol proto : {protocol::kTcp, protocol::kUdp}) {
    byte_buffer bytes = BuildPacket(
        {kCaller, kService, proto, kPsh | kAck, 7, 9, 3, Bytes(text)});
    ExpectValidChecksums(bytes);
    RewriteDestination(bytes, kUpstream);
    RewriteSource(bytes, kService);
    ExpectValidChecksums(bytes);
    failure why;
    const auto view = ParsePacket(bytes, why);
    ASSERT_TRUE(view) << why.text;
    EXPECT_EQ(view->destination, kUpstream);
    EXPECT_EQ(view->source, kService);
    EXPECT_TRUE(std::ranges::equal(view->payload, Bytes(text)));
  }
}

TEST(Packet, RejectsEveryTruncation) {
  const byte_buffer valid =
      BuildPacket({kCaller, kService, protocol::kTcp, kSyn, 1, 0, 1, {}});
  for (size_t n = 0; n < valid.size(); ++n) {
    failure why;
    EXPECT_FALSE(ParsePacket(byte_span(valid).first(n), why));
    EXPECT_EQ(why.kind, failure_kind::kInvalid);
  }
}

TEST(Packet, ResetAcknowledgesTheSyn) {
  const byte_buffer syn =
      BuildPacket({kCaller, kService, protocol::kTcp, kSyn, 41, 0, 1, {}});
  failure why;
  const byte_buffer reset = BuildReset(*ParsePacket(syn, why));
  const auto view = ParsePacket(reset, why);
  ASSERT_TRUE(view);
  EXPECT_TRUE(view->Has(kRst));
  EXPECT_EQ(view->ack, 42U);
  EXPECT_EQ(view->destination, kCaller);
}

TEST(Packet, PortUnreachableQuotesTheRejectedFlow) {
  const std::string text = "order";
  const byte_buffer request =
      BuildPacket({kCaller, kService, protocol::kUdp, 0, 0, 0, 1, Bytes(text)});
  const byte_buffer icmp = BuildPortUnreachable(request);
  EXPECT_EQ(ParsePortUnreachable(icmp),
            (flow_key{kCaller, kService, protocol::kUdp}));
  EXPECT_FALSE(ParsePortUnreachable(request));
}

TEST(Geneve, EncodingRoundTrips) {
  const std::string inner = "inner packet";
  const forward_option option{forward_kind::kToPreviousOwner, 2, 77, 0x0a1e0102,
                              0x1122334455667788};
  const byte_buffer datagram = EncodeGeneve({5, option, Bytes(inner)});
  failure why;
  const auto frame = DecodeGeneve(datagram, why);
  ASSERT_TRUE(frame) << why.text;
  EXPECT_EQ(frame->vni, 5U);
  EXPECT_EQ(frame->forward, option);
  EXPECT_TRUE(std::ranges::equal(frame->inner, Bytes(inner)));
}

TEST(Geneve, ParsersDoNotCrashOnMutatedDatagrams) {
  const byte_buffer inner =
      BuildPacket({kCaller, kService, protocol::kTcp, kSyn, 1, 0, 1, {}});
  const byte_buffer valid = EncodeGeneve({5, forward_option{}, inner});
  std::mt19937 random(20261204);
  for (int round = 0; round < 200000; ++round) {
    byte_buffer mutated = valid;
    mutated.resize(random() % (valid.size() + 4));
    for (int i = 0; i < 3 && !mutated.empty(); ++i)
      mutated[random() % mutated.size()] = static_cast<uint8_t>(random());
    failure why;
    const auto frame = DecodeGeneve(mutated, why);
    if (frame) ParsePacket(frame->inner, why);
    if (frame) ParsePortUnreachable(frame->inner);
  }
}

}  // namespace
}  // namespace radishyard
