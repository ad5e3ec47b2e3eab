// Controllers of several balancers in one process, with real TCP links over
// loopback, a fake platform, and traffic threads replaced by recorders.
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

/// \brief Stands for the traffic threads: records the latest view and grants,
/// and has no flows.
class recording_traffic_control : public traffic_control {
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

/// \brief The controller of one balancer with its own executor and store
/// client. Destroying it simulates a crash: none of its handlers run
/// afterwards.
struct controller_node {
  controller_node(const settings& config, fake_platform& platform,
                  uint64_t incarnation);
  /// \brief Version of the service in force at this balancer; 0 if it has none.
  uint64_t Version(const std::string& service) const;
  /// \brief Pools whose non-idempotent work this balancer may place at `now`.
  std::set<pool_name> MayPlace(time_point now) const;

  asio::io_context io;
  fake_store store;
  recording_traffic_control traffic;
  controller control;
  bool is_paused = false;
};

/// \brief Controllers by balancer name, run in turn on the thread of the test.
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

  /// \brief Writes a service with one upstream in each of two failure domains
  /// to the platform.
  /// \returns its new version.
  uint64_t WriteService(const std::string& service, uint32_t weight);

  /// \brief Runs all controllers that are not paused until `holds` returns
  /// true. Checks the invariants after each turn; see `lease_violation` and
  /// `version_regression`.
  /// \returns false if `holds` is still false after `timeout`.
  bool RunUntil(const std::function<bool()>& holds, duration timeout);
  void RunFor(duration span);

  /// \brief The balancer that may place non-idempotent work of the pool;
  /// nothing if none may.
  std::optional<std::string> FindPlacer(const pool_name& pool) const;
  /// \brief True if some balancer may place for every pool of "survey-link".
  bool HasOwnerForEachPool() const;

  fake_platform platform;
  std::map<std::string, std::unique_ptr<controller_node>> nodes;
  std::string lease_violation;  ///< First pool seen with two placers, if any.
  std::string version_regression;  ///< First node with a version that fell.
  limit_settings limits;           ///< Of balancers started from now on.

 private:
  void CheckInvariants();

  uint64_t incarnation_ = 0;
  std::vector<endpoint> control_endpoints_;  ///< Peers of the next balancer.
  std::map<std::pair<std::string, std::string>, uint64_t>
      versions_;  ///< Last version seen, by node and service.
};

}  // namespace radishyard
