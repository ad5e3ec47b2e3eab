// The traffic threads of a balancer as the control thread uses them.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "base/asio.h"
#include "traffic/traffic_control.h"
#include "traffic/traffic_thread.h"

namespace radishyard {

/// \brief Starts the traffic threads and passes each command to the thread that
/// serves the pool.
/// \warning All members may be called from the control thread only.
class traffic_thread_group : public traffic_control {
 public:
  /// Called on the control thread with the latest reports of all threads.
  using reports_handler =
      std::function<void(const std::vector<traffic_report>&)>;

  /// \param control context of the control thread.
  /// \param first endpoint of the first thread; the others use the ports after
  /// it.
  /// \param held_flows number of flows whose upstream each thread records from
  /// packets that pass it.
  traffic_thread_group(asio::io_context& control, const endpoint& first,
                       uint16_t threads, size_t held_flows);

  /// \brief Starts the threads.
  /// \param on_hop is called on the traffic threads.
  void Start(const reports_handler& on_reports,
             const traffic_thread::hop_handler& on_hop);
  /// \brief Stops all threads and waits for them.
  void Stop();
  const std::vector<traffic_report>& reports() const { return reports_; }

  void PublishView(std::shared_ptr<const routing_view> view) override;
  void SetGrants(const traffic_grants& grants,
                 std::function<void()> done) override;
  void ExportFlows(const pool_name& name,
                   std::function<void(flow_batch)> handler) override;
  void ImportFlows(const pool_name& name, flow_batch batch) override;
  void RemoveHandedOverFlows(const pool_name& name) override;
  void SetInheritedLoads(const pool_name& name,
                         std::vector<upstream_load> counts) override;
  void CollectFlowsForStandby(const pool_name& name, size_t most,
                              std::function<void(flow_batch)> handler) override;
  void ClearSentToStandby(const pool_name& name) override;
  void RecordStandbyFlows(flow_batch batch) override;

 private:
  traffic_thread& ThreadOf(const pool_name& name) {
    return *threads_[ThreadIndex(name, threads_.size())];
  }

  asio::io_context& control_;
  endpoint first_endpoint_;
  uint16_t thread_count_;
  size_t upstream_cache_entries_;
  std::vector<traffic_report> reports_;  // Latest report of each thread.
  std::vector<std::unique_ptr<traffic_thread>> threads_;
};

}  // namespace radishyard
