// Checks at an interval whether packets have ceased to arrive.
#include "direct/idle_stop.h"

#include "observe/log.h"

namespace radishyard {
namespace {

using clock = std::chrono::steady_clock;

/// A stopping balancer exits this long before the grace period ends.
constexpr duration kStopMargin = 700ms;
/// Least time from Stop() to exit: routers need about a second to take a
/// balancer out of their rotation.
constexpr duration kMinStopTime = 1300ms;
/// A stopping balancer that receives no packet for this long is no longer used.
constexpr duration kIdleTimeBeforeStop = 500ms;
constexpr duration kStopCheckInterval = 100ms;

}  // namespace

void idle_stop::Begin(const std::string& name, duration grace) {
  if (has_begun_) return;
  has_begun_ = true;
  name_ = name;
  Log(severity::kInfo, "stopping", {{"name", name_}});
  const time_point now = clock::now();
  earliest_ = now + kMinStopTime;
  latest_ = now + grace - kStopMargin;
  Check();
}

void idle_stop::Check() {
  const time_point now = clock::now();
  const bool is_idle = now - last_packet_at_ >= kIdleTimeBeforeStop;
  if (now >= latest_ || (now >= earliest_ && is_idle)) {
    Log(severity::kInfo, "stopped",
        {{"name", name_}, {"quiet", is_idle ? "yes" : "no"}});
    io_.stop();
    return;
  }
  timer_.expires_after(kStopCheckInterval);
  timer_.async_wait([this](error_code error) {
    if (!error) Check();
  });
}

}  // namespace radishyard
