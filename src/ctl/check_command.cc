// Collects errors, warnings and differences, and reports them together.
#include "ctl/check_command.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "ctl/edit.h"
#include "ctl/evacuation_commands.h"
#include "ctl/outcome_report.h"
#include "ctl/service_files.h"
#include "ctl/service_merge.h"
#include "table/table_advice.h"

namespace radishyard {
namespace {

using nlohmann::json;

/// What the files are compared with.
struct services_in_force {
  std::map<std::string, service> services;
  std::map<std::string, uint64_t> versions;  ///< Where they are known.
  std::set<std::string> evacuated_domains;
};

enum class comparison_state : uint8_t {
  kNew,
  kChanged,
  kUnchanged,
  kNotInFiles,
};

/// The differences of one service.
struct service_comparison {
  std::string name;
  comparison_state state = comparison_state::kUnchanged;
  std::vector<service_change> changes;
};

struct check_report {
  findings errors;
  findings warnings;
  std::vector<service_comparison> comparisons;
};

std::optional<services_in_force> ReadStore(blocking_store& store,
                                           failure& why) {
  const auto services = ReadServices(store, why);
  if (!services) return std::nullopt;
  const auto evacuations = ReadEvacuations(store, why);
  if (!evacuations) return std::nullopt;
  services_in_force in_force;
  for (const stored_service& s : *services) {
    in_force.services[s.record.value.name] = s.record.value;
    in_force.versions[s.record.value.name] = s.record.version;
  }
  for (const stored_evacuation& e : *evacuations)
    if (e.faults.empty() && e.record.evacuated)
      in_force.evacuated_domains.insert(e.domain);
  return in_force;
}

services_in_force ReadFiles(const std::string& path, findings& errors) {
  services_in_force in_force;
  for (const loaded_file& file : LoadFiles({path}, errors)) {
    const service& value = file.content.value;
    in_force.services[value.name] = value;
    if (file.content.version)
      in_force.versions[value.name] = *file.content.version;
  }
  return in_force;
}

bool Contains(const findings& found, const finding& f) {
  return std::ranges::find(found.list(), f) != found.list().end();
}

/// Adds the conflicts between files and services that they do not replace.
/// Those among the files are errors already.
void CheckOtherServices(const std::vector<loaded_file>& files,
                        const services_in_force& in_force, findings& errors) {
  std::map<std::string, service> table = in_force.services;
  for (const loaded_file& file : files)
    table[file.content.value.name] = file.content.value;
  std::vector<service> services;
  services.reserve(table.size());
  for (const auto& [name, value] : table) services.push_back(value);
  findings conflicts;
  CheckConflicts(files, services, conflicts);
  for (const finding& f : conflicts.list())
    if (!Contains(errors, f)) errors.Add(f.place, f.reason);
}

/// Returns the service of the file as `apply` would write it.
service DesiredService(const loaded_file& file,
                       const services_in_force& in_force) {
  const auto stored = in_force.services.find(file.content.value.name);
  if (stored == in_force.services.end()) return file.content.value;
  return InheritUpstreamStates(file.content, stored->second);
}

void AddWarnings(const loaded_file& file, const findings& advice,
                 findings& warnings) {
  for (const finding& f : advice.list())
    warnings.Add(file.path + "#" + f.place, f.reason);
}

/// Warns of a file that was made from another version, unless there is nothing
/// to apply.
void CheckVersion(const loaded_file& file, const service& desired,
                  const services_in_force& in_force, findings& warnings) {
  if (!file.content.version) return;
  const auto stored = in_force.services.find(desired.name);
  const bool is_stored = stored != in_force.services.end();
  if (is_stored && stored->second == desired) return;
  const auto version = in_force.versions.find(desired.name);
  const bool has_version = version != in_force.versions.end();
  // A file to compare with need not name its version.
  if (is_stored && !has_version) return;
  if (has_version && version->second == *file.content.version) return;
  warnings.Add(file.path + "#/version",
               "is not the version in force, " +
                   (has_version ? std::to_string(version->second) : "none") +
                   ": apply accepts it with --base only");
}

service_comparison Compare(const service& desired,
                           const services_in_force& in_force) {
  const auto stored = in_force.services.find(desired.name);
  const bool is_new = stored == in_force.services.end();
  service_comparison comparison{
      .name = desired.name,
      .changes = DiffServices(
          is_new ? service{.name = desired.name} : stored->second, desired)};
  if (is_new)
    comparison.state = comparison_state::kNew;
  else if (!comparison.changes.empty())
    comparison.state = comparison_state::kChanged;
  return comparison;
}

bool Contains(const std::vector<loaded_file>& files, const std::string& name) {
  return std::ranges::any_of(files, [&name](const loaded_file& file) {
    return file.content.value.name == name;
  });
}

void AddServicesNotInFiles(const std::vector<loaded_file>& files,
                           const services_in_force& in_force,
                           std::vector<service_comparison>& comparisons) {
  for (const auto& [name, value] : in_force.services)
    if (!value.deleted && !Contains(files, name))
      comparisons.push_back({name, comparison_state::kNotInFiles, {}});
}

void CompareWith(const services_in_force& in_force,
                 const std::vector<loaded_file>& files, check_report& report) {
  CheckOtherServices(files, in_force, report.errors);
  for (const loaded_file& file : files) {
    const service desired = DesiredService(file, in_force);
    CheckVersion(file, desired, in_force, report.warnings);
    AddWarnings(file, AdviseOnEvacuations(desired, in_force.evacuated_domains),
                report.warnings);
    report.comparisons.push_back(Compare(desired, in_force));
  }
  AddServicesNotInFiles(files, in_force, report.comparisons);
}

std::string ToText(comparison_state state) {
  switch (state) {
    case comparison_state::kNew:
      return "new";
    case comparison_state::kChanged:
      return "changed";
    case comparison_state::kUnchanged:
      return "unchanged";
    case comparison_state::kNotInFiles:
      return "not in the files";
  }
  return "";
}

std::string FormatComparison(const service_comparison& c) {
  if (c.state == comparison_state::kUnchanged) return "";
  return c.name + " is " + ToText(c.state) + "\n" + FormatChanges(c.changes);
}

exit_code ToExitCode(const check_report& report) {
  if (!report.errors.empty()) return exit_code::kFindings;
  const bool differs = std::ranges::any_of(
      report.comparisons, [](const auto& c) { return !c.changes.empty(); });
  return report.warnings.empty() && !differs ? exit_code::kDone
                                             : exit_code::kNotDone;
}

json ToJsonList(const findings& found) {
  json list = json::array();
  for (const finding& f : found.list())
    list.push_back({{"place", f.place}, {"reason", f.reason}});
  return list;
}

command_result BuildReport(const check_report& report) {
  command_result result{.code = ToExitCode(report)};
  for (const finding& f : report.errors.list())
    result.text += "error: " + f.place + ": " + f.reason + "\n";
  for (const finding& f : report.warnings.list())
    result.text += "warning: " + f.place + ": " + f.reason + "\n";
  json services = json::array();
  for (const service_comparison& c : report.comparisons) {
    result.text += FormatComparison(c);
    services.push_back({{"service", c.name},
                        {"state", ToText(c.state)},
                        {"changes", ToChangesJson(c.changes)}});
  }
  if (result.text.empty()) result.text = "no errors, warnings or differences\n";
  result.json = {{"errors", ToJsonList(report.errors)},
                 {"warnings", ToJsonList(report.warnings)},
                 {"services", std::move(services)}};
  return result;
}

}  // namespace

command_result CheckFiles(blocking_store& store, const check_options& options) {
  check_report report;
  const std::vector<loaded_file> files =
      LoadFiles(options.files, report.errors);
  services_in_force in_force;
  if (options.against == kAgainstLive) {
    failure why;
    auto stored = ReadStore(store, why);
    if (!stored) return MakeFailureResult(why);
    in_force = std::move(*stored);
  } else if (!options.against.empty()) {
    findings faults;
    in_force = ReadFiles(options.against, faults);
    if (!faults.empty()) return MakeFindingsResult(faults);
  }
  for (const loaded_file& file : files)
    AddWarnings(file, AdviseOnService(DesiredService(file, in_force)),
                report.warnings);
  if (!options.against.empty()) CompareWith(in_force, files, report);
  return BuildReport(report);
}

}  // namespace radishyard
