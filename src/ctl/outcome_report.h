// The report on edits, for people and for programs.
#pragma once
#include <string>
#include <vector>

#include "base/finding.h"
#include "ctl/command_result.h"
#include "ctl/edit.h"
#include "ctl/service_merge.h"

namespace radishyard {

/// \brief The outcome for one service.
struct service_outcome {
  std::string name;
  edit_outcome edit;
  findings conflicts;                 ///< Fields that two edits change.
  std::vector<table_change> changes;  ///< From the store to the file.
};

/// \brief One line per outcome, with details below it; the exit code is that of
/// the worst outcome.
command_result Report(const std::vector<service_outcome>& outcomes);

/// \brief The changes as lines "place: before -> after".
std::string ChangeText(const std::vector<table_change>& changes);

nlohmann::json ChangeJson(const std::vector<table_change>& changes);

}  // namespace radishyard
