// A cluster of balancers for the benchmarks: many controllers in one event
// loop, with connections over 127.0.0.1, a store in memory and no traffic.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "control/controller.h"
#include "support/cluster_data.h"
#include "support/memory_store.h"

namespace radishyard {

/// \brief A traffic_control without traffic threads. It keeps the latest view
/// and ignores everything else.
class null_traffic_control : public traffic_control {
 public:
  void PublishView(std::shared_ptr<const routing_view> view) override {
    latest_view = std::move(view);
    ++published_views;
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

  std::shared_ptr<const routing_view> latest_view;
  uint64_t published_views = 0;
};

/// \brief Size of a cluster.
struct cluster_size {
  size_t balancers = 1;  ///< Controllers that run, all in one domain.
  size_t services = 50;
  size_t domains = 1;  ///< Rosters in the store. Those of other domains list
                       ///< balancers that do not run.
  size_t members = 1;  ///< Balancers in the roster of each domain.
};

/// \brief A running cluster.
///
/// \code
/// bench_cluster cluster({.balancers = 24, .members = 24});
/// if (cluster.WaitUntilConnected(10s)) cluster.Run(5s);
/// \endcode
class bench_cluster {
 public:
  /// Starts the balancers. They listen on free ports of 127.0.0.1.
  explicit bench_cluster(const cluster_size& size);

  /// \brief Runs until every balancer has received a message from every other
  /// one. \returns false if that takes longer than `timeout`.
  bool WaitUntilConnected(duration timeout);
  void Run(duration time) { io_.run_for(time); }
  /// \brief Runs until `done` returns true.
  /// \returns the time that it took; `timeout` if `done` never returned true.
  duration RunUntil(const std::function<bool()>& done, duration timeout);

  memory_store& store() { return store_; }
  size_t size() const { return balancers_.size(); }
  const controller& ControllerAt(size_t index) const {
    return *balancers_[index]->control;
  }
  uint64_t BytesSent() const;
  uint64_t MessagesSent() const;
  /// \brief Version of the service in the table of the balancer; 0 if it has
  /// none.
  uint64_t VersionAt(size_t index, const std::string& service) const;

 private:
  struct balancer {
    null_traffic_control traffic;
    std::unique_ptr<controller> control;
  };

  bool HasMessageFromAll(const balancer& receiver) const;

  asio::io_context io_;
  memory_store store_;
  std::vector<std::unique_ptr<balancer>> balancers_;
};

}  // namespace radishyard
