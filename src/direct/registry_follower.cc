// The two readings and their retries.
#include "direct/registry_follower.h"

#include <utility>

namespace radishyard {
namespace {

using clock = std::chrono::steady_clock;

/// Intervals vary by this part, so that balancers do not read in step.
constexpr int64_t kJitterPart = 8;

}  // namespace

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
  ReadTable();
  List();
}

void registry_follower::ListNow() {
  list_.timer.cancel();
  List();
}

void registry_follower::List() {
  if (list_.is_waiting) return;
  if (handlers_.needs_list && !handlers_.needs_list())
    return After(list_, times_.review, [this] { List(); });
  list_.is_waiting = true;
  const time_point asked_at = clock::now();
  source_.ListUpstreams(
      [this, asked_at, alive = std::weak_ptr(alive_)](
          const std::optional<upstream_list>& list, const failure& why) {
        if (alive.expired()) return;
        list_.is_waiting = false;
        if (!list) return Fail(list_, why, &registry_follower::List);
        Succeed(list_);
        listed_at_ = clock::now();
        handlers_.on_list(*list, asked_at);
        const duration jitter =
            times_.list_interval / kJitterPart *
            static_cast<int64_t>(++seed_ * 0x9E3779B97F4A7C15 >> 56) / 256;
        After(list_, times_.list_interval - jitter, [this] { List(); });
      });
}

bool registry_follower::FollowsTable(time_point now) const {
  return is_watching_ && table_.failures == 0 && list_.failures == 0 &&
         now - listed_at_ <= times_.list_interval + kAnswerMargin;
}

void registry_follower::ReadTable() {
  source_.ReadTable(
      [this, alive = std::weak_ptr(alive_)](
          const std::optional<table_update>& read, const failure& why) {
        if (!alive.expired()) TakeTable(read, why);
      });
}

void registry_follower::NextTable(uint64_t revision) {
  if (!handlers_.needs_table || handlers_.needs_table())
    return WatchTable(revision);
  After(table_, times_.review, [this, revision] { NextTable(revision); });
}

void registry_follower::WatchTable(uint64_t revision) {
  is_watching_ = true;
  source_.WatchTable(
      revision, times_.watch_wait,
      [this, alive = std::weak_ptr(alive_)](
          const std::optional<table_update>& read, const failure& why) {
        if (alive.expired()) return;
        is_watching_ = false;
        TakeTable(read, why);
      });
}

void registry_follower::TakeTable(const std::optional<table_update>& read,
                                  const failure& why) {
  if (!read) return Fail(table_, why, &registry_follower::ReadTable);
  Succeed(table_);
  if (read->table) handlers_.on_table(*read->table);
  NextTable(read->revision);
}

void registry_follower::Succeed(reading& what) {
  if (what.failures > 0) handlers_.on_state(what.name, "");
  what.failures = 0;
  what.lost_history = false;
}

void registry_follower::Fail(reading& what, const failure& why,
                             void (registry_follower::*next)()) {
  // A lost history is no outage: reading anew settles it at once.
  if (why.kind == failure_kind::kNotFound && !what.lost_history) {
    what.lost_history = true;
    return (this->*next)();
  }
  if (what.failures == 0) handlers_.on_state(what.name, why.text);
  const duration wait =
      ComputeBackoffDelay(times_.backoff, what.failures++, seed_);
  After(what, wait, [this, next] { (this->*next)(); });
}

void registry_follower::After(reading& what, duration wait,
                              std::function<void()> next) {
  what.timer.expires_after(wait);
  what.timer.async_wait([next = std::move(next),
                         alive = std::weak_ptr(alive_)](error_code error) {
    if (!error && !alive.expired()) next();
  });
}

}  // namespace radishyard
