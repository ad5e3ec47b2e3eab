// The traffic threads of a balancer, behind the interface that the control
// thread uses.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "base/asio.h"
#include "traffic/traffic_port.h"
#include "traffic/traffic_thread.h"

namespace radishyard {

/// \brief Starts the threads and passes orders to the one that serves the pool.
class traffic_group : public traffic_port {
 public:
  /// Called on the control thread with the reports of all threads.
  using reports_handler =
      std::function<void(const std::vector<traffic_report>&)>;

  traffic_group(asio::io_context& control, const endpoint& first,
                uint16_t threads, size_t held_flows);

  /// \brief Starts the threads. \param on_hop is called on the traffic threads.
  void Start(const reports_handler& on_reports,
             const traffic_thread::hop_handler& on_hop);
  void Stop();
  const std::vector<traffic_report>& reports() const { return reports_; }

  void Publish(std::shared_ptr<const routing_view> view) override;
  void Grant(const traffic_grants& grants, std::function<void()> done) override;
  void Export(const pool_name& name,
              std::function<void(flow_batch)> handler) override;
  void Import(const pool_name& name, flow_batch batch) override;
  void Forget(const pool_name& name) override;
  void Inherit(const pool_name& name,
               std::vector<upstream_load> counts) override;
  void NewWitnessed(const pool_name& name, size_t most,
                    std::function<void(flow_batch)> handler) override;
  void ForgetWitnessed(const pool_name& name) override;
  void Witness(flow_batch batch) override;

 private:
  traffic_thread& ThreadOf(const pool_name& name) {
    return *threads_[ThreadIndex(name, threads_.size())];
  }

  asio::io_context& control_;
  endpoint first_;
  uint16_t count_;
  size_t held_flows_;
  std::vector<traffic_report> reports_;  // Latest of each thread.
  std::vector<std::unique_ptr<traffic_thread>> threads_;
};

}  // namespace radishyard
