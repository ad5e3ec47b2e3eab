// The right to grant openings on one incarnation of a cold upstream. It is
// claimed by creating an object in the platform's store under a name that only
// this incarnation has. The store lets one balancer succeed, whatever each of
// them believes of the others.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "direct/start_limit/grant_message.h"
#include "direct/upstream/view_member.h"

namespace radishyard {

/// \brief Where a claim stands at this balancer.
enum class claim_phase : uint8_t {
  kNone,       ///< Not tried, or certainly not created.
  kCreating,   ///< The object is being created.
  kUncertain,  ///< The reply was lost, so the object has to be looked up.
  kLookingUp,
  kHeld,
  kLost,  ///< Another balancer holds it, or an earlier run of this one.
};

/// \brief A claim at this balancer.
struct start_claim {
  claim_phase phase = claim_phase::kNone;
  /// The reply to a creation was lost: the object may be this balancer's.
  bool may_exist = false;
  time_point retry_at{};
  auto operator<=>(const start_claim&) const = default;
};

/// \brief What a creation or a lookup has shown.
enum class claim_result : uint8_t {
  kCreated,  ///< This process has created the object.
  kExists,   ///< The object exists; whose it is, the reply does not say.
  kOthers,   ///< The object exists and was created by another process.
  kAbsent,   ///< The object does not exist.
  kRefused,  ///< The store has certainly not carried out the call.
  kUnknown,  ///< No reply.
};

/// \brief Time between two attempts for one claim.
inline constexpr duration kClaimRetryInterval = 200ms;

/// \brief The object's name: the upstream's id and its start time.
std::string ToClaimName(const start_incarnation& of);

/// \brief The next call for a claim.
enum class claim_step : uint8_t { kNone, kCreate, kLookUp };

/// \brief Selects the next call and records that it is in progress.
claim_step BeginClaimStep(start_claim& claim, time_point now);

/// \brief Records the result of the call in progress.
void ApplyClaimResult(start_claim& claim, claim_result result, time_point now);

/// \brief Ranks the members of the upstream's failure domain by rendezvous
/// hashing, weighted by capacity. The first one claims; the others do so if
/// they are asked for a grant.
/// \returns their peer addresses, the best first.
std::vector<endpoint> RankGranters(const start_incarnation& of,
                                   const std::vector<view_member>& members);

/// \brief The holder of a claim deletes it this long after the upstream is
/// warm, so that a balancer that learns of the upstream late does not create it
/// anew.
inline constexpr duration kClaimRetention = 10s;
/// \brief Longest cold start; longer values in the registry are cut to it.
inline constexpr duration kMaxColdTime = 60s;
/// \brief Any balancer deletes a claim that it has known for this long. A claim
/// is created after its upstream has registered, so the upstream is warm by
/// then, also by a fast clock.
inline constexpr duration kOrphanAge = 2 * kMaxColdTime;
/// \brief Most names in observed_claims. The names beyond are observed once
/// earlier ones have been deleted.
inline constexpr size_t kMaxObservedClaims = 4096;

/// \brief Claims found in the store, by name, with the time at which each was
/// first found. At most kMaxObservedClaims.
using observed_claims = std::map<std::string, time_point>;

/// \brief Records the names of all claims that the store has at present.
/// \returns the names of those to delete.
std::vector<std::string> FindOrphans(observed_claims& observed,
                                     const std::vector<std::string>& names,
                                     time_point now);

}  // namespace radishyard
