// Who owns which pool: pure functions from a roster to the next one, which the
// caller writes to the store by conditional update.
//
// Three rules keep at most one owner in doubt. A pool moves only
//  - by its owner, which stops placing before it proposes the move;
//  - by a successor that the owner has acknowledged, where the owner is silent;
//  - by anyone, where the owner's run is listed no more, since AddMember and
//  RemoveMember
//    take a run out only when it has ended.
// Successors are changed by the owner only, and so is an assignment dropped.
#pragma once
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "roster/roster.h"

namespace radishyard {

/// \brief What the balancer that computes an assignment knows.
struct assignment_inputs {
  member_id self;
  std::set<member_id> alive;       ///< Members believed alive, `self` included.
  std::set<std::string> services;  ///< Those with upstreams in the domain.
  std::vector<member> others;      ///< Live members of other domains;
                                   ///< candidates only where the domain has no
                                   ///< live member of its own.
  std::set<std::string> may_take_over;  ///< Services whose silent owner `self`
                                        ///< may replace. \sa MayTakeOver
  std::set<std::string>
      may_release;  ///< Services `self` owns without waiting. \sa MayRelease
};

/// \brief Lists `joining`; a higher incarnation replaces the earlier run of the
/// same name. Gives `r` itself where nothing changes, such as for an
/// incarnation lower than the one listed.
/// \warning The earlier run must have ended: a name belongs to one VM, and a VM
/// runs one daemon.
roster AddMember(const roster& r, const member& joining);

/// \brief Marks the member as leaving: it gives its pools away and gets none.
roster MarkLeaving(const roster& r, const member_id& id);

/// \brief Takes the run out of the list.
/// \warning Only where the run has ended for certain, or by the run itself once
/// it owns nothing: whoever is listed no more counts as proved dead.
roster RemoveMember(const roster& r, const member_id& id);

/// \brief The roster that `view.self` should propose, with the next epoch;
/// nothing where no change is due or allowed to it.
///
/// \code
/// if (std::optional<roster> next = ReassignPools(current, view)) {
///   store.Put("rosters/rennes", ToJson(*next), version, handler);
/// }
/// \endcode
std::optional<roster> ReassignPools(const roster& r,
                                    const assignment_inputs& view);

/// \brief Index of `view.self` among the live members by name. Those of a
/// higher index wait longer before they propose, which saves the store updates
/// that could only conflict.
size_t ProposalRank(const roster& r, const assignment_inputs& view);

/// \brief Index of `view.self` among the live successors of the pool; the same
/// wait in proportion lets the first of them take the pool over.
size_t SuccessorRank(const pool_assignment& pool,
                     const assignment_inputs& view);

/// \brief The assignment of a service; nothing where it has none.
const pool_assignment* FindPool(const roster& r, std::string_view service);

/// \brief The member's entry if exactly this run is listed.
const member* FindMember(const roster& r, const member_id& id);

}  // namespace radishyard
