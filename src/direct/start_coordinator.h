// Carries out the limit of openings on cold upstreams: creates and deletes
// claims in the store, and exchanges requests and replies with other balancers.
// cold_starts.h has the decisions.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "direct/direct_settings.h"
#include "direct/forward/forwarder.h"
#include "direct/interruption.h"
#include "direct/start_limit/claim_store.h"
#include "direct/view/peer_exchange.h"
#include "peer/peer_message.h"

namespace radishyard {

/// \brief What the coordinator needs of its balancer.
struct start_environment {
  endpoint self;       ///< Address at which other balancers reach this one.
  std::string domain;  ///< Failure domain of this balancer.
  std::function<void(const peer_message&, const endpoint&)> send;
  /// Returns the live members of a failure domain, with this balancer if it is
  /// its own.
  std::function<std::vector<view_member>(const std::string& domain)> members;
  /// Returns true if this balancer reads the platform for its domain.
  std::function<bool()> is_reader;
  /// Returns the present instant on the clock that counts suspensions.
  std::function<time_point()> clock = ReadSuspensionClock;
};

/// \brief The environment of a balancer whose messages pass through `peers`,
/// which must outlive the coordinator.
start_environment MakeStartEnvironment(peer_exchange& peers,
                                       const direct_settings& settings);

/// \brief Runs the part for one balancer. A service without a limit causes no
/// message and no call.
class start_coordinator {
 public:
  /// \param claims null if the platform keeps no claims; cold upstreams then
  /// get no openings from a service with a limit. \param state must outlive the
  /// coordinator.
  start_coordinator(claim_store* claims, forwarding_state& state,
                    const start_bounds& bounds, start_environment environment);

  /// \brief Follows the table and the list. To be called after each change of
  /// one of them, and several times a second.
  void Update(time_point steady_now);
  /// \brief Requests a grant for an opening that would have been placed on
  /// `upstream`.
  void RequestGrant(upstream_id upstream);
  void HandleRequest(const grant_request& request);
  void HandleReply(const grant_reply& reply);
  /// \brief Ends all grants after a suspension of the VM.
  void RecordSuspension();

 private:
  void SendRequest(limited_upstream& known);
  void TryClaim(limited_upstream& known, time_point now);
  void CreateClaim(const start_incarnation& of);
  void LookUpClaim(const start_incarnation& of);
  void ApplyResult(const start_incarnation& of, claim_result result,
                   const std::string& reason);
  void DeleteClaims(const std::vector<std::string>& names);
  void FindOrphanClaims(time_point now);
  std::vector<endpoint> RankMembers(const limited_upstream& known) const;

  claim_store* claims_;
  forwarding_state& state_;
  start_environment environment_;
  std::string owner_;  ///< stored_claim::owner of this process.
  time_point started_at_;
  size_t calls_in_flight_ = 0;
  observed_claims observed_;
  time_point listed_at_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishyard
