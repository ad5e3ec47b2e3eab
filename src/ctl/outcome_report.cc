// Writes the outcomes of edits as text and JSON.
#include "ctl/outcome_report.h"

#include <algorithm>

namespace radishyard {
namespace {

using nlohmann::json;

const char* StateText(edit_state state) {
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

exit_code CodeOf(const edit_outcome& edit) {
  if (edit.state == edit_state::kUnknown) return exit_code::kUnknown;
  if (edit.state != edit_state::kNotAccepted) return exit_code::kDone;
  return FailedBy(edit.why).code;
}

// Later in this order is worse.
int Severity(exit_code code) {
  switch (code) {
    case exit_code::kDone:
      return 0;
    case exit_code::kNotDone:
      return 1;
    case exit_code::kFindings:
      return 2;
    case exit_code::kUnavailable:
      return 3;
    default:
      return 4;
  }
}

std::string Details(const service_outcome& out) {
  const edit_outcome& edit = out.edit;
  if (edit.state == edit_state::kUnknown) {
    return "  settle it by: radishyardctl settle " + edit.edit_id + " " +
           out.name + " --after " + std::to_string(edit.expected) + "\n";
  }
  if (edit.why.kind != failure_kind::kConflict) return "";
  std::string text = "  edited from version " + std::to_string(edit.expected) +
                     ", the store has version " + std::to_string(edit.version) +
                     "\n";
  for (const finding& f : out.conflicts.list())
    text += "  conflict at " + f.place + ": " + f.reason + "\n";
  if (!out.conflicts.empty() || out.changes.empty()) return text;
  return text + "  from the store to the file:\n" + ChangeText(out.changes);
}

std::string Line(const service_outcome& out) {
  const edit_outcome& edit = out.edit;
  std::string line = out.name + ": " + StateText(edit.state);
  const bool is_in_store = edit.state == edit_state::kAccepted ||
                           edit.state == edit_state::kUnchanged;
  if (is_in_store) line += ", version " + std::to_string(edit.version);
  if (!edit.edit_id.empty()) line += ", edit " + edit.edit_id;
  if (!edit.why.text.empty()) line += ": " + edit.why.text;
  return line + "\n";
}

json OutcomeJson(const service_outcome& out) {
  json conflicts = json::array();
  for (const finding& f : out.conflicts.list())
    conflicts.push_back({{"place", f.place}, {"reason", f.reason}});
  return {{"service", out.name},         {"outcome", StateText(out.edit.state)},
          {"version", out.edit.version}, {"expected", out.edit.expected},
          {"edit_id", out.edit.edit_id}, {"reason", out.edit.why.text},
          {"conflicts", conflicts},      {"changes", ChangeJson(out.changes)}};
}

std::string Shown(const std::string& value) {
  return value.empty() ? "(none)" : value;
}

}  // namespace

command_result Report(const std::vector<service_outcome>& outcomes) {
  command_result result;
  result.json["services"] = json::array();
  for (const service_outcome& out : outcomes) {
    result.text += Line(out) + Details(out);
    result.json["services"].push_back(OutcomeJson(out));
    const exit_code code = CodeOf(out.edit);
    if (Severity(code) > Severity(result.code)) result.code = code;
  }
  return result;
}

std::string ChangeText(const std::vector<table_change>& changes) {
  std::string text;
  for (const table_change& c : changes) {
    text += "  " + c.place + ": " + Shown(c.before) + " -> " + Shown(c.after) +
            "\n";
  }
  return text;
}

json ChangeJson(const std::vector<table_change>& changes) {
  json list = json::array();
  for (const table_change& c : changes) {
    list.push_back(
        {{"place", c.place}, {"before", c.before}, {"after", c.after}});
  }
  return list;
}

}  // namespace radishyard
