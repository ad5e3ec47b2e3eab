// Formats the outcomes of edits of services in the store as text and JSON.
#include "ctl/outcome_report.h"

#include <algorithm>

namespace radishyard {
namespace {

using nlohmann::json;

const char* ToText(edit_state state) {
  switch (state) {
    case edit_state::kAccepted:
      return "accepted";
    case edit_state::kUnchanged:
      return "unchanged";
    case edit_state::kNotAccepted:
      return "not accepted";
    case edit_state::kUnknown:
      return "unknown";
  }
  return "";
}

exit_code ToExitCode(const edit_outcome& edit) {
  if (edit.state == edit_state::kUnknown) return exit_code::kUnknown;
  if (edit.state != edit_state::kNotAccepted) return exit_code::kDone;
  return MakeFailureResult(edit.why).code;
}

// Ranks exit codes by severity; a higher rank is worse.
int SeverityRank(exit_code code) {
  switch (code) {
    case exit_code::kDone:
      return 0;
    case exit_code::kNotDone:
      return 1;
    case exit_code::kFindings:
      return 2;
    case exit_code::kUnavailable:
      return 3;
    default:  // kUnknown; ToExitCode() does not return the other codes.
      return 4;
  }
}

std::string FormatDetailLines(const service_outcome& outcome) {
  const edit_outcome& edit = outcome.edit;
  if (edit.state == edit_state::kUnknown) {
    return "  settle it by: radishyardctl settle " + edit.edit_id + " " +
           outcome.name + " --after " + std::to_string(edit.base_version) +
           "\n";
  }
  // FormatOutcomeLine() writes the whole reason of any other failure.
  if (edit.why.kind != failure_kind::kConflict) return "";
  std::string text =
      "  edited from version " + std::to_string(edit.base_version) +
      ", the store has version " + std::to_string(edit.version) + "\n";
  for (const finding& f : outcome.conflicts.list())
    text += "  conflict at " + f.place + ": " + f.reason + "\n";
  if (!outcome.conflicts.empty() || outcome.changes.empty()) return text;
  return text + "  changes from the stored service to the file:\n" +
         FormatChanges(outcome.changes);
}

std::string FormatOutcomeLine(const service_outcome& outcome) {
  const edit_outcome& edit = outcome.edit;
  std::string line = outcome.name + ": " + ToText(edit.state);
  const bool is_in_store = edit.state == edit_state::kAccepted ||
                           edit.state == edit_state::kUnchanged;
  if (is_in_store) line += ", version " + std::to_string(edit.version);
  if (!edit.edit_id.empty()) line += ", edit " + edit.edit_id;
  if (!edit.why.text.empty()) line += ": " + edit.why.text;
  return line + "\n";
}

json ToOutcomeJson(const service_outcome& outcome) {
  json conflicts = json::array();
  for (const finding& f : outcome.conflicts.list())
    conflicts.push_back({{"place", f.place}, {"reason", f.reason}});
  return {{"service", outcome.name},
          {"outcome", ToText(outcome.edit.state)},
          {"version", outcome.edit.version},
          {"expected", outcome.edit.base_version},
          {"edit_id", outcome.edit.edit_id},
          {"reason", outcome.edit.why.text},
          {"conflicts", conflicts},
          {"changes", ToChangesJson(outcome.changes)}};
}

std::string TextOrNone(const std::string& value) {
  return value.empty() ? "(none)" : value;
}

}  // namespace

command_result BuildOutcomeReport(
    const std::vector<service_outcome>& outcomes) {
  command_result result;
  result.json["services"] = json::array();
  for (const service_outcome& outcome : outcomes) {
    result.text += FormatOutcomeLine(outcome) + FormatDetailLines(outcome);
    result.json["services"].push_back(ToOutcomeJson(outcome));
    const exit_code code = ToExitCode(outcome.edit);
    if (SeverityRank(code) > SeverityRank(result.code)) result.code = code;
  }
  return result;
}

std::string FormatChanges(const std::vector<service_change>& changes) {
  std::string text;
  for (const service_change& c : changes) {
    text += "  " + c.place + ": " + TextOrNone(c.before) + " -> " +
            TextOrNone(c.after) + "\n";
  }
  return text;
}

json ToChangesJson(const std::vector<service_change>& changes) {
  json list = json::array();
  for (const service_change& c : changes) {
    list.push_back(
        {{"place", c.place}, {"before", c.before}, {"after", c.after}});
  }
  return list;
}

}  // namespace radishyard
