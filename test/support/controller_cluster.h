// Controllers of several balancers in one process: real links on loopback, a
// fake platform, and traffic threads that only record what they are told.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/asio.h"
#include "control/controller.h"
#include "support/fake_store.h"

namespace radishyard {

/// \brief Records the last view and grants; holds no flows.
class recording_port : public traffic_control {
 public:
  void PublishView(std::shared_ptr<const routing_view> v) override { view = v; }
  void SetGrants(const traffic_grants& g, std::function<void()> done) override {
    grants = g;
    if (done) done();
  }
  void ExportFlows(const pool_name&,
                   std::function<void(flow_batch)> f) override {
    f({});
  }
  void ImportFlows(const pool_name&, flow_batch) override {}
  void RemoveHandedOverFlows(const pool_name&) override {}
  void SetInheritedLoads(const pool_name&,
                         std::vector<upstream_load>) override {}
  void CollectFlowsForStandby(const pool_name&, size_t,
                              std::function<void(flow_batch)> f) override {
    f({});
  }
  void ClearSentToStandby(const pool_name&) override {}
  void RecordStandbyFlows(flow_batch) override {}

  std::shared_ptr<const routing_view> view;
  traffic_grants grants;
};

/// \brief One balancer. Destroying it is a kill: nothing of it runs any more.
struct controller_node {
  controller_node(const settings& config, fake_platform& platform,
                  uint64_t incarnation);
  /// \brief Version of the service in force here; 0 for none.
  uint64_t Version(const std::string& service) const;
  /// \brief Pools for which it may place non-idempotent work at `now`.
  std::set<pool_name> MayPlace(time_point now) const;

  asio::io_context io;
  fake_store store;
  recording_port traffic;
  controller control;
  bool is_paused = false;
};

/// \brief Balancers by name, run in turns on the test's thread.
///
/// \code
/// controller_cluster w;
/// w.WriteService("survey-link", 10);
/// w.Start("rennes-1", "rennes");
/// ASSERT_TRUE(w.RunUntil([&] { return w.HasOwnerForEachPool(); }, 5s));
/// \endcode
class controller_cluster {
 public:
  controller_node& Start(const std::string& name, const std::string& domain,
                         fault_mode fault = fault_mode::kNone);
  void Kill(const std::string& name) { nodes.erase(name); }

  /// \brief Writes a service with one upstream in each of two domains.
  /// \returns its version.
  uint64_t WriteService(const std::string& service, uint32_t weight);

  /// \brief Runs all until `holds`, and checks after each turn that no two may
  /// place for one pool.
  bool RunUntil(const std::function<bool()>& holds, duration timeout);
  void RunFor(duration span);

  /// \brief The one that may place for the pool; nothing if none may.
  std::optional<std::string> FindPlacer(const pool_name& pool) const;
  bool HasOwnerForEachPool() const;

  fake_platform platform;
  std::map<std::string, std::unique_ptr<controller_node>> nodes;
  std::string lease_violation;     ///< The first case seen; empty while none.
  std::string version_regression;  ///< The first fall of a version; as above.
  limit_settings limits;           ///< Of the nodes that are started next.

 private:
  void Check();

  uint64_t incarnation_ = 0;
  std::vector<endpoint> controls_;
  std::map<std::pair<std::string, std::string>, uint64_t>
      versions_;  // By node and service.
};

}  // namespace radishyard
