// Keeps the upstreams and the table current: lists one in steady intervals and
// waits for changes of the other, with backoff while the platform is away.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "base/asio.h"
#include "base/time.h"
#include "direct/registry.h"
#include "peer/backoff.h"

namespace radishyard {

/// \brief Times of the follower.
struct follower_times {
  duration list_interval = 1200ms;  ///< Between two readings of the registry.
  duration watch_wait = 10s;        ///< Longest wait for a change of the table.
  duration recheck_interval =
      150ms;  ///< Between two looks whether a reading is needed.
  backoff_policy backoff{.first = 100ms, .longest = 800ms};
  auto operator<=>(const follower_times&) const = default;
};

/// \brief Longest usual time of a reading of the platform.
inline constexpr duration kReadTimeAllowance = 300ms;

/// \brief What the follower tells its owner.
struct follower_handlers {
  /// A list that was current at the given instant.
  std::function<void(const upstream_list&, time_point)> on_list;
  std::function<void(routing_table)> on_table;
  /// A dependency ("upstreams", "table") was lost, with the reason, or
  /// regained, with an empty one.
  std::function<void(const std::string&, const std::string&)> on_platform_state;
  /// Whether this balancer has to read the upstreams or the table itself, or
  /// learns them from others. Nothing set: it reads.
  std::function<bool()> needs_list;
  std::function<bool()> needs_table;
};

/// \brief Follows a registry until destroyed.
class registry_follower {
 public:
  /// \param seed of the jitter; should differ between balancers.
  registry_follower(asio::io_context& io, registry& source,
                    follower_times times, follower_handlers handlers,
                    uint64_t seed);

  void Start();
  /// \brief Lists at once, unless a call is on its way.
  void ReadListNow();
  /// \brief True while the table is watched and the platform answers: a watch
  /// alone would not notice for seconds that the path to it is gone.
  bool IsFollowingTable(time_point now) const;

 private:
  /// One of the two readings.
  struct read_state {
    std::string name;
    asio::steady_timer timer;
    unsigned failures = 0;
    bool is_in_flight = false;      ///< A call is on its way.
    bool has_lost_history = false;  ///< And has not been read anew since.
  };

  void ReadList();
  void ReadTable();
  void WatchTableWhenNeeded(uint64_t revision);
  void WatchTable(uint64_t revision);
  void HandleTable(const std::optional<table_update>& result,
                   const failure& why);
  void HandleSuccess(read_state& state);
  void HandleFailure(read_state& state, const failure& why,
                     void (registry_follower::*next)());
  void RunAfter(read_state& state, duration wait, std::function<void()> next);

  registry& source_;
  follower_times times_;
  follower_handlers handlers_;
  uint64_t seed_;
  read_state list_;
  read_state table_;
  bool is_watching_ = false;   ///< A watch of the table is on its way.
  time_point last_list_at_{};  ///< Last answer to a reading of the upstreams.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishyard
