// Reads the evacuation requests at regular intervals while this balancer has to
// read them, with backoff while the platform is unreachable.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "base/asio.h"
#include "base/time.h"
#include "direct/evacuation/evacuation.h"
#include "direct/view/registry.h"
#include "peer/backoff.h"

namespace radishyard {

/// \brief Time between two questions whether a read is needed.
inline constexpr duration kEvacuationRecheckInterval = 150ms;
/// \brief The same at the start, until requests are known.
inline constexpr duration kEvacuationStartInterval = 20ms;
/// \brief Delays after failed reads of a reader, which reads for its domain.
inline constexpr backoff_policy kEvacuationReaderBackoff{.first = 100ms,
                                                         .longest = 800ms};
/// \brief The same for a member that hears nothing from its readers. Hundreds
/// of members would otherwise call a platform that is down, while the first
/// answer to a reader reaches them as soon.
inline constexpr backoff_policy kEvacuationMemberBackoff{.first = 100ms,
                                                         .longest = 3200ms};

/// \brief Callbacks of the follower to its owner.
struct evacuation_handlers {
  /// Receives the requests and the time at which they were current.
  std::function<void(const evacuation_list&, time_point)> on_list;
  /// Reads have begun to fail, with the reason, or succeed again, with an empty
  /// reason.
  std::function<void(const std::string&)> on_platform_state;
  /// Returns true if this balancer must read the requests itself.
  std::function<bool()> needs_list;
  /// Returns true if the other members of the domain rely on this balancer.
  std::function<bool()> is_reader;
  /// Returns true once requests are known, here or from others.
  std::function<bool()> has_list;
};

/// \brief Follows the evacuation requests until destroyed.
class evacuation_follower {
 public:
  /// \param seed of the jitter; should differ between balancers.
  evacuation_follower(asio::io_context& io, registry& source, duration interval,
                      evacuation_handlers handlers, uint64_t seed);

  void Start();

 private:
  void ReadWhenNeeded();
  void HandleResult(const std::optional<evacuation_list>& list,
                    const failure& why, time_point requested_at);
  void RunAfter(duration wait);

  registry& source_;
  duration interval_;
  evacuation_handlers handlers_;
  uint64_t seed_;
  asio::steady_timer timer_;
  unsigned failures_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishyard
