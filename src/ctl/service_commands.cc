// Implements the commands on single services. An edit reads the service,
// changes it and writes it back conditionally.
#include "ctl/service_commands.h"

#include <functional>
#include <utility>

#include "ctl/edit.h"
#include "ctl/outcome_report.h"
#include "ctl/service_files.h"
#include "ctl/service_merge.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr int kMaxEditAttempts = 8;

// Changes a service in place. Returns the reason if that is not possible.
using change_function = std::function<std::optional<failure>(service&)>;

command_result BuildSingleReport(const std::string& name,
                                 const edit_outcome& edit) {
  return BuildOutcomeReport({{name, edit, {}, {}}});
}

// Reads, changes and writes a service. If another edit was accepted first,
// starts again: a change of a single field remains valid on top of any other
// edit.
command_result EditService(blocking_store& store, const std::string& name,
                           const change_function& change,
                           const edit_id_source& new_edit_id) {
  edit_outcome edit;
  for (int attempt = 0; attempt < kMaxEditAttempts; ++attempt) {
    failure why;
    const std::optional<stored_service> base = ReadService(store, name, why);
    if (!base) return MakeFailureResult(why);
    service value = base->record.value;
    if (const std::optional<failure> reason = change(value))
      return MakeFailureResult(*reason);
    if (value == base->record.value) {
      edit.state = edit_state::kUnchanged;
      edit.version = base->record.version;
      edit.why = {};
      edit.edit_id.clear();
      return BuildSingleReport(name, edit);
    }
    edit = SubmitEdit(store, value, base, new_edit_id());
    const bool has_lost_race = edit.state == edit_state::kNotAccepted &&
                               edit.why.kind == failure_kind::kConflict;
    if (!has_lost_race) break;
  }
  return BuildSingleReport(name, edit);
}

std::string FormatSummary(const stored_service& s) {
  const service& value = s.record.value;
  std::string line = value.name + ": version " +
                     std::to_string(s.record.version) + ", " +
                     ToDottedAddress(value.address) + ", " +
                     std::to_string(value.ports.size()) + " ports, " +
                     std::to_string(value.upstreams.size()) + " upstreams";
  if (value.deleted) line += ", deleted";
  return line + "\n";
}

}  // namespace

command_result Validate(const std::vector<std::string>& files) {
  findings found;
  const std::vector<loaded_file> loaded = LoadFiles(files, found);
  if (!found.empty()) return MakeFindingsResult(found);
  const std::string count = std::to_string(loaded.size());
  return {exit_code::kDone,
          count + " files are valid\n",
          {{"findings", json::array()}}};
}

command_result DiffFiles(blocking_store& store,
                         const std::vector<std::string>& files) {
  findings found;
  const std::vector<loaded_file> loaded = LoadFiles(files, found);
  if (!found.empty()) return MakeFindingsResult(found);
  command_result result;
  result.json["services"] = json::array();
  for (const loaded_file& file : loaded) {
    const std::string& name = file.content.value.name;
    failure why;
    const std::optional<stored_service> stored = ReadService(store, name, why);
    if (!stored && why.kind != failure_kind::kNotFound)
      return MakeFailureResult(why);
    const service before =
        stored ? stored->record.value : service{.name = name};
    const auto changes =
        DiffServices(before, InheritUpstreamStates(file.content, before));
    result.json["services"].push_back(
        {{"service", name}, {"changes", ToChangesJson(changes)}});
    if (changes.empty()) continue;
    result.code = exit_code::kNotDone;
    result.text +=
        name + (stored ? ":\n" : ": is new\n") + FormatChanges(changes);
  }
  return result;
}

command_result GetServices(blocking_store& store) {
  failure why;
  const auto services = ReadServices(store, why);
  if (!services) return MakeFailureResult(why);
  command_result result;
  result.json["services"] = json::array();
  for (const stored_service& s : *services) {
    result.text += FormatSummary(s);
    result.json["services"].push_back(json::parse(ToFileJson(s.record)));
  }
  return result;
}

command_result GetService(blocking_store& store, const std::string& name) {
  failure why;
  const std::optional<stored_service> stored = ReadService(store, name, why);
  if (!stored) return MakeFailureResult(why);
  const std::string text = ToFileJson(stored->record);
  return {exit_code::kDone, text + "\n", json::parse(text)};
}

command_result SetUpstreamState(blocking_store& store, const std::string& name,
                                const std::string& upstream_name,
                                upstream_state state,
                                const edit_id_source& new_edit_id) {
  const auto set_state = [&](service& s) -> std::optional<failure> {
    for (upstream& u : s.upstreams) {
      if (u.name != upstream_name) continue;
      u.state = state;
      return std::nullopt;
    }
    return failure{failure_kind::kNotFound,
                   name + " has no upstream " + upstream_name};
  };
  return EditService(store, name, set_state, new_edit_id);
}

command_result DeleteService(blocking_store& store, const std::string& name,
                             const edit_id_source& new_edit_id) {
  const auto set_deleted = [](service& s) -> std::optional<failure> {
    s.deleted = true;
    return std::nullopt;
  };
  return EditService(store, name, set_deleted, new_edit_id);
}

command_result SettleEdit(blocking_store& store, const std::string& edit_id,
                          const std::string& name,
                          std::optional<uint64_t> after) {
  edit_outcome edit;
  edit.edit_id = edit_id;
  edit.base_version = after.value_or(0);
  failure why;
  const std::optional<stored_service> stored = ReadService(store, name, why);
  if (!stored && why.kind != failure_kind::kNotFound)
    return MakeFailureResult(why);
  std::optional<edit_outcome> resolved;
  if (stored) resolved = ResolveEdit(*stored, edit_id, edit.base_version);
  if (resolved && (after || resolved->state == edit_state::kAccepted))
    return BuildSingleReport(name, *resolved);
  edit.why = {failure_kind::kUnknown,
              "the store does not have this edit, but "
              "its write may still be in transit"};
  return BuildSingleReport(name, edit);
}

}  // namespace radishyard
