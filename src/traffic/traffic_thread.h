// A traffic thread: a UDP socket and a traffic_core on a thread of their own.
#pragma once
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "base/asio.h"
#include "traffic/traffic_core.h"

namespace radishyard {

/// \brief What a traffic thread reports to the control thread.
struct traffic_report {
  traffic_counters counters;
  std::vector<served_pool_load> loads;
  std::vector<pool_name>
      pools_to_hand_over;  ///< \sa flow_owner::PoolsToHandOver()
  size_t open_flows = 0;
  traffic_histograms times;
  time_point at{};  ///< Time of the report.
};

/// \brief Options of a traffic thread.
struct traffic_thread_options {
  endpoint listen;
  size_t upstream_cache_entries = 1 << 18;  ///< \sa traffic_core
  duration report_interval = 100ms;
};

/// \brief Runs the packet path on its own thread.
/// \warning All members may be called from the control thread only.
class traffic_thread : private traffic_sink {
 public:
  using report_handler = std::function<void(const traffic_report&)>;
  using hop_handler = std::function<void(const hop_span&)>;

  /// \param on_report, on_hop are called on the traffic thread, so they must
  /// post to the threads that use the values.
  traffic_thread(const traffic_thread_options& options,
                 report_handler on_report, hop_handler on_hop);
  ~traffic_thread() override;

  /// \brief Publishes a new routing view to the thread.
  void PublishView(std::shared_ptr<const routing_view> view);

  /// \brief Runs `task` on the traffic thread.
  void Post(std::function<void(traffic_core&, time_point)> task);

  /// \brief Stops the thread and waits for it.
  void Stop();

 private:
  void SendToFabric(byte_span ip_packet, uint64_t flow_hash) override;
  void SendToBalancer(const endpoint& to, const forward_option& option,
                      byte_span ip_packet) override;
  void RecordHop(const hop_span& hop) override { on_hop_(hop); }

  void Run();
  void WaitForPackets();
  void ReceiveBatch();
  void HandlePause();
  void DiscardReceivedDatagrams();
  void WaitForTick();
  void Send(const endpoint& to, const geneve_frame& frame);

  traffic_thread_options options_;
  report_handler on_report_;
  hop_handler on_hop_;
  asio::io_context io_;
  asio::ip::udp::socket socket_;
  asio::steady_timer tick_timer_;
  std::shared_ptr<const routing_view> view_;  // Used on the traffic thread.
  traffic_core core_;
  std::vector<uint8_t> buffer_;
  time_point last_report_at_{};
  time_point last_active_at_;  // Last run of this thread, to detect pauses.
  uint64_t send_failed_ = 0;
  std::thread thread_;
};

}  // namespace radishyard
