// Connects the decisions on cold starts to the store and to other balancers.
#include "direct/start_coordinator.h"

#include <random>
#include <utility>

#include "observe/log.h"

namespace radishyard {
namespace {

/// Members of the domain are known this long after the start. Before, each
/// balancer would take itself for the one that claims.
constexpr duration kMembershipSettleTime = 1s;
/// Most calls for claims at one time. After an outage all upstreams of a domain
/// may be cold at once, and the store may be slow.
constexpr size_t kMaxClaimCalls = 16;
/// Orphaned claims are looked for this often, by the readers of the domain.
constexpr duration kOrphanCheckInterval = 60s;

uint64_t RandomNumber() {
  std::random_device source;
  return uint64_t{source()} << 32 | source();
}

claim_result ToCreationResult(const std::optional<bool>& created,
                              const failure& why) {
  if (created) return claim_result::kCreated;
  if (why.kind == failure_kind::kConflict) return claim_result::kExists;
  return why.kind == failure_kind::kUnknown ? claim_result::kUnknown
                                            : claim_result::kRefused;
}

claim_result FindClaim(const std::vector<stored_claim>& claims,
                       const std::string& name, const std::string& owner) {
  for (const stored_claim& claim : claims)
    if (claim.name == name)
      return claim.owner == owner ? claim_result::kCreated
                                  : claim_result::kOthers;
  return claim_result::kAbsent;
}

}  // namespace

start_environment MakeStartEnvironment(peer_exchange& peers,
                                       const direct_settings& settings) {
  return {.self = PublicPeerAddress(settings),
          .domain = settings.domain,
          .send = [&peers](const peer_message& message,
                           const endpoint& to) { peers.SendTo(message, to); },
          .members =
              [&peers](const std::string& domain) {
                return peers.FindMembers(domain,
                                         std::chrono::steady_clock::now());
              },
          .is_reader =
              [&peers] {
                return peers.IsRegistryReader(std::chrono::steady_clock::now());
              }};
}

start_coordinator::start_coordinator(claim_store* claims,
                                     forwarding_state& state,
                                     const start_bounds& bounds,
                                     start_environment environment)
    : claims_(claims),
      state_(state),
      environment_(std::move(environment)),
      owner_(ToString(environment_.self) + "-" + ToHex(RandomNumber())),
      started_at_(environment_.clock()) {
  state_.starts.bounds = bounds;
  state_.starts.last_request_id = RandomNumber();
}

void start_coordinator::Update(time_point steady_now) {
  const time_point now = environment_.clock();
  cold_starts& starts = state_.starts;
  UpdateColdStarts(starts, state_.table, state_.directory, steady_now, now);
  DeleteClaims(TakeDueDeletions(starts, now));
  if (starts.limits.empty()) return;
  FindOrphanClaims(now);
  const bool is_settled = now - started_at_ >= kMembershipSettleTime;
  for (auto& [id, known] : starts.upstreams) {
    if (now >= known.cold_until) continue;
    // A claim that was begun is also finished by a balancer that was asked.
    const bool is_begun = known.claim != start_claim{};
    if (!is_begun && !is_settled) continue;
    const auto ranked = is_begun ? std::vector<endpoint>{} : RankMembers(known);
    const bool is_first =
        !ranked.empty() && ranked.front() == environment_.self;
    if (is_begun || is_first) TryClaim(known, now);
  }
}

std::vector<endpoint> start_coordinator::RankMembers(
    const limited_upstream& known) const {
  std::vector<view_member> members = environment_.members(known.domain);
  // No balancer of the upstream's domain is known, so those of this one serve.
  if (members.empty()) members = environment_.members(environment_.domain);
  return RankGranters(known.of, members);
}

void start_coordinator::RequestGrant(upstream_id upstream) {
  const time_point now = environment_.clock();
  RecordUnmet(state_.starts, upstream, now);
  const auto found = state_.starts.upstreams.find(upstream);
  if (found != state_.starts.upstreams.end()) SendRequest(found->second);
}

void start_coordinator::SendRequest(limited_upstream& known) {
  // The clock is read before the request is sent, because the grant's lifetime
  // counts from this instant.
  const time_point now = environment_.clock();
  auto request =
      radishyard::RequestGrant(state_.starts, known.of.upstream, now);
  if (!request) return;
  const std::vector<endpoint> ranked = RankMembers(known);
  if (ranked.empty()) return;
  const endpoint to = ranked[known.requester.rank % ranked.size()];
  // The reply timeout leads to the next attempt, when the claim may be held.
  if (to == environment_.self) return TryClaim(known, now);
  request->sender = environment_.self;
  ++state_.starts.counters.requests_sent;
  environment_.send(*request, to);
}

void start_coordinator::HandleRequest(const grant_request& request) {
  const time_point now = environment_.clock();
  if (limited_upstream* const known = FindCold(state_.starts, request.of, now))
    TryClaim(*known, now);
  environment_.send(AnswerRequest(state_.starts, request, now), request.sender);
}

void start_coordinator::HandleReply(const grant_reply& reply) {
  const time_point now = environment_.clock();
  ApplyReply(state_.starts, reply, now);
  // Openings that came after the request, or whose request met no granter.
  if (limited_upstream* const known = FindCold(state_.starts, reply.of, now))
    SendRequest(*known);
}

void start_coordinator::RecordSuspension() { EndGrants(state_.starts); }

void start_coordinator::TryClaim(limited_upstream& known, time_point now) {
  if (claims_ == nullptr || calls_in_flight_ >= kMaxClaimCalls) return;
  switch (BeginClaimStep(known.claim, now)) {
    case claim_step::kCreate:
      return CreateClaim(known.of);
    case claim_step::kLookUp:
      return LookUpClaim(known.of);
    case claim_step::kNone:
      return;
  }
}

void start_coordinator::CreateClaim(const start_incarnation& of) {
  ++calls_in_flight_;
  claims_->CreateClaim(
      {ToClaimName(of), owner_},
      [this, of, alive = std::weak_ptr(alive_)](
          const std::optional<bool>& created, const failure& why) {
        if (alive.expired()) return;
        --calls_in_flight_;
        ApplyResult(of, ToCreationResult(created, why), why.text);
      });
}

void start_coordinator::LookUpClaim(const start_incarnation& of) {
  ++calls_in_flight_;
  claims_->ListClaims([this, of, alive = std::weak_ptr(alive_)](
                          const std::optional<std::vector<stored_claim>>& list,
                          const failure& why) {
    if (alive.expired()) return;
    --calls_in_flight_;
    ApplyResult(of,
                list ? FindClaim(*list, ToClaimName(of), owner_)
                     : claim_result::kRefused,
                why.text);
  });
}

void start_coordinator::ApplyResult(const start_incarnation& of,
                                    claim_result result,
                                    const std::string& reason) {
  ApplyClaimResult(state_.starts, of, result, environment_.clock());
  const std::string name = ToClaimName(of);
  if (result == claim_result::kCreated)
    Log(severity::kInfo, "start_claim_won", {{"claim", name}});
  if (result == claim_result::kExists || result == claim_result::kOthers)
    Log(severity::kInfo, "start_claim_lost", {{"claim", name}});
  if (result == claim_result::kRefused || result == claim_result::kUnknown)
    Log(severity::kWarn, "start_claim_failed",
        {{"claim", name},
         {"may_exist", result == claim_result::kUnknown ? "yes" : "no"},
         {"reason", reason}});
}

void start_coordinator::DeleteClaims(const std::vector<std::string>& names) {
  if (claims_ == nullptr) return;
  for (const std::string& name : names) {
    ++state_.starts.counters.claims_deleted;
    // What is not deleted now is an orphan later.
    claims_->DeleteClaim(name,
                         [](const std::optional<bool>&, const failure&) {});
  }
}

void start_coordinator::FindOrphanClaims(time_point now) {
  if (claims_ == nullptr || now - listed_at_ < kOrphanCheckInterval) return;
  if (!environment_.is_reader()) return;
  listed_at_ = now;
  claims_->ListClaims([this, alive = std::weak_ptr(alive_)](
                          const std::optional<std::vector<stored_claim>>& list,
                          const failure&) {
    if (alive.expired() || !list) return;
    std::vector<std::string> names;
    for (const stored_claim& claim : *list) names.push_back(claim.name);
    DeleteClaims(FindOrphans(observed_, names, environment_.clock()));
  });
}

}  // namespace radishyard
