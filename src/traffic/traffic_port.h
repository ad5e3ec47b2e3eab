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
class traffic_port {
 public:
  virtual ~traffic_port() = default;
  virtual void Publish(std::shared_ptr<const routing_view> view) = 0;
  /// \param done, if any, is called once no thread acts by earlier grants.
  virtual void Grant(const traffic_grants& grants,
                     std::function<void()> done) = 0;
  /// \sa flow_owner for the following.
  virtual void Export(const pool_name& name,
                      std::function<void(flow_batch)> handler) = 0;
  virtual void Import(const pool_name& name, flow_batch batch) = 0;
  virtual void Forget(const pool_name& name) = 0;
  virtual void Inherit(const pool_name& name,
                       std::vector<upstream_load> counts) = 0;
  virtual void NewWitnessed(const pool_name& name, size_t most,
                            std::function<void(flow_batch)> handler) = 0;
  virtual void ForgetWitnessed(const pool_name& name) = 0;
  /// \brief Flows that an owner told this balancer as its standby.
  virtual void Witness(flow_batch batch) = 0;
};

}  // namespace radishyard
