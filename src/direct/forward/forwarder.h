// Decides what to do with each packet of a caller under direct server return:
// to which upstream it is forwarded, or why it is refused or dropped.
#pragma once
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "direct/evacuation/evacuation.h"
#include "direct/forward/flow_tracker.h"
#include "direct/load/admission.h"
#include "direct/load/admission_report.h"
#include "direct/load/service_load.h"
#include "direct/load/spill_over.h"
#include "direct/start_limit/cold_starts.h"
#include "direct/upstream/direct_packet.h"
#include "direct/upstream/list_history.h"
#include "direct/upstream/routing_table.h"
#include "direct/upstream/upstream_directory.h"

namespace radishyard {

/// \brief What to do with a packet.
enum class verdict_action : uint8_t {
  kForward,  ///< Send the packet to `verdict::to`.
  kRefuse,   ///< Send the caller a reset: the flow cannot open, or its upstream
             ///< is unresponsive.
  kDrop,     ///< Send nothing; the caller retransmits the packet.
};

/// \brief Why a packet gets its action.
enum class verdict_reason : uint8_t {
  kPlaced,           ///< The opening was placed on an upstream.
  kForwardedByMark,  ///< The mark names the upstream of the open flow.
  kNotReady,         ///< Table or upstream list missing; see IsReady().
  kUnknownAddress,   ///< The table publishes no such address.
  kNoUpstream,       ///< No upstream of the service takes new flows.
  kUnknownMark,      ///< No upstream of the directory has the mark.
  /// The flow's upstream is unresponsive, as IsSilenceProven() says, and the
  /// caller may retry its request on another flow.
  kUnresponsiveUpstream,
  /// All upstreams of the service that could take new flows are in evacuated
  /// domains.
  kEvacuated,
  kDelayedByAdmission,  ///< Overload: left to the caller's retransmission.
  kRefusedByAdmission,  ///< Overload: the opening was refused.
  /// All upstreams of the service that take new flows are cold, and none has a
  /// grant; see start_limit.h. Dropped while a grant is expected, so that the
  /// caller's retransmission finds it, otherwise refused.
  kColdUpstream,
};

/// \brief Size of an array that is indexed by verdict_reason.
inline constexpr size_t kVerdictReasonCount = 11;

/// \brief The name of the reason in logs and metrics.
std::string_view ToName(verdict_reason reason);

/// \brief The decision on one packet. The fields after `reason` are valid only
/// for kForward.
struct verdict {
  verdict_action action = verdict_action::kDrop;
  verdict_reason reason = verdict_reason::kNotReady;
  upstream_id upstream = 0;
  endpoint to;        ///< Address of the upstream.
  uint32_t mark = 0;  ///< Mark that the forwarded packet must carry.
  /// For data that the caller retransmits: when this balancer first forwarded
  /// it. Nothing for new data.
  std::optional<time_point> first_sent_at;
  /// For an opening: the cold upstream for which a grant should be requested,
  /// whatever the action; 0 if there is none.
  upstream_id wanted_start = 0;
  auto operator<=>(const verdict&) const = default;
};

/// \brief Notices of silent upstreams, counted since the start; see silence.h.
struct silence_counters {
  uint64_t sent = 0;          ///< Notices made here.
  uint64_t received = 0;      ///< Upstreams that others called silent.
  uint64_t contradicted = 0;  ///< Of these, alive by what is known here.
  /// Packets forwarded to upstreams that are silent here, but not proven to be;
  /// their callers may retry.
  uint64_t unproven = 0;
  auto operator<=>(const silence_counters&) const = default;
};

/// \brief The state on which a balancer bases its forwarding decisions.
struct forwarding_state {
  std::string domain;  ///< Failure domain of this balancer.
  routing_table table;
  upstream_directory directory;  ///< State and statistics of each upstream.
  upstream_list applied_list;    ///< The upstream list last applied.
  uint64_t digest = 0;           ///< ListDigest() of `applied_list`.
  list_history history;          ///< Latest changes of the upstream list.
  flow_tracker tracker;
  /// Other balancers of the failure domain are alive. They are asked before a
  /// flow is reset.
  bool has_peers = false;
  /// The evacuated domains must be known before openings are placed.
  bool honours_evacuations = false;
  evacuation_set evacuations;
  silence_counters silences;
  load_view loads;  ///< Pooled loads, of any age; see kMaxLoadAge.
  spill_over_state spill;
  /// Thresholds of admission; empty if the part is not enabled, and then every
  /// opening is placed.
  service_admissions admissions;
  admission_report admission_decisions;
  cold_starts starts;  ///< Limit of openings on cold upstreams.
};

/// \brief Decides what to do with a packet that arrived at `now`, and updates
/// `state.tracker`.
/// \param start_now the same instant on a clock that counts suspensions of the
/// VM, for `state.starts`.
verdict RoutePacket(forwarding_state& state, const direct_packet& packet,
                    time_point now, time_point start_now);

/// \brief The same for a VM that has never been suspended.
inline verdict RoutePacket(forwarding_state& state, const direct_packet& packet,
                           time_point now) {
  return RoutePacket(state, packet, now, now);
}

/// \brief Replaces the routing table if `table` is a newer version of it.
/// \returns true if it was applied.
bool ApplyTable(forwarding_state& state, routing_table table);

/// \brief Applies an upstream list that was current at `read_at`; see
/// UpdateDirectory().
/// \returns the changes that it made to `state.directory`.
std::vector<directory_change> ApplyUpstreamList(forwarding_state& state,
                                                const upstream_list& list,
                                                time_point read_at,
                                                time_point now);

/// \brief Applies a list of evacuation requests that was current at `read_at`.
evacuation_effect ApplyEvacuations(forwarding_state& state,
                                   evacuation_list list, time_point read_at);

/// \brief Applies what another balancer has reported of evacuations. Has no
/// effect unless `state.honours_evacuations`.
evacuation_effect ApplyEvacuationReport(forwarding_state& state,
                                        const evacuation_report& report,
                                        time_point now);

/// \brief A change that UpdateHealthStates() found.
struct health_change {
  upstream_id upstream = 0;
  health_state before = health_state::kHealthy;
  health_state after = health_state::kHealthy;
  auto operator<=>(const health_change&) const = default;
};

/// \brief Assesses the health state of each upstream.
/// \returns the changes since the last call.
std::vector<health_change> UpdateHealthStates(forwarding_state& state,
                                              time_point now);

/// \brief Samples the load of this balancer, and updates `state.loads` and the
/// shares of the domains from the known sums. Does nothing while the part is
/// off. To be called several times a second.
/// \returns the services whose shares are to be logged; see UpdateShares().
std::vector<service_shares> UpdateLoads(forwarding_state& state,
                                        time_point now);

/// \brief True once a routing table, an upstream list and, if they are to be
/// honoured, the evacuation requests have been applied. Before, no opening can
/// be placed.
bool IsReady(const forwarding_state& state);

}  // namespace radishyard
