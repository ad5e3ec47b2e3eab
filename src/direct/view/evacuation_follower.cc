// Every read lists all requests: there is no history that the platform could
// lose, and a lost or late answer delays a change by one read.
#include "direct/view/evacuation_follower.h"

#include <utility>

#include "observe/guard.h"

namespace radishyard {
namespace {

using clock = std::chrono::steady_clock;

}  // namespace

evacuation_follower::evacuation_follower(asio::io_context& io, registry& source,
                                         duration interval,
                                         evacuation_handlers handlers,
                                         uint64_t seed)
    : source_(source),
      interval_(interval),
      handlers_(std::move(handlers)),
      seed_(seed),
      timer_(io) {}

void evacuation_follower::Start() { ReadWhenNeeded(); }

void evacuation_follower::ReadWhenNeeded() {
  if (!handlers_.needs_list())
    return RunAfter(handlers_.has_list() ? kEvacuationRecheckInterval
                                         : kEvacuationStartInterval);
  source_.ListEvacuations(
      [this, requested_at = clock::now(), alive = std::weak_ptr(alive_)](
          const std::optional<evacuation_list>& list, const failure& why) {
        if (!alive.expired()) HandleResult(list, why, requested_at);
      });
}

void evacuation_follower::HandleResult(
    const std::optional<evacuation_list>& list, const failure& why,
    time_point requested_at) {
  if (!list) {
    if (failures_ == 0) handlers_.on_platform_state(why.text);
    const backoff_policy& policy = handlers_.is_reader()
                                       ? kEvacuationReaderBackoff
                                       : kEvacuationMemberBackoff;
    return RunAfter(ComputeBackoffDelay(policy, failures_++, seed_));
  }
  if (failures_ > 0) handlers_.on_platform_state("");
  failures_ = 0;
  // A list is applied whole or repeated by the next read.
  RunGuarded("evacuations", [&] { handlers_.on_list(*list, requested_at); });
  RunAfter(interval_);
}

void evacuation_follower::RunAfter(duration wait) {
  timer_.expires_after(wait);
  timer_.async_wait([this, alive = std::weak_ptr(alive_)](error_code error) {
    if (!error && !alive.expired()) ReadWhenNeeded();
  });
}

}  // namespace radishyard
