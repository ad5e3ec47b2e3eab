// Implements the steps of a claim and the choice of the balancer that tries.
#include "direct/start_limit/start_claim.h"

#include "direct/upstream/flow_mark.h"
#include "roster/rendezvous.h"

namespace radishyard {

std::string ToClaimName(const start_incarnation& of) {
  return ToHex(of.upstream) + "-" + std::to_string(of.started_unix_ms);
}

claim_step BeginClaimStep(start_claim& claim, time_point now) {
  if (now < claim.retry_at) return claim_step::kNone;
  if (claim.phase == claim_phase::kNone) {
    claim.phase = claim_phase::kCreating;
    return claim_step::kCreate;
  }
  if (claim.phase != claim_phase::kUncertain) return claim_step::kNone;
  claim.phase = claim_phase::kLookingUp;
  return claim_step::kLookUp;
}

void ApplyClaimResult(start_claim& claim, claim_result result, time_point now) {
  const bool is_lookup = claim.phase == claim_phase::kLookingUp;
  claim.retry_at = now + kClaimRetryInterval;
  switch (result) {
    case claim_result::kCreated:
      claim.phase = claim_phase::kHeld;
      break;
    case claim_result::kOthers:
      claim.phase = claim_phase::kLost;
      break;
    case claim_result::kExists:
      claim.phase =
          claim.may_exist ? claim_phase::kUncertain : claim_phase::kLost;
      claim.retry_at = now;
      break;
    case claim_result::kAbsent:
      claim.phase = claim_phase::kNone;
      break;
    case claim_result::kRefused:
      claim.phase = is_lookup ? claim_phase::kUncertain : claim_phase::kNone;
      break;
    case claim_result::kUnknown:
      claim.may_exist = true;
      claim.phase = claim_phase::kUncertain;
      break;
  }
}

std::vector<endpoint> RankGranters(const start_incarnation& of,
                                   const std::vector<view_member>& members) {
  std::vector<rendezvous_candidate> candidates;
  candidates.reserve(members.size());
  for (const view_member& member : members)
    candidates.push_back({NameHash(ToString(member.peer)),
                          static_cast<double>(member.capacity_millicores)});
  std::vector<endpoint> ranked;
  for (const size_t i : RankByRendezvous(NameHash(ToClaimName(of)), candidates))
    ranked.push_back(members[i].peer);
  return ranked;
}

std::vector<std::string> FindOrphans(observed_claims& observed,
                                     const std::vector<std::string>& names,
                                     time_point now) {
  observed_claims present;
  std::vector<std::string> orphans;
  for (const std::string& name : names) {
    if (present.size() >= kMaxObservedClaims) break;
    const auto known = observed.find(name);
    const time_point found_at = known == observed.end() ? now : known->second;
    present.emplace(name, found_at);
    if (now - found_at >= kOrphanAge) orphans.push_back(name);
  }
  observed = std::move(present);
  return orphans;
}

}  // namespace radishyard
