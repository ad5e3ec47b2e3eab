// One balancer with direct server return: its sockets, its pages, its timers.
// What it decides lies in forwarder.h.
#pragma once
#include <memory>

#include "base/asio.h"
#include "direct/direct_settings.h"
#include "direct/packet_codec.h"
#include "direct/registry.h"

namespace radishyard {

/// \brief Serves until it is stopped.
///
/// \code
/// direct_balancer balancer(io, settings, codec, source);
/// balancer.Start();
/// io.run();
/// \endcode
/// Throws boost::system::system_error from the constructor where an address
/// can't be bound.
class direct_balancer {
 public:
  direct_balancer(asio::io_context& io, const direct_settings& config,
                  const packet_codec& codec, registry& source);
  ~direct_balancer();
  direct_balancer(const direct_balancer&) = delete;
  direct_balancer& operator=(const direct_balancer&) = delete;

  void Start();
  /// \brief Leaves the rotation, serves on for most of the grace period, then
  /// stops the io_context.
  void Stop();
  /// \brief Takes changed settings. Addresses stay as they were at the start.
  void Reconfigure(const direct_settings& config);

 private:
  class core;
  std::unique_ptr<core> core_;
};

}  // namespace radishyard
