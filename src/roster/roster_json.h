// The JSON text of a roster, as the store keeps it and peers exchange it.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "base/finding.h"
#include "roster/roster.h"

namespace radishyard {

/// \brief Compact JSON text; ParseRoster gives the same roster back.
std::string ToJson(const roster& r);

/// \brief Parses a roster; nothing where anything is wrong with it, with all
/// faults in `found`.
///
/// \code
/// findings found;
/// std::optional<roster> r = ParseRoster(object.value, found);
/// if (!r) Log(found.Text());
/// \endcode
std::optional<roster> ParseRoster(std::string_view text, findings& found);

}  // namespace radishyard
