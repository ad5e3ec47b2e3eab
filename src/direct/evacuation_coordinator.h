// Keeps the evacuation requests of one balancer up to date: decides when it
// reads them itself, applies what was read and reports changes to the others.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "direct/evacuation/evacuation.h"
#include "direct/forward/forwarder.h"
#include "direct/view/evacuation_follower.h"
#include "direct/view/peer_exchange.h"

namespace radishyard {

/// \brief Settings of the coordinator.
struct evacuation_options {
  duration bound;  ///< From a request to the last flow placed on its domain.
  uint64_t seed;   ///< Of the jitter; should differ between balancers.
};

/// \brief Callbacks of the coordinator to its balancer.
struct evacuation_callbacks {
  /// Returns true while a view of other balancers may still arrive, so that the
  /// first read can wait.
  std::function<bool()> awaits_peers;
  /// A list was read.
  std::function<void()> on_read;
  /// As evacuation_handlers::on_platform_state.
  std::function<void(const std::string&)> on_platform_state;
};

/// \brief Follows the requests for one balancer until destroyed.
class evacuation_coordinator {
 public:
  /// \param state and \param peers must outlive the coordinator.
  evacuation_coordinator(asio::io_context& io, registry& source,
                         const evacuation_options& options,
                         forwarding_state& state, peer_exchange& peers,
                         evacuation_callbacks callbacks);

  void Start() { follower_.Start(); }

 private:
  evacuation_handlers MakeHandlers();
  bool NeedsList(time_point now) const;
  bool HasList() const { return IsKnown(state_.evacuations.list.revision); }
  void HandleList(evacuation_list list, time_point read_at);

  forwarding_state& state_;
  peer_exchange& peers_;
  evacuation_times times_;
  evacuation_callbacks callbacks_;
  evacuation_follower follower_;
};

}  // namespace radishyard
