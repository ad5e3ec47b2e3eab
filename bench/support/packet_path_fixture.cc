// The view and the packets of the rig.
#include "support/packet_path_fixture.h"

#include "pool/pool_state.h"

namespace radishyard {
namespace {

constexpr uint32_t kFirstCaller = 0x0b000000;
constexpr uint32_t kFirstUpstream = 0x0a1e0101;
constexpr uint32_t kUpstreams = 8;
constexpr uint16_t kCallerPort = 40000;
constexpr uint16_t kUpstreamPort = 7000;
constexpr size_t kSourceAt = kGeneveBaseBytes + 12;       // IPv4 source.
constexpr size_t kDestinationAt = kGeneveBaseBytes + 16;  // IPv4 destination.
constexpr size_t kTcpFlagsAt = kGeneveBaseBytes + 20 + 13;

// Callers spread over a /8 network, each with another address.
uint32_t CallerAddress(uint32_t caller) {
  constexpr uint32_t kOddFactor = 0x9e3779b1;
  return kFirstCaller + ((caller * kOddFactor) & 0xffffff);
}

void PutAddress(byte_buffer& bytes, size_t at, uint32_t address) {
  for (size_t i = 0; i < 4; ++i)
    bytes[at + i] = static_cast<uint8_t>(address >> (24 - 8 * i));
}

std::shared_ptr<routing_view> View(bool owns) {
  auto view = std::make_shared<routing_view>();
  const auto table = std::make_shared<const service>(packet_rig::Table());
  view->fabric = {packet_rig::kFabric};
  view->balancers = {packet_rig::kPeer};
  view->lookup_peers = {packet_rig::kPeer};
  pool_route pool{.name = packet_rig::Pool(), .table = table};
  pool.tag = 1;
  pool.weight = PoolWeight(*table, pool.name.domain);
  pool.role = owns ? pool_role::kOwner : pool_role::kNone;
  pool.reachable = true;
  pool.owner = packet_rig::kPeer;
  view->pools.push_back(pool);
  // The other domains' pools of the service, all reachable elsewhere.
  for (uint16_t i = 2; i <= 3; ++i) {
    pool.name.domain = "domain-" + std::to_string(i);
    pool.tag = i;
    pool.role = pool_role::kNone;
    pool.weight = owns ? 0 : pool.weight;
    view->pools.push_back(pool);
  }
  const service_port& port = table->ports[0];
  view->ports[{port.proto, packet_rig::kService}] = {port, {0, 1, 2}};
  for (const upstream& row : table->upstreams) {
    view->upstreams[{port.proto, {row.address, port.upstream_port}}] = {
        0, packet_rig::kService, port};
  }
  return view;
}

}  // namespace

service packet_rig::Table() {
  service s{.name = "survey-link", .address = kService.address};
  s.ports = {{kService.port, kUpstreamPort}};
  for (uint32_t i = 0; i < kUpstreams; ++i) {
    s.upstreams.push_back({"u" + std::to_string(i), kFirstUpstream + i,
                           "rennes", 10, 1000000, 1000000});
  }
  return s;
}

packet_rig::packet_rig(bool owns) : core(sink, kWitnesses, AtMs(0)) {
  const uint8_t payload[16] = {};
  packet_fields fields{.source = {kFirstCaller, kCallerPort},
                       .destination = kService,
                       .proto = protocol::kTcp,
                       .flags = kAck,
                       .payload = payload};
  from_caller_ = EncodeGeneve({0, std::nullopt, BuildPacket(fields)});
  fields.source = {kFirstUpstream, kUpstreamPort};
  fields.destination = {kFirstCaller, kCallerPort};
  from_upstream_ = EncodeGeneve({0, std::nullopt, BuildPacket(fields)});
  core.SetView(View(owns), AtMs(0));
}

flow_key packet_rig::KeyOf(uint32_t caller) {
  return {{CallerAddress(caller), kCallerPort}, kService, protocol::kTcp};
}

void packet_rig::Hand(byte_buffer& datagram, size_t field, uint32_t caller,
                      uint8_t flags, time_point now) {
  scratch_.assign(datagram.begin(), datagram.end());
  PutAddress(scratch_, field, CallerAddress(caller));
  scratch_[kTcpFlagsAt] = flags;
  core.Receive(scratch_, kFabric, now);
}

void packet_rig::FromCaller(uint32_t caller, uint8_t flags, time_point now) {
  Hand(from_caller_, kSourceAt, caller, flags, now);
}

void packet_rig::FromUpstream(uint32_t caller, uint32_t upstream, uint8_t flags,
                              time_point now) {
  PutAddress(from_upstream_, kSourceAt, upstream);
  Hand(from_upstream_, kDestinationAt, caller, flags, now);
}

uint32_t packet_rig::UpstreamOf(uint32_t caller) const {
  const flow_table& flows = core.owner().flows();
  const auto slot = flows.Find(KeyOf(caller));
  return slot ? flows.At(*slot).upstream : 0;
}

void packet_rig::OpenFlows(uint32_t count, time_point now) {
  for (uint32_t i = 0; i < count; ++i) {
    FromCaller(i, kSyn, now);
    FromUpstream(i, UpstreamOf(i), kSyn | kAck, now);
  }
  core.Tick(now + 1s);
}

}  // namespace radishyard
