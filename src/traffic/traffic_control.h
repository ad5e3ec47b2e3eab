// The traffic threads as the control thread sees them: an interface, so that
// tests of the control thread need no sockets.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "flow/flow_batch.h"
#include "pool/pool.h"
#include "traffic/routing_view.h"
#include "traffic/traffic_grants.h"

namespace radishyard {

/// \brief Orders to the traffic threads. Answers come back on the control
/// thread.
class traffic_control {
 public:
  virtual ~traffic_control() = default;
  virtual void PublishView(std::shared_ptr<const routing_view> view) = 0;
  /// \param done, if any, is called once no thread acts by earlier grants.
  virtual void SetGrants(const traffic_grants& grants,
                         std::function<void()> done) = 0;
  /// \sa flow_owner for the following.
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
  /// \brief Flows that an owner told this balancer as its standby.
  virtual void RecordStandbyFlows(flow_batch batch) = 0;
};

}  // namespace radishyard
