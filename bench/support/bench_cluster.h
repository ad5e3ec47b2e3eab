// Many control threads of balancers in one event loop: the product's controller
// over real connections on 127.0.0.1, with a store in memory and no traffic.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "control/controller.h"
#include "support/cluster_data.h"
#include "support/memory_store.h"

namespace radishyard {

/// \brief A traffic_control that keeps the view only.
class idle_traffic : public traffic_control {
 public:
  void PublishView(std::shared_ptr<const routing_view> view) override {
    held = std::move(view);
    ++published;
  }
  void SetGrants(const traffic_grants&, std::function<void()> done) override {
    if (done) done();
  }
  void ExportFlows(const pool_name&, std::function<void(flow_batch)>) override {
  }
  void ImportFlows(const pool_name&, flow_batch) override {}
  void RemoveHandedOverFlows(const pool_name&) override {}
  void SetInheritedLoads(const pool_name&,
                         std::vector<upstream_load>) override {}
  void CollectFlowsForStandby(const pool_name&, size_t,
                              std::function<void(flow_batch)>) override {}
  void ClearSentToStandby(const pool_name&) override {}
  void RecordStandbyFlows(flow_batch) override {}

  std::shared_ptr<const routing_view> held;
  uint64_t published = 0;
};

/// \brief How large a fleet is.
struct fleet_size {
  size_t balancers = 1;  ///< Control threads that run, all in one domain.
  size_t services = 50;
  size_t domains = 1;  ///< Rosters in the store; those of other domains list
                       ///< balancers that do not run.
  size_t members = 1;  ///< Balancers listed in each domain.
};

/// \brief The running fleet.
///
/// \code
/// control_fleet fleet({.balancers = 24, .members = 24});
/// if (fleet.Settle(10s)) fleet.Run(5s);
/// \endcode
class control_fleet {
 public:
  /// The balancers listen on ports of 127.0.0.1 that were free.
  explicit control_fleet(const fleet_size& size);

  /// \brief Runs until every balancer hears all others. False after `most`.
  bool Settle(duration most);
  void Run(duration time) { io_.run_for(time); }
  /// \brief Runs until `done`. \returns the time it took; `most` if it ended
  /// without.
  duration RunUntil(const std::function<bool()>& done, duration most);

  memory_store& store() { return store_; }
  size_t size() const { return balancers_.size(); }
  const controller& At(size_t index) const {
    return *balancers_[index]->control;
  }
  uint64_t BytesSent() const;
  uint64_t MessagesSent() const;
  /// \brief Version of the service that is in force at the balancer.
  uint64_t VersionAt(size_t index, const std::string& service) const;

 private:
  struct balancer {
    idle_traffic traffic;
    std::unique_ptr<controller> control;
  };

  bool HearsAll(const balancer& at) const;

  asio::io_context io_;
  memory_store store_;
  std::vector<std::unique_ptr<balancer>> balancers_;
};

}  // namespace radishyard
