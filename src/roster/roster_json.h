// Conversion between rosters and their JSON text, which the store holds and
// balancers send each other.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "base/finding.h"
#include "roster/roster.h"

namespace radishyard {

/// \brief The roster as compact JSON text; ParseRoster returns the same roster.
std::string ToJson(const roster& r);

/// \brief Parses a roster.
/// \param found receives what is wrong with the text, with the place of each.
/// \returns nothing if there is any finding.
///
/// \code
/// findings found;
/// std::optional<roster> r = ParseRoster(object.value, found);
/// if (!r) Log(found.Text());
/// \endcode
std::optional<roster> ParseRoster(std::string_view text, findings& found);

}  // namespace radishyard
