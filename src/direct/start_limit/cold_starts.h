// The limit of openings on cold upstreams as one balancer applies it: which
// upstreams are cold and limited, the claims and grants of each, and the
// decisions on openings, requests and replies.
//
// `now` is on a clock that counts suspensions of the VM, unless it is called
// `steady_now`.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "direct/start_limit/grant_message.h"
#include "direct/start_limit/start_claim.h"
#include "direct/start_limit/start_limit.h"
#include "direct/upstream/routing_table.h"
#include "direct/upstream/upstream_directory.h"

namespace radishyard {

/// \brief An upstream of a service with a limit. Warm ones are kept, so that
/// their cold start is not taken to begin anew.
struct limited_upstream {
  start_incarnation of;
  std::string domain;
  start_limit limit;
  duration cold_start{};  ///< Of the service; see service_start_rate.
  /// Upper bound of the end of the cold start.
  time_point cold_until{};
  start_requester requester;
  start_claim claim;
  start_granter granter;
};

/// \brief A claim held by this process and when its object is deleted.
struct claim_to_delete {
  std::string name;
  time_point at{};
  auto operator<=>(const claim_to_delete&) const = default;
};

/// \brief Counts since the start of the process.
struct start_counters {
  uint64_t claims_won = 0;
  uint64_t claims_lost = 0;
  uint64_t claims_refused = 0;  ///< Calls that the store has not carried out.
  uint64_t claims_unknown = 0;  ///< Calls without a reply.
  uint64_t claims_deleted = 0;  ///< Own ones and orphans.
  uint64_t requests_sent = 0;
  uint64_t requests_received = 0;
  uint64_t openings_granted = 0;   ///< By this balancer, also to itself.
  uint64_t openings_received = 0;  ///< Granted by others.
  uint64_t openings_placed = 0;    ///< Placed under a grant.
  auto operator<=>(const start_counters&) const = default;
};

/// \brief State of the limit at one balancer.
///
/// Invariant after UpdateColdStarts(): `upstreams` contains each upstream of
/// the directory whose service has an entry in `limits`, and no other.
struct cold_starts {
  start_bounds bounds;
  std::map<std::string, start_limit> limits;  ///< By service.
  std::map<upstream_id, limited_upstream> upstreams;
  /// Id of the last request. It starts at a random number, see grant_request.
  uint64_t last_request_id = 0;
  std::vector<claim_to_delete> held_claims;
  start_counters counters;
};

/// \brief Follows the table and the directory. To be called after each change
/// of one of them; until then, no opening is placed on a new upstream of a
/// service with a limit.
void UpdateColdStarts(cold_starts& starts, const routing_table& table,
                      const upstream_directory& directory,
                      time_point steady_now, time_point now);

/// \brief True if an opening may be placed on `upstream`: its service has no
/// limit, or it is warm, or this balancer holds a grant or may grant itself
/// one.
bool CanPlaceOn(const cold_starts& starts, const known_upstream& upstream,
                time_point now);

/// \brief True if a grant for `upstream` may arrive soon.
bool ExpectsGrant(const cold_starts& starts, const known_upstream& upstream,
                  time_point now);

/// \brief Uses a grant for an opening that is placed on `upstream`.
/// \returns false if the opening must not be placed there.
bool UseGrant(cold_starts& starts, const known_upstream& upstream,
              time_point now);

/// \brief Records that an opening was to be placed on `upstream` and found no
/// grant.
void RecordUnmet(cold_starts& starts, upstream_id upstream, time_point now);

/// \brief Makes a request for the grants that `upstream` lacks.
/// \returns nothing if none is due; see RequestGrant().
std::optional<grant_request> RequestGrant(cold_starts& starts,
                                          upstream_id upstream, time_point now);

/// \brief Answers the request of another balancer.
grant_reply AnswerRequest(cold_starts& starts, const grant_request& request,
                          time_point now);

/// \brief Applies a reply to a request of this balancer, also what it says of
/// the cold time: a balancer that has known the upstream for longer knows a
/// lower bound of it.
void ApplyReply(cold_starts& starts, const grant_reply& reply, time_point now);

/// \brief Returns the upstream if it is cold and limited and has not restarted,
/// or null.
limited_upstream* FindCold(cold_starts& starts, const start_incarnation& of,
                           time_point now);

/// \brief Records the result of a call for the claim of `of`.
void ApplyClaimResult(cold_starts& starts, const start_incarnation& of,
                      claim_result result, time_point now);

/// \brief Removes the claims whose objects are due for deletion.
/// \returns their names.
std::vector<std::string> TakeDueDeletions(cold_starts& starts, time_point now);

/// \brief Ends all grants held here, after a suspension of the VM.
void EndGrants(cold_starts& starts);

}  // namespace radishyard
