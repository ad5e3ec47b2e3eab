// The limit of openings on a cold upstream, shared by all balancers. One
// balancer, the granter, grants openings; the others place an opening only with
// a grant. It addresses the load after many upstreams have started: each
// balancer by itself would send its share to the upstream that looks idle, and
// at a rate of 5 a second and 78 balancers the share of one is less than one
// flow.
//
// All instants are on a clock that counts suspensions of the VM. Each may have
// been read long before the function is called: the process may have been
// suspended in between.
#pragma once
#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "direct/start_limit/grant_message.h"
#include "lease/lease_times.h"

namespace radishyard {

/// \brief How the limit in one second follows from a service's rate.
struct start_bounds {
  double overage = 1;  ///< Factor of the rate.
  double slack = 0;    ///< Openings added to it.
  auto operator<=>(const start_bounds&) const = default;
};

/// \brief The limit of one upstream.
struct start_limit {
  /// Most openings in any window of one second; 0 if there is no limit.
  uint32_t openings_per_second = 0;
  auto operator<=>(const start_limit&) const = default;
};

/// \brief The longest time on a fast clock that `real_time` can appear as.
constexpr duration OnFastClock(duration real_time) {
  return real_time + real_time * kMaxClockRateErrorPpm / kPartsPerMillion + 1ns;
}

/// \brief Computes the limit of a service. A rate so low that no opening would
/// be allowed at all gives a limit of one opening.
/// \param openings_per_1000s rate of the service; 0 if it states none.
start_limit MakeStartLimit(uint32_t openings_per_1000s,
                           const start_bounds& bounds);

/// \brief A grant is valid this long after its request was sent. A caller
/// retransmits an opening that was dropped for want of a grant after 200 ms.
inline constexpr duration kGrantLifetime = 300ms;
/// \brief An opening reaches its upstream at most this long after it was
/// placed.
inline constexpr duration kOpeningTransit = kMaxPacketLifetime;

/// \brief The openings that arrive within one second were granted within this
/// time on the granter's clock: a second and the transit of openings, by a fast
/// clock, and the lifetime of a grant on the slow clock of its holder.
inline constexpr duration kGrantWindow =
    OnFastClock(1s + kOpeningTransit) + kGrantLifetime +
    kGrantLifetime * kMaxRelativeDriftPpm / kPartsPerMillion;

/// \brief Grants closer together are counted as of the last one, so that the
/// memory for a window is bounded.
inline constexpr duration kGrantResolution = 1ms;

/// \brief Openings granted within kGrantResolution.
struct granted_openings {
  time_point since{};  ///< Of the first of them.
  time_point at{};     ///< Of the last of them.
  uint32_t openings = 0;
  auto operator<=>(const granted_openings&) const = default;
};

/// \brief State of the granter of one incarnation. Invariant: `granted` is in
/// order of time, spans at most kGrantWindow after each call, and the `since`
/// of two elements are at least kGrantResolution apart.
struct start_granter {
  std::deque<granted_openings> granted;
  auto operator<=>(const start_granter&) const = default;
};

/// \brief The openings that can be granted at `now`.
uint32_t AvailableOpenings(const start_granter& granter,
                           const start_limit& limit, time_point now);

/// \brief Grants at most `openings` openings.
/// \returns the openings granted; 0 if the limit is used up.
uint32_t MakeGrant(start_granter& granter, const start_limit& limit,
                   uint32_t openings, time_point now);

/// \brief Most openings that one request asks for.
inline constexpr uint32_t kMaxRequestedOpenings = 1024;
/// \brief Most grants held for one upstream.
inline constexpr size_t kMaxHeldGrants = 4;
/// \brief A request without a reply for this long is given up.
inline constexpr duration kGrantReplyTimeout = 100ms;
/// \brief Pause of requests after a reply that granted nothing. Openings that
/// need the upstream are refused meanwhile, which costs no message.
inline constexpr duration kDenialPause = 100ms;
/// \brief Number of balancers that are asked in turn, best ranked first, for
/// the grants of one upstream.
inline constexpr uint32_t kMaxGranterRank = 3;

/// \brief A grant and what is left of it.
struct held_grant {
  uint32_t openings = 0;
  time_point valid_until{};
  auto operator<=>(const held_grant&) const = default;
};

/// \brief A request that was sent and has no reply yet.
struct pending_grant {
  uint64_t id = 0;
  uint32_t openings = 0;
  time_point sent_at{};
  auto operator<=>(const pending_grant&) const = default;
};

/// \brief State of a balancer that needs grants for one incarnation.
struct start_requester {
  std::vector<held_grant> grants;  ///< At most kMaxHeldGrants.
  std::optional<pending_grant> pending;
  uint32_t unmet = 0;  ///< Openings that found no grant since the last request.
  uint32_t rank = 0;   ///< Rank of the balancer to ask, below kMaxGranterRank.
  time_point paused_until{};
  auto operator<=>(const start_requester&) const = default;
};

/// \brief True if a grant is held that is valid at `now`.
bool CanPlaceOn(const start_requester& requester, time_point now);

/// \brief Uses a valid grant for one opening, the one that ends first.
/// \returns false if there is none.
bool UseGrant(start_requester& requester, time_point now);

/// \brief True while a request is waiting for its reply, or one may be sent.
bool ExpectsGrant(const start_requester& requester, time_point now);

/// \brief Records an opening that found no grant. It counts only if a grant is
/// expected, because otherwise the opening is refused.
/// \returns false if no grant is expected.
bool RecordUnmet(start_requester& requester, time_point now);

/// \brief Makes a request for the openings that found no grant. `sender` is
/// left to the caller. A request that went unanswered for kGrantReplyTimeout is
/// replaced, and the next balancer in rank is asked.
/// \param id must never have been used before.
/// \returns nothing if no opening needs a grant, a reply is awaited, or
/// requests are paused.
std::optional<grant_request> RequestGrant(start_requester& requester,
                                          const start_incarnation& of,
                                          uint64_t id, time_point now);

/// \brief Takes the grant of a reply. A reply to any but the pending request is
/// ignored: a copy, or one that came after the request was given up. If the
/// sender is no granter, the openings are left for a request to the next one.
/// \returns the openings granted.
uint32_t ApplyReply(start_requester& requester, const grant_reply& reply,
                    time_point now);

/// \brief Ends all grants and gives up the pending request, after a suspension
/// of the VM.
void EndGrants(start_requester& requester);

}  // namespace radishyard
