// The decision on each packet of direct server return: to which upstream, or
// why not.
#pragma once
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "direct/direct_packet.h"
#include "direct/flow_tracker.h"
#include "direct/list_history.h"
#include "direct/routing_table.h"
#include "direct/upstream_directory.h"

namespace radishyard {

/// \brief What to do with a packet.
enum class verdict_action : uint8_t {
  kForward,
  kRefuse,  ///< Reset: the flow does not open, or its upstream is lost.
  kDrop,    ///< Say nothing; the caller sends again.
};

/// \brief What decided.
enum class verdict_reason : uint8_t {
  kPlaced,                ///< New flow on an upstream.
  kForwardedByMark,       ///< Open flow, by its mark.
  kNoTable,               ///< No table or no upstreams read yet.
  kUnknownAddress,        ///< The table publishes no such address.
  kNoUpstream,            ///< The service has no ready upstream.
  kUnknownMark,           ///< The mark names no upstream known here.
  kUnresponsiveUpstream,  ///< The flow's upstream no longer answers.
};

/// \brief Number of values of verdict_reason.
inline constexpr size_t kVerdictReasonCount = 7;

/// \brief The reason as logs and metrics spell it.
std::string_view ToString(verdict_reason reason);

/// \brief The decision on one packet. `upstream`, `to` and `mark` are valid
/// for kForward.
struct verdict {
  verdict_action action = verdict_action::kDrop;
  verdict_reason reason = verdict_reason::kNoTable;
  upstream_id upstream = 0;
  endpoint to;
  uint32_t mark = 0;  ///< What the packet has to carry.
  /// When this balancer first sent on data that the caller repeats now; nothing
  /// for new data.
  std::optional<time_point> first_sent_at;
  auto operator<=>(const verdict&) const = default;
};

/// \brief Everything that the decisions of one balancer rest on.
struct forwarding_state {
  std::string domain;  ///< Failure domain of this balancer.
  routing_table table;
  upstream_directory directory;
  upstream_list applied_list;  ///< The last list taken.
  uint64_t digest = 0;         ///< Of `applied_list`.
  list_history history;        ///< Of `applied_list`.
  flow_tracker tracker;
};

/// \brief Decides on a packet that arrived at `now`.
verdict RoutePacket(forwarding_state& state, const direct_packet& packet,
                    time_point now);

/// \brief Takes a version of the table unless it is older than the present one.
/// \returns whether it was taken.
bool ApplyTable(forwarding_state& state, routing_table table);

/// \brief Takes a reading of the registry; see UpdateDirectory().
std::vector<directory_change> ApplyUpstreamList(forwarding_state& state,
                                                const upstream_list& list,
                                                time_point read_at,
                                                time_point now);

/// \brief A belief that has changed.
struct health_change {
  upstream_id upstream = 0;
  health_state before = health_state::kHealthy;
  health_state after = health_state::kHealthy;
  auto operator<=>(const health_change&) const = default;
};

/// \brief Compares the beliefs with those of the last call.
std::vector<health_change> UpdateHealthStates(forwarding_state& state,
                                              time_point now);

/// \brief True once packets can be placed: table and upstreams are known.
bool IsReady(const forwarding_state& state);

}  // namespace radishyard
