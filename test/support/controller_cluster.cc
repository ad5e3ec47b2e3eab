// All controllers share the thread of the test. Each has an executor of its
// own, so that it can be paused or destroyed alone.
#include "support/controller_cluster.h"

#include <thread>

#include "support/free_port.h"
#include "table/table_json.h"

namespace radishyard {
namespace {

constexpr uint32_t kLoopback = 0x7f000001;
const std::vector<std::string> kDomains = {"rennes", "quimper"};

settings MakeSettings(const std::string& name, const std::string& domain) {
  settings config;
  config.name = name;
  config.domain = domain;
  config.data = {kLoopback, FindFreePort()};
  config.control = {kLoopback, FindFreePort()};
  config.admin = {kLoopback, FindFreePort()};
  config.domains = kDomains;
  return config;
}

service MakeService(const std::string& name, uint32_t weight) {
  service s;
  s.name = name;
  s.address = 0x0a140001;
  s.ports.push_back({.port = 7002,
                     .upstream_port = 7002,
                     .proto = protocol::kUdp,
                     .kind = port_kind::kRequest,
                     .idempotent = false});
  uint32_t address = 0x0a1e0101;
  for (const std::string& domain : kDomains) {
    upstream row;
    row.name = "up-" + domain;
    row.address = address++;
    row.domain = domain;
    row.weight = weight;
    row.slots = 2;
    row.connections = 100;
    s.upstreams.push_back(row);
  }
  return s;
}

// Runs the handlers that are ready, up to a limit: io_context::poll() never
// returns while a handler keeps posting itself again.
void RunReadyHandlers(controller_node& node) {
  constexpr int kMaxHandlersPerTurn = 200;
  for (int i = 0; i < kMaxHandlersPerTurn && node.io.poll_one() > 0; ++i) {
  }
}

}  // namespace

controller_node::controller_node(const settings& config,
                                 fake_platform& platform, uint64_t incarnation)
    : store(io, platform), control(io, store, config, incarnation, traffic) {}

uint64_t controller_node::Version(const std::string& service) const {
  const auto& records = control.table().records;
  const auto found = records.find(service);
  return found == records.end() ? 0 : found->second->version;
}

std::set<pool_name> controller_node::MayPlace(time_point now) const {
  std::set<pool_name> allowed;
  for (const auto& [name, until] : traffic.grants.lease_deadlines)
    if (until > now) allowed.insert(name);
  return allowed;
}

controller_node& controller_cluster::Start(const std::string& name,
                                           const std::string& domain,
                                           fault_mode fault) {
  settings config = MakeSettings(name, domain);
  config.limits = limits;
  config.peers = control_endpoints_;
  control_endpoints_.push_back(config.control);
  auto node =
      std::make_unique<controller_node>(config, platform, ++incarnation_);
  node->store.SetFault({.mode = fault});
  node->control.Start();
  std::erase_if(versions_,
                [&](const auto& v) { return v.first.first == name; });
  return *(nodes[name] = std::move(node));
}

uint64_t controller_cluster::WriteService(const std::string& name,
                                          uint32_t weight) {
  const std::string key = "services/" + name;
  const auto found = platform.Find(key, false);
  failure why;
  return platform
      .Put(key, ToRecordJson(MakeService(name, weight), "edit", {}),
           found ? found->version : 0, why)
      .value();
}

bool controller_cluster::RunUntil(const std::function<bool()>& holds,
                                  duration timeout) {
  const time_point until = std::chrono::steady_clock::now() + timeout;
  while (!holds()) {
    if (std::chrono::steady_clock::now() >= until) return false;
    for (const auto& [name, node] : nodes)
      if (!node->is_paused) RunReadyHandlers(*node);
    CheckInvariants();
    std::this_thread::sleep_for(1ms);
  }
  return true;
}

void controller_cluster::RunFor(duration span) {
  RunUntil([] { return false; }, span);
}

// Paused nodes are checked too: while the controller of a balancer is paused,
// its traffic threads may still place work.
void controller_cluster::CheckInvariants() {
  const time_point now = std::chrono::steady_clock::now();
  std::map<pool_name, std::string> placers;
  for (const auto& [name, node] : nodes) {
    for (const pool_name& pool : node->MayPlace(now)) {
      const auto [other, is_first] = placers.emplace(pool, name);
      if (!is_first && lease_violation.empty())
        lease_violation = pool.domain + ": " + other->second + " and " + name;
    }
    for (const auto& [service, record] : node->control.table().records) {
      uint64_t& seen = versions_[{name, service}];
      if (record->version < seen && version_regression.empty())
        version_regression = name;
      seen = record->version;
    }
  }
}

std::optional<std::string> controller_cluster::FindPlacer(
    const pool_name& pool) const {
  for (const auto& [name, node] : nodes)
    if (node->MayPlace(std::chrono::steady_clock::now()).contains(pool))
      return name;
  return std::nullopt;
}

bool controller_cluster::HasOwnerForEachPool() const {
  for (const std::string& domain : kDomains)
    if (!FindPlacer({"survey-link", domain})) return false;
  return true;
}

}  // namespace radishyard
