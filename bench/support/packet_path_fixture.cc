// Builds the routing view and the packets of the fixture.
#include "support/packet_path_fixture.h"

#include "pool/pool_state.h"

namespace radishyard {
namespace {

constexpr uint32_t kFirstCallerAddress = 0x0b000000;
constexpr uint32_t kFirstUpstreamAddress = 0x0a1e0101;
constexpr uint32_t kUpstreamCount = 8;
constexpr uint16_t kCallerPort = 40000;
constexpr uint16_t kUpstreamPort = 7000;
constexpr size_t kSourceOffset =
    kGeneveBaseBytes + 12;  // In the inner IPv4 header.
constexpr size_t kDestinationOffset = kGeneveBaseBytes + 16;
constexpr size_t kTcpFlagsOffset = kGeneveBaseBytes + 20 + 13;

// Returns the address of a caller. The addresses are distinct and spread over a
// /8 network.
uint32_t CallerAddress(uint32_t caller) {
  constexpr uint32_t kOddFactor = 0x9e3779b1;
  return kFirstCallerAddress + ((caller * kOddFactor) & 0xffffff);
}

void WriteAddress(byte_buffer& bytes, size_t offset, uint32_t address) {
  for (size_t i = 0; i < 4; ++i)
    bytes[offset + i] = static_cast<uint8_t>(address >> (24 - 8 * i));
}

std::shared_ptr<routing_view> MakeView(bool is_owner) {
  auto view = std::make_shared<routing_view>();
  const auto table =
      std::make_shared<const service>(packet_path_fixture::MakeService());
  view->fabric = {packet_path_fixture::kFabric};
  view->balancers = {packet_path_fixture::kPeer};
  view->lookup_peers = {packet_path_fixture::kPeer};
  pool_route pool{.name = packet_path_fixture::PoolName(), .table = table};
  pool.tag = 1;
  pool.weight = PoolWeight(*table, pool.name.domain);
  pool.role = is_owner ? pool_role::kOwner : pool_role::kNone;
  pool.reachable = true;
  pool.owner = packet_path_fixture::kPeer;
  view->pools.push_back(pool);
  // The pools of the service in other domains, which other balancers own.
  for (uint16_t i = 2; i <= 3; ++i) {
    pool.name.domain = "domain-" + std::to_string(i);
    pool.tag = i;
    pool.role = pool_role::kNone;
    pool.weight = is_owner ? 0 : pool.weight;
    view->pools.push_back(pool);
  }
  const service_port& port = table->ports[0];
  view->ports[{port.proto, packet_path_fixture::kService}] = {port, {0, 1, 2}};
  for (const upstream& row : table->upstreams) {
    view->upstreams[{port.proto, {row.address, port.upstream_port}}] = {
        0, packet_path_fixture::kService, port};
  }
  return view;
}

}  // namespace

service packet_path_fixture::MakeService() {
  service s{.name = "survey-link", .address = kService.address};
  s.ports = {{kService.port, kUpstreamPort}};
  for (uint32_t i = 0; i < kUpstreamCount; ++i) {
    s.upstreams.push_back({"u" + std::to_string(i), kFirstUpstreamAddress + i,
                           "rennes", 10, 1000000, 1000000});
  }
  return s;
}

packet_path_fixture::packet_path_fixture(bool is_owner)
    : core(sink, kUpstreamCacheEntries, AtMs(0)) {
  const uint8_t payload[16] = {};
  packet_fields fields{.source = {kFirstCallerAddress, kCallerPort},
                       .destination = kService,
                       .proto = protocol::kTcp,
                       .flags = kAck,
                       .payload = payload};
  from_caller_ = EncodeGeneve({0, std::nullopt, BuildPacket(fields)});
  fields.source = {kFirstUpstreamAddress, kUpstreamPort};
  fields.destination = {kFirstCallerAddress, kCallerPort};
  from_upstream_ = EncodeGeneve({0, std::nullopt, BuildPacket(fields)});
  core.SetView(MakeView(is_owner), AtMs(0));
}

flow_key packet_path_fixture::MakeFlowKey(uint32_t caller) {
  return {{CallerAddress(caller), kCallerPort}, kService, protocol::kTcp};
}

void packet_path_fixture::Receive(byte_buffer& datagram, size_t address_offset,
                                  uint32_t caller, uint8_t flags,
                                  time_point now) {
  scratch_.assign(datagram.begin(), datagram.end());
  WriteAddress(scratch_, address_offset, CallerAddress(caller));
  scratch_[kTcpFlagsOffset] = flags;
  core.Receive(scratch_, kFabric, now);
}

void packet_path_fixture::ReceiveFromCaller(uint32_t caller, uint8_t flags,
                                            time_point now) {
  Receive(from_caller_, kSourceOffset, caller, flags, now);
}

void packet_path_fixture::ReceiveFromUpstream(uint32_t caller,
                                              uint32_t upstream, uint8_t flags,
                                              time_point now) {
  WriteAddress(from_upstream_, kSourceOffset, upstream);
  Receive(from_upstream_, kDestinationOffset, caller, flags, now);
}

uint32_t packet_path_fixture::FindUpstream(uint32_t caller) const {
  const flow_table& flows = core.owner().flows();
  const auto slot = flows.Find(MakeFlowKey(caller));
  return slot ? flows.At(*slot).upstream : 0;
}

void packet_path_fixture::OpenFlows(uint32_t count, time_point now) {
  for (uint32_t i = 0; i < count; ++i) {
    ReceiveFromCaller(i, kSyn, now);
    ReceiveFromUpstream(i, FindUpstream(i), kSyn | kAck, now);
  }
  core.Tick(now + 1s);
}

}  // namespace radishyard
