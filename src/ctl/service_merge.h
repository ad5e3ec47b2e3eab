// Differences between two values of a service, and the three-way merge of two
// edits. Upstreams are matched by name, and ports by protocol and port number,
// never by their position in a list.
#pragma once
#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "base/finding.h"
#include "table/service.h"

namespace radishyard {

/// \brief One field, upstream or port that differs.
struct service_change {
  std::string place;   ///< Such as "/upstreams/survey-3/weight".
  std::string before;  ///< JSON text; empty if absent.
  std::string after;   ///< JSON text; empty if absent.
  auto operator<=>(const service_change&) const = default;
};

/// \brief Returns the changes from `before` to `after`, sorted by place. The
/// order of upstreams and ports is not compared.
std::vector<service_change> DiffServices(const service& before,
                                         const service& after);

/// \brief Combines two edits of the same service: base -> mine and
/// base -> theirs.
///
/// \code
/// // base: weight 10, slots 2; mine: weight 12; theirs: slots 3
/// // -> merged: weight 12, slots 3
/// findings conflicts;
/// std::optional<service> merged = MergeServices(base, mine, theirs,
/// conflicts); \endcode \returns nothing if both edits change the same field in
/// different ways, or if the merged service is invalid; `conflicts` then has
/// the places.
std::optional<service> MergeServices(const service& base, const service& mine,
                                     const service& theirs,
                                     findings& conflicts);

}  // namespace radishyard
