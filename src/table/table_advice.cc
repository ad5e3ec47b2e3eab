// Implements each rule of the advice as a function on one service.
#include "table/table_advice.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace radishyard {
namespace {

std::string UpstreamPlace(size_t index, const char* field) {
  return "/upstreams/" + std::to_string(index) + "/" + field;
}

std::string FormatPercent(double part) {
  constexpr double kPercent = 100;
  return std::to_string(std::lround(part * kPercent)) + "%";
}

bool HasRequestPort(const service& s) {
  return std::ranges::any_of(s.ports, [](const service_port& p) {
    return p.kind == port_kind::kRequest;
  });
}

void AdviseOnPorts(const service& s, findings& found) {
  for (size_t i = 0; i < s.ports.size(); ++i) {
    const service_port& p = s.ports[i];
    const bool is_udp_request =
        p.kind == port_kind::kRequest && p.proto == protocol::kUdp;
    if (!p.idempotent && !is_udp_request)
      found.Add("/ports/" + std::to_string(i) + "/idempotent",
                "has no effect: it concerns UDP requests only");
  }
}

void AdviseOnNewFlows(const service& s, findings& found) {
  for (size_t i = 0; i < s.upstreams.size(); ++i)
    if (s.upstreams[i].weight == 0)
      found.Add(UpstreamPlace(i, "weight"),
                "is 0: the upstream gets no new flows");
  if (std::ranges::none_of(s.upstreams, TakesNewFlows))
    found.Add("/upstreams", "has no upstream that takes new flows");
}

void AdviseOnConnections(const service& s, findings& found) {
  for (size_t i = 0; i < s.upstreams.size(); ++i) {
    const upstream& u = s.upstreams[i];
    if (u.connections < u.slots)
      found.Add(UpstreamPlace(i, "connections"),
                "is below the slots, " + std::to_string(u.slots) +
                    ": each request also holds a connection");
  }
}

void AdviseOnWeights(const service& s, findings& found) {
  double weights = 0;
  double slots = 0;
  for (const upstream& u : s.upstreams) {
    if (!TakesNewFlows(u)) continue;
    weights += u.weight;
    slots += u.slots;
  }
  for (size_t i = 0; i < s.upstreams.size(); ++i) {
    const upstream& u = s.upstreams[i];
    if (!TakesNewFlows(u)) continue;
    const double part_of_flows = u.weight / weights;
    const double part_of_slots = u.slots / slots;
    if (part_of_flows > kMaxWeightPerSlotRatio * part_of_slots)
      found.Add(UpstreamPlace(i, "weight"),
                "gives it " + FormatPercent(part_of_flows) +
                    " of the new flows, but it has " +
                    FormatPercent(part_of_slots) + " of the slots");
  }
}

}  // namespace

bool TakesNewFlows(const upstream& u) {
  return u.weight > 0 && u.state != upstream_state::kLeaving;
}

findings AdviseOnService(const service& s) {
  findings found;
  if (s.deleted) return found;
  AdviseOnPorts(s, found);
  AdviseOnNewFlows(s, found);
  // A feed holds a connection only.
  if (!HasRequestPort(s)) return found;
  AdviseOnConnections(s, found);
  AdviseOnWeights(s, found);
  return found;
}

findings AdviseOnEvacuations(const service& s,
                             const std::set<std::string>& evacuated_domains) {
  findings found;
  if (s.deleted) return found;
  size_t taking = 0;
  size_t evacuated = 0;
  for (const upstream& u : s.upstreams) {
    if (!TakesNewFlows(u)) continue;
    ++taking;
    if (evacuated_domains.contains(u.domain)) ++evacuated;
  }
  if (taking > 0 && evacuated == taking)
    found.Add("/upstreams", "that take new flows are all in evacuated domains");
  return found;
}

}  // namespace radishyard
