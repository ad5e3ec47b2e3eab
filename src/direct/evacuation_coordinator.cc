// Connects the decisions on evacuations to the registry and to other balancers.
#include "direct/evacuation_coordinator.h"

#include <chrono>
#include <utility>

#include "direct/forward/decision_log.h"
#include "direct/view/registry_follower.h"
#include "observe/log.h"

namespace radishyard {
namespace {

using clock = std::chrono::steady_clock;

}  // namespace

evacuation_coordinator::evacuation_coordinator(
    asio::io_context& io, registry& source, const evacuation_options& options,
    forwarding_state& state, peer_exchange& peers,
    evacuation_callbacks callbacks)
    : state_(state),
      peers_(peers),
      times_(MakeEvacuationTimes(options.bound, kRegistryTiming,
                                 kEvacuationRecheckInterval)),
      callbacks_(std::move(callbacks)),
      follower_(io, source, times_.read_interval, MakeHandlers(),
                options.seed) {
  state_.honours_evacuations = true;
}

evacuation_handlers evacuation_coordinator::MakeHandlers() {
  return {.on_list = [this](const evacuation_list& list,
                            time_point at) { HandleList(list, at); },
          .on_platform_state = callbacks_.on_platform_state,
          .needs_list = [this] { return NeedsList(clock::now()); },
          .is_reader = [this] { return peers_.IsRegistryReader(clock::now()); },
          .has_list = [this] { return HasList(); }};
}

bool evacuation_coordinator::NeedsList(time_point now) const {
  if (!HasList()) return !callbacks_.awaits_peers();
  if (!times_.is_relayed || peers_.IsRegistryReader(now)) return true;
  return now - state_.evacuations.confirmed_at > times_.confirmation_timeout;
}

void evacuation_coordinator::HandleList(evacuation_list list,
                                        time_point read_at) {
  const bool is_complete = LimitDomains(list, ListDomains(state_.directory));
  const uint64_t domain_count = list.domains.size();
  const bool is_changed = ApplyEvacuations(state_, std::move(list), read_at) ==
                          evacuation_effect::kChanged;
  if (is_changed) {
    // Logged once for each change: the same list is read every few seconds.
    if (!is_complete)
      Log(severity::kWarn, "evacuations_limited", {{"domains", domain_count}});
    LogEvacuations("platform", state_.evacuations);
    peers_.ReportNow();
  }
  callbacks_.on_read();
}

}  // namespace radishyard
