// Changes of a roster: membership, and which member owns which pool. These are
// pure functions from one roster to the next, which the caller writes to the
// store by a conditional update.
//
// Three rules ensure that a pool never has two owners at once. The owner may be
// changed only
//  - by the owner itself, which stops placing before it proposes the change;
//  - by a successor, if the owner is unresponsive and has reported the epoch
//    that names the successor;
//  - by any member, if the owner's run is not listed any more, because
//    AddMember and RemoveMember may remove a run only after it has ended.
// Only the owner changes the successors. An assignment is removed by its owner,
// or by any member once the owner's run is not listed any more.
#pragma once
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "roster/roster.h"

namespace radishyard {

/// \brief Inputs of the assignment besides the roster, at the balancer that
/// computes it.
struct assignment_inputs {
  member_id self;
  std::set<member_id> alive;       ///< Live members, including `self`.
  std::set<std::string> services;  ///< Services with upstreams in the domain.
  std::vector<member> foreign_members;  ///< Live members of other domains. They
                                        ///< are candidates only if the domain
                                        ///< has no live member of its own.
  std::set<std::string> may_take_over;  ///< Services whose unresponsive owner
                                        ///< `self` may replace. \sa MayTakeOver
  std::set<std::string> may_release;    ///< Services of `self` whose wait as a
                                        ///< new owner has ended. \sa MayRelease
};

/// \brief Adds `joining` to the members, with the next epoch. A higher
/// incarnation replaces the entry of an earlier run of the same name.
/// \returns `r` itself if nothing changes, or if `joining` has a lower
/// incarnation than the listed run.
/// \warning The earlier run must have ended. This holds because a name belongs
/// to one VM and a VM runs one daemon.
roster AddMember(const roster& r, const member& joining);

/// \brief Marks the member as leaving: its pools move to other members, and it
/// gets no new ones.
roster MarkLeaving(const roster& r, const member_id& id);

/// \brief Removes the run from the members.
/// \warning Only after the run has certainly ended, or by the run itself once
/// it owns no pool: other members treat a run that is not listed as ended.
roster RemoveMember(const roster& r, const member_id& id);

/// \brief Computes the roster that `inputs.self` should propose, with the next
/// epoch; nothing if no change is due that it may make.
///
/// \code
/// if (std::optional<roster> next = ReassignPools(current, inputs)) {
///   store.Put("rosters/rennes", ToJson(*next), version, handler);
/// }
/// \endcode
std::optional<roster> ReassignPools(const roster& r,
                                    const assignment_inputs& inputs);

/// \brief Number of live members before `inputs.self` in the order of names.
/// Members wait in proportion to it before they propose, which avoids updates
/// that would only conflict.
size_t ProposalRank(const roster& r, const assignment_inputs& inputs);

/// \brief Number of live successors of the pool before `inputs.self`. If each
/// waits in proportion to it, the first live successor takes the pool over.
size_t SuccessorRank(const pool_assignment& pool,
                     const assignment_inputs& inputs);

/// \brief The assignment of a service; null if it has none.
const pool_assignment* FindPool(const roster& r, std::string_view service);

/// \brief The entry of exactly this run; null if it is not listed.
const member* FindMember(const roster& r, const member_id& id);

}  // namespace radishyard
