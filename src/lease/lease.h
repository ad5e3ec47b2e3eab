// The right to place unsafe work, which at most one balancer may place at any
// instant: UDP requests on a port that is not idempotent. One lease_state
// stands for one balancer in one failure domain; the functions below are its
// whole behaviour, and docs/design/ownership.md tells why each part is needed.
//
// The owner of a pool may place while every successor has acknowledged a recent
// heartbeat, or while an own conditional update of the roster is recent. A
// successor takes the pool over by a conditional update of the roster and then
// waits until the old owner's lease has certainly ended; from the update on its
// acknowledgements show the higher epoch and carry the old owner no more.
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

/// \brief An own conditional update of the roster that is not settled yet.
struct pending_update {
  uint64_t base_version = 0;  ///< Version of the roster it replaces.
  time_point sent_at;
  std::set<std::string>
      relinquished_services;     ///< Services it gives to others.
  bool outcome_unknown = false;  ///< The answer was lost.
  auto operator<=>(const pending_update&) const = default;
};

/// \brief What one balancer knows of the leases of one domain. A restarted
/// balancer starts from a new one with its new incarnation.
struct lease_state {
  lease_times times;
  member_id self;
  roster latest_roster;  ///< The latest roster learned, from store or peers.
  /// Version of the store's object that held `latest_roster`.
  uint64_t version = 0;
  /// By peer: when the latest own heartbeat that it acknowledged was sent.
  std::map<member_id, time_point> acknowledged_at;
  /// By peer: the highest epoch that it said it holds. From then on it counts
  /// the successors of that epoch.
  std::map<member_id, uint64_t> reported_epoch;
  /// By service owned: from when this balancer may place, if it has a lease.
  std::map<std::string, time_point> placement_allowed_at;
  /// When the latest confirmed own update was sent.
  std::optional<time_point> renewed_at;
  std::optional<pending_update> pending;
  auto operator<=>(const lease_state&) const = default;
};

/// \brief A peer's answer to an own heartbeat. Every heartbeat is answered,
/// with the epoch that the peer holds at that time.
struct acknowledgement {
  member_id from;
  time_point sent_at;  ///< When the heartbeat was sent, as echoed.
  uint64_t epoch = 0;  ///< Epoch of the roster that the peer holds.
  auto operator<=>(const acknowledgement&) const = default;
};

/// \brief How an own update ended without being confirmed.
enum class update_failure : uint8_t {
  kNotApplied,  ///< Certainly: a conflict, or no connection.
  kUnknown,     ///< The answer was lost; a read-back has to settle it.
};

/// \brief What the balancer should do next for its leases.
struct lease_action {
  enum class kind : uint8_t {
    kNone,
    kSettle,    ///< Read the roster; while its version is still the base of
                ///< the pending update, send that update again.
    kTakeOver,  ///< Propose ReassignPools with `services` as may_take_over.
    kRenew,     ///< Write the known roster again, unchanged, conditionally.
  };
  kind what = kind::kNone;
  std::set<std::string> services;
  auto operator<=>(const lease_action&) const = default;
};

/// \brief What NextAction has to know besides the state.
struct lease_inputs {
  std::set<std::string> unsafe_services;  ///< With a UDP request port that is
                                          ///< not idempotent.
  std::set<member_id> silent;             ///< Members believed dead.
};

/// \name Events
/// Each gives the state after the event. \{

/// \brief A roster was read from the store or told by a peer; older versions
/// change nothing. Settles a pending update with a lower base.
lease_state OnRoster(lease_state state, const roster& r, uint64_t version,
                     time_point now);

/// \brief A peer's heartbeat said which epoch the peer holds.
lease_state OnHeartbeat(lease_state state, const member_id& from,
                        uint64_t epoch);

/// \brief A peer answered an own heartbeat.
lease_state OnAcknowledgement(lease_state state, const acknowledgement& ack,
                              time_point now);

/// \brief An own conditional update is about to be sent; call this first. What
/// `proposed` gives away is placed no more until the update is settled. An
/// update of unknown outcome may be sent again on the same base.
/// \warning Send only after the traffic threads have seen the new instants of
/// NonIdempotentDeadline and ended the packet they were at.
lease_state BeginUpdate(lease_state state, const roster& proposed,
                        time_point now);

/// \brief The store confirmed the pending update with the object's new version.
lease_state OnUpdateConfirmed(lease_state state, const roster& proposed,
                              uint64_t version, time_point now);

/// \brief The pending update was not confirmed. Once its outcome was unknown,
/// only a roster of a higher version settles it.
lease_state OnUpdateFailed(lease_state state, update_failure failure);

/// \}

/// \brief Until when this balancer may place unsafe work of the service;
/// nothing where it may not. The traffic thread compares the instant with the
/// monotonic clock for each request that it places.
///
/// \code
/// const auto until = NonIdempotentDeadline(state, "notes", now);
/// deadline.store(until.value_or(time_point{}));
/// \endcode
std::optional<time_point> NonIdempotentDeadline(const lease_state& state,
                                                std::string_view service,
                                                time_point now);

/// \brief True where this balancer may propose to take the service over from an
/// owner that is silent: the owner counts it as successor, or the owner's run
/// is listed no more. Whether the owner is silent is for the caller to judge.
bool MayTakeOver(const lease_state& state, std::string_view service);

/// \brief True where this balancer owns the service and has ended its wait, so
/// that the next owner need not wait for anyone before it.
bool MayRelease(const lease_state& state, std::string_view service,
                time_point now);

/// \brief All services of MayTakeOver, as assignment_inputs asks for them.
std::set<std::string> ServicesToTakeOver(const lease_state& state);

/// \brief All services of MayRelease, as assignment_inputs asks for them.
std::set<std::string> ServicesToRelease(const lease_state& state,
                                        time_point now);

/// \brief What to do next; to be asked after each event and on a timer.
lease_action NextAction(const lease_state& state, const lease_inputs& needs,
                        time_point now);

}  // namespace radishyard
