// The report on the outcomes of edits, as text and as JSON.
#pragma once
#include <string>
#include <vector>

#include "base/finding.h"
#include "ctl/command_result.h"
#include "ctl/edit.h"
#include "ctl/service_merge.h"

namespace radishyard {

/// \brief Outcome of an edit of one service.
struct service_outcome {
  std::string name;
  edit_outcome edit;
  /// Fields that two edits change in different ways.
  findings conflicts;
  /// Differences from the store's service to the file's.
  std::vector<service_change> changes;
};

/// \brief Reports one line per outcome, followed by its details. The exit code
/// is that of the worst outcome.
command_result BuildOutcomeReport(const std::vector<service_outcome>& outcomes);

/// \brief Formats changes as lines "place: before -> after".
std::string FormatChanges(const std::vector<service_change>& changes);

/// \brief Converts changes to an array of objects with the fields "place",
/// "before" and "after".
nlohmann::json ToChangesJson(const std::vector<service_change>& changes);

}  // namespace radishyard
