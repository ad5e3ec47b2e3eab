// Keeps the upstream list and the table current: reads the list, or its
// changes, at regular intervals and watches the table, with backoff while the
// platform is unreachable.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/asio.h"
#include "base/time.h"
#include "direct/view/registry.h"
#include "peer/backoff.h"
#include "store/answer_timing.h"

namespace radishyard {

/// \brief Intervals and timeouts of the follower.
struct follower_times {
  duration list_interval = 1200ms;    ///< Between two reads of the list.
  duration watch_wait = 1500ms;       ///< Longest wait of one watch.
  duration recheck_interval = 150ms;  ///< Between two calls of needs_list
                                      ///< or needs_table.
  /// The same during the first recheck_interval, when others may have no view.
  duration start_recheck_interval = 20ms;
  backoff_policy backoff{.first = 100ms, .longest = 800ms};
  auto operator<=>(const follower_times&) const = default;
};

/// \brief A watch or a regular read that is lost is the first to fail, so the
/// first delay of the backoff follows it.
inline constexpr answer_timing kRegistryTiming{kRegistryTimeout,
                                               follower_times{}.backoff.first};

/// \brief Times with which a change of the list is known within `drain_bound`
/// and a change of the table within `edit_bound`, even if the platform has lost
/// a read or a watch; see MaxAnswerInterval().
follower_times MakeFollowerTimes(duration drain_bound, duration edit_bound);

/// \brief The whole list is read again after this many reads of changes, so
/// that a change that the store has not delivered is noticed.
inline constexpr unsigned kMaxChangeReads = 16;
/// \brief Changes are read or watched only from a list, or a table, that was
/// read as a whole no longer ago than this; the store drops its history.
inline constexpr duration kMaxBaseAge = 15s;

/// \brief Callbacks of the follower to its owner.
struct follower_handlers {
  /// Receives a list and the time at which it was current.
  std::function<void(const upstream_list&, time_point)> on_list;
  /// Receives a version of the table.
  std::function<void(routing_table)> on_table;
  /// Reads of "upstreams" or "table" have begun to fail, with the reason, or
  /// succeed again, with an empty reason.
  std::function<void(const std::string&, const std::string&)> on_platform_state;
  /// Return true if this balancer must read the list or the table itself, and
  /// false if it receives them from other balancers. If unset, it always reads.
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
  /// \brief Takes into account that the VM was suspended for `elapsed`, which
  /// the monotonic clock does not count. Reads the list at once if it is needed
  /// and no read is in flight.
  void RecordSuspension(duration elapsed);
  /// \brief True while a watch of the table is in flight, the one before it was
  /// answered, and reads of the list succeed. The watch alone would take
  /// seconds to show that the platform is unreachable.
  bool IsFollowingTable(time_point now) const;
  /// \brief The last time at which an answer of the platform has shown that
  /// there was no newer table than the one delivered.
  time_point table_read_at() const { return table_read_at_; }

 private:
  /// State of the reads of the list or of the table.
  struct read_state {
    std::string name;
    asio::steady_timer timer;
    unsigned failures = 0;
    unsigned rechecks = 0;          ///< Times that no read was needed.
    bool is_in_flight = false;      ///< A read is in flight.
    bool has_lost_history = false;  ///< And no read has succeeded since.
  };

  /// The last upstream list that this balancer has read itself, from which
  /// changes are read.
  struct list_base {
    upstream_list list;
    time_point requested_at{};
    time_point received_at{};    ///< The list was current no later than this.
    store_revision last_change;  ///< From which changes are read.
    unsigned change_reads = 0;   ///< Since the whole list was read.
  };

  void ReadList();
  void ReadWholeList();
  void ReadListChanges();
  void HandleChanges(const std::optional<upstream_changes>& changes,
                     const failure& why, time_point requested_at);
  void HandleList(const upstream_list& list, time_point requested_at);
  bool CanReadChanges(time_point now) const;
  void ReadTableWhenNeeded();
  void ReadTable();
  void FollowTableWhenNeeded();
  void WatchTable();
  void HandleTable(const std::optional<table_update>& result,
                   const failure& why, time_point current_at);
  duration SubtractJitter(duration interval);
  void HandleSuccess(read_state& state);
  void HandleFailure(read_state& state, const failure& why,
                     void (registry_follower::*next)());
  void Recheck(read_state& state, std::function<void()> next);
  void RunAfter(read_state& state, duration wait, std::function<void()> next);

  registry& source_;
  follower_times times_;
  follower_handlers handlers_;
  uint64_t seed_;
  read_state list_;
  read_state table_;
  std::optional<list_base> base_;
  store_revision watched_revision_;  ///< From which the table is watched.
  time_point whole_table_at_{};      ///< Last successful read, without watches.
  bool is_watching_ = false;         ///< A watch is in flight.
  time_point last_list_at_{};        ///< Last successful read of the list.
  /// A watch that waits does not advance it.
  time_point table_read_at_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishyard
