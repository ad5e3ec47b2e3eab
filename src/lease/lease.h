// The lease on non-idempotent requests: UDP requests on a port that is not
// idempotent, which at most one balancer may place for a pool at any instant. A
// lease_state holds the leases of one balancer in one failure domain; the
// functions below are pure and contain the whole lease protocol.
// docs/design/ownership.md explains why each part is needed.
//
// The owner of a pool holds the lease while every successor has acknowledged a
// recent heartbeat, or while its own latest conditional update of the roster is
// recent. A successor takes the pool over by a conditional update of the
// roster, and then waits until the previous owner's lease has certainly
// expired. From that update on, the acknowledgements of the successor contain
// the higher epoch, and no longer extend the previous owner's lease.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"
#include "lease/lease_times.h"
#include "roster/roster.h"

namespace radishyard {

/// \brief A conditional update of the roster by this balancer whose outcome is
/// not resolved yet.
struct pending_update {
  uint64_t base_version = 0;  ///< Version of the roster that it replaces.
  time_point sent_at;
  std::set<std::string>
      relinquished_services;     ///< Services whose pools this balancer owns
                                 ///< and the update assigns to others.
  bool outcome_unknown = false;  ///< The store's reply was lost, so that the
                                 ///< update may or may not have been applied.
  auto operator<=>(const pending_update&) const = default;
};

/// \brief The lease state of one balancer in one failure domain. A restarted
/// balancer starts from an empty state with its new incarnation.
struct lease_state {
  lease_times times;
  member_id self;
  roster latest_roster;  ///< The latest roster received from the store or from
                         ///< peers.
  uint64_t version = 0;  ///< Version of the store's object with that roster.
  /// By peer: when this balancer sent the latest heartbeat that the peer has
  /// acknowledged.
  std::map<member_id, time_point> acknowledged_at;
  /// By peer: the highest roster epoch that its heartbeats have reported. From
  /// then on the leases of the peer depend on the successors of that epoch.
  std::map<member_id, uint64_t> reported_epoch;
  /// By owned service: from when this balancer may place non-idempotent
  /// requests, provided that it then holds the lease.
  std::map<std::string, time_point> placement_allowed_at;
  /// When this balancer sent its latest confirmed update of the roster.
  std::optional<time_point> renewed_at;
  std::optional<pending_update> pending;
  auto operator<=>(const lease_state&) const = default;
};

/// \brief A peer's reply to a heartbeat of this balancer. A peer replies to
/// every heartbeat, with the epoch of the roster that it has at that time.
struct acknowledgement {
  member_id from;
  time_point sent_at;  ///< When the heartbeat was sent; the peer echoes it.
  uint64_t epoch = 0;  ///< Epoch of the peer's roster.
  auto operator<=>(const acknowledgement&) const = default;
};

/// \brief How an update by this balancer failed.
enum class update_failure : uint8_t {
  kNotApplied,  ///< Certainly not applied: a conflict, or no connection.
  kUnknown,     ///< The store's reply was lost; reading the roster back
                ///< resolves the update.
};

/// \brief The next operation that the leases of this balancer require.
struct lease_action {
  enum class action_type : uint8_t {
    kNone,
    kResolveUpdate,  ///< Read the roster. While its version is still the base
                     ///< of the pending update, send that update again.
    kTakeOver,  ///< Propose ReassignPools with `services` as may_take_over.
    kRenew,     ///< Write the latest roster back unchanged, by a conditional
                ///< update.
  };
  action_type type = action_type::kNone;
  std::set<std::string> services;
  auto operator<=>(const lease_action&) const = default;
};

/// \brief Inputs of NextAction besides the state.
struct lease_inputs {
  /// Services with a UDP request port that is not idempotent.
  std::set<std::string> non_idempotent_services;
  /// Members that are not alive by the failure detector.
  std::set<member_id> unresponsive;
};

/// \name Events
/// Each function returns the state after the event. \{

/// \brief Applies a roster that was received from the store or from a peer; a
/// version that is not newer changes nothing. Resolves a pending update whose
/// base version is lower.
lease_state OnRoster(lease_state state, const roster& r, uint64_t version,
                     time_point now);

/// \brief Records the epoch of the peer's roster, from a heartbeat of the peer.
lease_state OnHeartbeat(lease_state state, const member_id& from,
                        uint64_t epoch);

/// \brief Records that a peer acknowledged a heartbeat of this balancer. An
/// acknowledgement is dropped if its epoch is higher than that of the latest
/// roster here, or if its instant is after `now`.
lease_state OnAcknowledgement(lease_state state, const acknowledgement& ack,
                              time_point now);

/// \brief Records a conditional update; to be called before it is sent. Until
/// the update is resolved, this balancer holds no lease on the pools that
/// `proposed` assigns to others. An update of unknown outcome may be sent again
/// on the same base version.
/// \warning Send the update only after the traffic threads have received the
/// new deadlines of NonIdempotentDeadline and finished the packet that they
/// were processing.
lease_state BeginUpdate(lease_state state, const roster& proposed,
                        time_point now);

/// \brief Applies the pending update, which the store has confirmed.
/// \param version the new version of the store's object.
lease_state OnUpdateConfirmed(lease_state state, const roster& proposed,
                              uint64_t version, time_point now);

/// \brief Records that the pending update was not confirmed. Once its outcome
/// is unknown, only a roster of a higher version resolves it.
lease_state OnUpdateFailed(lease_state state, update_failure failure);

/// \}

/// \brief Until when this balancer may place non-idempotent requests of the
/// service; nothing if it may place none. The traffic thread compares the
/// instant with the monotonic clock for each request that it places.
///
/// \code
/// std::optional<time_point> until = NonIdempotentDeadline(state, "notes",
/// now); deadline.store(until.value_or(time_point{})); \endcode
std::optional<time_point> NonIdempotentDeadline(const lease_state& state,
                                                std::string_view service,
                                                time_point now);

/// \brief True if this balancer may propose to take the service's pool over
/// from an unresponsive owner: the owner's lease depends on this balancer as a
/// successor, or the owner's run is no longer in the roster. The caller decides
/// whether the owner is unresponsive.
bool MayTakeOver(const lease_state& state, std::string_view service);

/// \brief True if this balancer owns the service's pool and its own wait as a
/// new owner has ended, so that the next owner need not wait for the lease of
/// an earlier one.
bool MayRelease(const lease_state& state, std::string_view service,
                time_point now);

/// \brief All services for which MayTakeOver is true, for assignment_inputs.
std::set<std::string> ServicesToTakeOver(const lease_state& state);

/// \brief All services for which MayRelease is true, for assignment_inputs.
std::set<std::string> ServicesToRelease(const lease_state& state,
                                        time_point now);

/// \brief The next operation; to be called after each event and on a timer.
lease_action NextAction(const lease_state& state, const lease_inputs& inputs,
                        time_point now);

}  // namespace radishyard
