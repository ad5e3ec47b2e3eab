// Stops a balancer once routers have ceased to send packets to it.
#pragma once
#include <string>

#include "base/asio.h"
#include "base/time.h"

namespace radishyard {

/// \brief Stops an io_context after Begin().
class idle_stop {
 public:
  explicit idle_stop(asio::io_context& io) : io_(io), timer_(io) {}

  /// \brief Stops the io_context once packets cease to arrive, and in any case
  /// before `grace` has passed.
  /// \param name of the balancer, for the log.
  void Begin(const std::string& name, duration grace);
  bool HasBegun() const { return has_begun_; }

  void RecordPacket(time_point now) { last_packet_at_ = now; }

 private:
  void Check();

  asio::io_context& io_;
  asio::steady_timer timer_;
  bool has_begun_ = false;
  std::string name_;
  time_point last_packet_at_{};
  time_point earliest_{};  ///< Of the stop.
  time_point latest_{};
};

}  // namespace radishyard
