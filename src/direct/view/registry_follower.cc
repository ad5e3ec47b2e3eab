// Reads the upstream list, watches the table and retries both after failures.
#include "direct/view/registry_follower.h"

#include <algorithm>
#include <utility>

#include "observe/guard.h"

namespace radishyard {
namespace {

using clock = std::chrono::steady_clock;

/// Intervals are shortened by up to 1/kJitterDivisor, so that balancers do not
/// read at the same time.
constexpr int64_t kJitterDivisor = 8;
/// Longest wait of a watch, however late a change of the table may be known.
/// Network devices drop connections that carry nothing for long.
constexpr duration kMaxWatchWait = 10s;

}  // namespace

follower_times MakeFollowerTimes(duration drain_bound, duration edit_bound) {
  follower_times times;
  times.list_interval = MaxAnswerInterval(drain_bound, kRegistryTiming);
  times.watch_wait =
      std::min(kMaxWatchWait, MaxAnswerInterval(edit_bound, kRegistryTiming));
  return times;
}

registry_follower::registry_follower(asio::io_context& io, registry& source,
                                     follower_times times,
                                     follower_handlers handlers, uint64_t seed)
    : source_(source),
      times_(times),
      handlers_(std::move(handlers)),
      seed_(seed),
      list_{"upstreams", asio::steady_timer(io)},
      table_{"table", asio::steady_timer(io)} {}

void registry_follower::Start() {
  ReadTableWhenNeeded();
  ReadList();
}

void registry_follower::RecordSuspension(duration elapsed) {
  if (table_read_at_ != time_point{}) table_read_at_ -= elapsed;
  whole_table_at_ -= elapsed;
  if (base_) base_->requested_at -= elapsed;
  list_.timer.cancel();
  ReadList();
}

void registry_follower::ReadList() {
  if (list_.is_in_flight) return;
  if (handlers_.needs_list && !handlers_.needs_list())
    return Recheck(list_, [this] { ReadList(); });
  list_.is_in_flight = true;
  CanReadChanges(clock::now()) ? ReadListChanges() : ReadWholeList();
}

bool registry_follower::CanReadChanges(time_point now) const {
  return base_ && base_->change_reads < kMaxChangeReads &&
         now - base_->requested_at <= kMaxBaseAge;
}

void registry_follower::ReadWholeList() {
  source_.ListUpstreams(
      [this, requested_at = clock::now(), alive = std::weak_ptr(alive_)](
          const std::optional<upstream_list>& list, const failure& why) {
        if (alive.expired()) return;
        list_.is_in_flight = false;
        if (!list)
          return HandleFailure(list_, why, &registry_follower::ReadList);
        base_ = list_base{*list, requested_at, clock::now(), list->revision};
        HandleList(*list, requested_at);
      });
}

void registry_follower::ReadListChanges() {
  source_.ReadUpstreamChanges(
      base_->last_change,
      [this, requested_at = clock::now(), alive = std::weak_ptr(alive_)](
          const std::optional<upstream_changes>& changes, const failure& why) {
        if (!alive.expired()) HandleChanges(changes, why, requested_at);
      });
}

void registry_follower::HandleChanges(
    const std::optional<upstream_changes>& changes, const failure& why,
    time_point requested_at) {
  list_.is_in_flight = false;
  // A store whose revisions have gone back within an epoch: the whole list is
  // read again.
  const bool is_usable = changes && changes->revision >= base_->list.revision;
  if (changes && !is_usable) {
    base_.reset();
    return ReadList();
  }
  if (!changes) {
    if (why.kind == failure_kind::kNotFound) base_.reset();
    return HandleFailure(list_, why, &registry_follower::ReadList);
  }
  // Counted from the receipt: the time that the list was on its way must not be
  // taken off the cold time of an upstream.
  base_->list.upstreams = ApplyDelta(base_->list, changes->delta,
                                     requested_at - base_->received_at);
  base_->list.revision = changes->revision;
  base_->last_change.number =
      std::max(base_->last_change.number, changes->last_change);
  base_->requested_at = requested_at;
  base_->received_at = clock::now();
  ++base_->change_reads;
  HandleList(base_->list, requested_at);
}

void registry_follower::HandleList(const upstream_list& list,
                                   time_point requested_at) {
  HandleSuccess(list_);
  last_list_at_ = clock::now();
  // UpdateDirectory() leaves no dangling pointers; the next list repeats what
  // is missing.
  RunGuarded("list", [&] { handlers_.on_list(list, requested_at); });
  RunAfter(list_, SubtractJitter(times_.list_interval), [this] { ReadList(); });
}

duration registry_follower::SubtractJitter(duration interval) {
  const duration jitter =
      interval / kJitterDivisor *
      static_cast<int64_t>(++seed_ * 0x9E3779B97F4A7C15 >> 56) / 256;
  return interval - jitter;
}

bool registry_follower::IsFollowingTable(time_point now) const {
  // WatchResultTime() is up to one allowance before an answer, and the next
  // answer arrives within another one after the wait.
  const duration longest_age = times_.watch_wait + 2 * kReadTimeAllowance;
  return is_watching_ && table_.failures == 0 && list_.failures == 0 &&
         now - table_read_at_ <= longest_age &&
         now - last_list_at_ <= times_.list_interval + kReadTimeAllowance;
}

void registry_follower::ReadTableWhenNeeded() {
  if (!handlers_.needs_table || handlers_.needs_table()) return ReadTable();
  Recheck(table_, [this] { ReadTableWhenNeeded(); });
}

void registry_follower::ReadTable() {
  source_.ReadTable(
      [this, requested_at = clock::now(), alive = std::weak_ptr(alive_)](
          const std::optional<table_update>& result, const failure& why) {
        if (alive.expired()) return;
        if (result) {
          whole_table_at_ = requested_at;
          watched_revision_ = result->revision;
        }
        HandleTable(result, why, requested_at);
      });
}

void registry_follower::FollowTableWhenNeeded() {
  if (handlers_.needs_table && !handlers_.needs_table())
    return Recheck(table_, [this] { FollowTableWhenNeeded(); });
  const bool is_base_old = clock::now() - whole_table_at_ > kMaxBaseAge;
  is_base_old ? ReadTable() : WatchTable();
}

void registry_follower::WatchTable() {
  is_watching_ = true;
  source_.WatchTable(
      watched_revision_, SubtractJitter(times_.watch_wait),
      [this, requested_at = clock::now(), alive = std::weak_ptr(alive_)](
          const std::optional<table_update>& result, const failure& why) {
        if (alive.expired()) return;
        is_watching_ = false;
        HandleTable(result, why, WatchResultTime(requested_at, clock::now()));
      });
}

void registry_follower::HandleTable(const std::optional<table_update>& result,
                                    const failure& why, time_point current_at) {
  if (!result) return HandleFailure(table_, why, &registry_follower::ReadTable);
  HandleSuccess(table_);
  table_read_at_ = current_at;
  // A table is applied whole or not at all.
  if (result->table)
    RunGuarded("table", [&] { handlers_.on_table(*result->table); });
  watched_revision_ = std::max(watched_revision_, result->revision);
  // The owner may have waited for the table before it needed a list.
  const bool awaits_list = last_list_at_ == time_point{} &&
                           !list_.is_in_flight && list_.failures == 0;
  if (awaits_list) {
    list_.timer.cancel();
    ReadList();
  }
  FollowTableWhenNeeded();
}

void registry_follower::HandleSuccess(read_state& state) {
  if (state.failures > 0) handlers_.on_platform_state(state.name, "");
  state.failures = 0;
  state.has_lost_history = false;
}

void registry_follower::HandleFailure(read_state& state, const failure& why,
                                      void (registry_follower::*next)()) {
  // Lost history is not an outage: the table is read again at once.
  if (why.kind == failure_kind::kNotFound && !state.has_lost_history) {
    state.has_lost_history = true;
    return (this->*next)();
  }
  if (state.failures == 0) handlers_.on_platform_state(state.name, why.text);
  const duration wait =
      ComputeBackoffDelay(times_.backoff, state.failures++, seed_);
  RunAfter(state, wait, [this, next] { (this->*next)(); });
}

void registry_follower::Recheck(read_state& state, std::function<void()> next) {
  const bool is_at_start = times_.start_recheck_interval * state.rechecks++ <
                           times_.recheck_interval;
  RunAfter(
      state,
      is_at_start ? times_.start_recheck_interval : times_.recheck_interval,
      std::move(next));
}

void registry_follower::RunAfter(read_state& state, duration wait,
                                 std::function<void()> next) {
  state.timer.expires_after(wait);
  state.timer.async_wait([next = std::move(next),
                          alive = std::weak_ptr(alive_)](error_code error) {
    if (!error && !alive.expired()) next();
  });
}

}  // namespace radishyard
