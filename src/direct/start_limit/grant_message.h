// Messages with which balancers request and grant openings on a cold upstream;
// see start_limit.h. peer/peer_codec encodes them.
#pragma once
#include <compare>
#include <cstdint>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief One run of an upstream: a restart under the same id is another one.
struct start_incarnation {
  uint64_t upstream = 0;
  uint64_t started_unix_ms = 0;
  auto operator<=>(const start_incarnation&) const = default;
};

/// \brief Requests a grant of `openings` openings.
struct grant_request {
  endpoint sender;
  start_incarnation of;
  /// Never used twice, also not by a process that runs later at the same
  /// address: a reply to an earlier process must not match.
  uint64_t id = 0;
  uint32_t openings = 1;
  auto operator<=>(const grant_request&) const = default;
};

/// \brief Whether the sender of a reply may grant.
enum class granter_state : uint8_t {
  kNone,      ///< It has no claim and will get none.
  kClaiming,  ///< It is about to claim; the request may be repeated.
  kHolds,
};

/// \brief Value of `cold_remaining_ms` if the sender does not know the
/// upstream.
inline constexpr uint32_t kUnknownColdTime = UINT32_MAX;

/// \brief Replies to a grant_request.
struct grant_reply {
  start_incarnation of;
  uint64_t id = 0;        ///< Of the request.
  uint8_t granter = 0;    ///< Value of granter_state.
  uint32_t openings = 0;  ///< Openings granted; 0 if none are left at present.
  /// Upper bound of the time until the upstream is warm, as the sender knows
  /// it.
  uint32_t cold_remaining_ms = kUnknownColdTime;
  auto operator<=>(const grant_reply&) const = default;
};

}  // namespace radishyard
