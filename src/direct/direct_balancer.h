// A balancer with direct server return: its sockets, HTTP pages and timers.
// forwarder.h holds the decisions on packets.
#pragma once
#include <memory>

#include "base/asio.h"
#include "direct/direct_settings.h"
#include "direct/forward/packet_codec.h"
#include "direct/view/registry.h"

namespace radishyard {

/// \brief Forwards callers' packets to upstreams until it is stopped.
///
/// \code
/// direct_balancer balancer(io, settings, codec, source);
/// balancer.Start();
/// io.run();
/// \endcode
/// The constructor throws boost::system::system_error if an address cannot be
/// bound.
class direct_balancer {
 public:
  direct_balancer(asio::io_context& io, const direct_settings& config,
                  const packet_codec& codec, registry& source);
  ~direct_balancer();
  direct_balancer(const direct_balancer&) = delete;
  direct_balancer& operator=(const direct_balancer&) = delete;

  void Start();
  /// \brief Makes the readiness page fail, so that routers take the balancer
  /// out of their rotation, and stops the io_context once no more packets
  /// arrive or shortly before the grace period ends.
  void Stop();
  /// \brief Applies changed settings: the peers and the stop grace period. The
  /// other settings stay as they were at the start.
  void Reconfigure(const direct_settings& config);

 private:
  class core;
  std::unique_ptr<core> core_;
};

}  // namespace radishyard
