// The routing view and the packets of the tests.
#include "support/traffic_harness.h"

namespace radishyard {
namespace {

constexpr uint32_t kFirstUpstream = 0x0a1e0101;

service MakeSurveyLink(uint32_t slots) {
  service s{.name = "survey-link",
            .address = traffic_harness::kFeedAddress.address};
  s.ports = {{7000, 7000, protocol::kTcp, port_kind::kFeed},
             {7001, 7001, protocol::kTcp, port_kind::kRequest},
             {7002, 7002, protocol::kUdp, port_kind::kRequest,
              priority_class::kNormal, false, 30},
             {7003, 7003, protocol::kUdp, port_kind::kRequest,
              priority_class::kNormal, true, 30}};
  s.upstreams = {{"u1", kFirstUpstream, "rennes", 10, slots, 2000},
                 {"u2", kFirstUpstream + 1, "rennes", 10, slots, 2000},
                 {"u3", kFirstUpstream + 2, "vannes", 10, slots, 2000}};
  return s;
}

}  // namespace

traffic_harness::traffic_harness(uint32_t slots)
    : view(std::make_shared<routing_view>()), core(sink, 4096, AtMs(0)) {
  const auto table = std::make_shared<const service>(MakeSurveyLink(slots));
  view->fabric = {kFabric};
  view->balancers = {kPeer};
  view->lookup_peers = {kPeer};
  for (const char* domain : {"rennes", "vannes"}) {
    pool_route pool{.name = {"survey-link", domain}, .table = table};
    pool.tag = static_cast<uint16_t>(view->pools.size() + 1);
    pool.weight = PoolWeight(*table, domain);
    pool.reachable = true;
    pool.owner = kPeer;
    view->pools.push_back(pool);
  }
  rennes().role = pool_role::kOwner;
  vannes().reachable = false;
  for (const service_port& port : table->ports) {
    const endpoint at{table->address, port.port};
    view->ports[{port.proto, at}] = {port, {0, 1}};
    for (const upstream& row : table->upstreams) {
      const uint16_t pool = row.domain == "rennes" ? 0 : 1;
      view->upstreams[{port.proto, {row.address, port.port}}] = {pool, at,
                                                                 port};
    }
  }
  PublishView(AtMs(0));
  GrantLease(AtMs(1000000));
}

void traffic_harness::GrantLease(time_point until) {
  core.owner().SetGrants({{{rennes().name, until}}, {}});
}

std::vector<sent_packet> traffic_harness::Deliver(
    const packet_fields& fields, time_point now,
    std::optional<forward_option> forward) {
  const byte_buffer ip = BuildPacket(fields);
  byte_buffer datagram = EncodeGeneve({0, forward, ip});
  core.Receive(datagram, forward ? kPeer : kFabric, now);
  return sink.TakeSent();
}

std::vector<sent_packet> traffic_harness::Tick(time_point now) {
  core.Tick(now);
  return sink.TakeSent();
}

}  // namespace radishyard
