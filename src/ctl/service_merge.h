// Differences between two forms of a service, and the three-way merge of two
// operators' edits. Rows are matched by name (upstreams) or by protocol and
// port (ports), never by position.
#pragma once
#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "base/finding.h"
#include "table/service.h"

namespace radishyard {

/// \brief One field or row that differs. Empty text stands for "not there".
struct service_change {
  std::string place;  ///< Such as "/upstreams/survey-3/weight".
  std::string before;
  std::string after;
  auto operator<=>(const service_change&) const = default;
};

/// \brief What leads from `before` to `after`, sorted by place. The order of
/// rows is no difference.
std::vector<service_change> DiffServices(const service& before,
                                         const service& after);

/// \brief Applies the edits base -> mine and base -> theirs together.
///
/// \code
/// // base: weight 10; mine: weight 12; theirs: slots 3 -> both are kept.
/// findings conflicts;
/// std::optional<service> both = MergeServices(base, mine, theirs, conflicts);
/// \endcode
/// \returns nothing where both edits change the same field in different ways,
/// or where the merged service is not valid; `conflicts` tells where.
std::optional<service> MergeServices(const service& base, const service& mine,
                                     const service& theirs,
                                     findings& conflicts);

}  // namespace radishyard
