// The interface by which the control thread commands the traffic threads. Tests
// of the control thread implement it without sockets.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "flow/flow_batch.h"
#include "pool/pool.h"
#include "traffic/routing_view.h"
#include "traffic/traffic_grants.h"

namespace radishyard {

/// \brief Commands to the traffic threads. They run asynchronously; handlers
/// are called on the control thread.
class traffic_control {
 public:
  virtual ~traffic_control() = default;
  /// \brief Publishes a new routing view to all threads.
  virtual void PublishView(std::shared_ptr<const routing_view> view) = 0;
  /// \brief Replaces the grants of all threads.
  /// \param done is called, if set, once no thread uses earlier grants any
  /// more.
  virtual void SetGrants(const traffic_grants& grants,
                         std::function<void()> done) = 0;
  // The thread that serves the pool executes the following commands by the
  // functions of flow_owner with the same names.
  virtual void ExportFlows(const pool_name& name,
                           std::function<void(flow_batch)> handler) = 0;
  virtual void ImportFlows(const pool_name& name, flow_batch batch) = 0;
  virtual void RemoveHandedOverFlows(const pool_name& name) = 0;
  virtual void SetInheritedLoads(const pool_name& name,
                                 std::vector<upstream_load> counts) = 0;
  virtual void CollectFlowsForStandby(
      const pool_name& name, size_t most,
      std::function<void(flow_batch)> handler) = 0;
  virtual void ClearSentToStandby(const pool_name& name) = 0;
  /// \brief Records the upstreams of flows that the owner of a pool reported to
  /// this balancer as its standby.
  virtual void RecordStandbyFlows(flow_batch batch) = 0;
};

}  // namespace radishyard
