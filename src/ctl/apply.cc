// Implements the command `apply`: checks all files first, then writes service
// by service.
#include "ctl/apply.h"

#include <map>
#include <optional>
#include <utility>

#include "ctl/edit.h"
#include "ctl/outcome_report.h"
#include "ctl/service_files.h"
#include "ctl/service_merge.h"

namespace radishyard {
namespace {

constexpr int kMaxMergeAttempts = 5;

using service_map = std::map<std::string, service>;
using file_map = std::map<std::string, service_file>;

// The state of a service from which the operator made an edit.
struct edit_origin {
  // Value that the edit started from; empty if unknown. Base of a merge.
  std::optional<service> value;
  // Version that the edit started from; empty if unknown.
  std::optional<uint64_t> version;
};

// Returns the service of a file. Upstreams without a state in the file keep the
// state that they have in the store.
service FillUpstreamStates(const service_file& file,
                           const std::optional<stored_service>& stored) {
  return stored ? InheritUpstreamStates(file, stored->record.value)
                : file.value;
}

edit_origin FindOrigin(const loaded_file& file, const file_map& bases,
                       const std::optional<stored_service>& stored) {
  const auto it = bases.find(file.content.value.name);
  if (it != bases.end())
    return {FillUpstreamStates(it->second, stored), file.content.version};
  const uint64_t version = stored ? stored->record.version : 0;
  const uint64_t seen_version = file.content.version.value_or(version);
  edit_origin origin{std::nullopt, seen_version};
  if (stored && seen_version == version) origin.value = stored->record.value;
  return origin;
}

bool IsUnchangedSince(const edit_origin& origin,
                      const std::optional<stored_service>& stored) {
  if (!stored) return origin.version.value_or(0) == 0;
  if (origin.value && *origin.value == stored->record.value) return true;
  return !origin.value && origin.version == stored->record.version;
}

service_outcome BuildConflictOutcome(
    const service& desired, const edit_origin& origin,
    const std::optional<stored_service>& stored) {
  service_outcome out;
  out.name = desired.name;
  out.edit.state = edit_state::kNotAccepted;
  out.edit.base_version = origin.version.value_or(0);
  out.edit.version = stored ? stored->record.version : 0;
  out.edit.why = {failure_kind::kConflict,
                  "the service was changed in the meantime"};
  if (!stored) return out;
  out.changes = DiffServices(stored->record.value, desired);
  return out;
}

// Applies one file. Reads the service again after each conflicting write and
// tries again.
class file_edit {
 public:
  file_edit(blocking_store& store, const loaded_file& file,
            const file_map& bases, bool merge)
      : store_(store), file_(file), bases_(bases), merge_(merge) {}

  service_outcome Run(const edit_id_source& new_edit_id) {
    for (int attempt = 0; attempt < kMaxMergeAttempts; ++attempt) {
      failure why;
      stored_ = ReadService(store_, Name(), why);
      if (!stored_ && why.kind != failure_kind::kNotFound)
        return MakeFailureOutcome(why);
      desired_ = FillUpstreamStates(file_.content, stored_);
      if (!origin_) origin_ = FindOrigin(file_, bases_, stored_);
      findings conflicts;
      const std::optional<service> new_value = ComputeNewValue(conflicts);
      if (!new_value) return MakeConflictOutcome(conflicts);
      if (stored_ && stored_->record.value == *new_value)
        return MakeUnchangedOutcome();
      service_outcome out{
          Name(),
          SubmitEdit(store_, *new_value, stored_, new_edit_id()),
          {},
          {}};
      if (out.edit.why.kind != failure_kind::kConflict) return out;
      if (out.edit.state != edit_state::kNotAccepted) return out;
    }
    return MakeConflictOutcome({});
  }

 private:
  const std::string& Name() const { return file_.content.value.name; }

  // Returns the value to write: that of the file or, if the store has changed
  // since the edit's origin, its merge with the stored value. Returns nothing
  // if a merge is not requested or not possible.
  std::optional<service> ComputeNewValue(findings& conflicts) const {
    if (stored_ && stored_->record.value == desired_) return desired_;
    if (IsUnchangedSince(*origin_, stored_)) return desired_;
    if (!merge_ || !stored_ || !origin_->value) return std::nullopt;
    return MergeServices(*origin_->value, desired_, stored_->record.value,
                         conflicts);
  }

  service_outcome MakeFailureOutcome(const failure& why) const {
    service_outcome out;
    out.name = Name();
    out.edit.state = edit_state::kNotAccepted;
    out.edit.why = why;
    return out;
  }

  service_outcome MakeConflictOutcome(const findings& conflicts) const {
    service_outcome out = BuildConflictOutcome(desired_, *origin_, stored_);
    out.conflicts = conflicts;
    return out;
  }

  service_outcome MakeUnchangedOutcome() const {
    service_outcome out;
    out.name = Name();
    out.edit.state = edit_state::kUnchanged;
    out.edit.version = stored_->record.version;
    return out;
  }

  blocking_store& store_;
  const loaded_file& file_;
  const file_map& bases_;
  bool merge_;
  std::optional<stored_service> stored_;
  // The service of the file, with upstream states completed from the store.
  service desired_;
  // Determined at the first read only, so that an edit of another operator
  // between two attempts is merged or reported as a conflict.
  std::optional<edit_origin> origin_;
};

// Returns the services as they would be after the files are applied: those of
// the store, each replaced by the service of the same name from the files.
std::vector<service> ComputeResultingTable(
    const std::vector<stored_service>& stored,
    const std::vector<loaded_file>& files) {
  service_map result;
  for (const stored_service& s : stored)
    result[s.record.value.name] = s.record.value;
  for (const loaded_file& file : files)
    result[file.content.value.name] = file.content.value;
  std::vector<service> services;
  services.reserve(result.size());
  for (auto& [name, value] : result) services.push_back(std::move(value));
  return services;
}

file_map LoadBases(const std::string& path, findings& found) {
  file_map bases;
  if (path.empty()) return bases;
  for (const loaded_file& file : LoadFiles({path}, found))
    bases[file.content.value.name] = file.content;
  return bases;
}

}  // namespace

command_result ApplyFiles(blocking_store& store, const apply_options& options,
                          const edit_id_source& new_edit_id) {
  findings found;
  const std::vector<loaded_file> files = LoadFiles(options.files, found);
  const file_map bases = LoadBases(options.base, found);
  if (!found.empty()) return MakeFindingsResult(found);
  failure why;
  const auto stored = ReadServices(store, why);
  if (!stored) return MakeFailureResult(why);
  CheckConflicts(files, ComputeResultingTable(*stored, files), found);
  if (!found.empty()) return MakeFindingsResult(found);

  std::vector<service_outcome> outcomes;
  for (const loaded_file& file : files) {
    file_edit edit(store, file, bases, options.merge);
    outcomes.push_back(edit.Run(new_edit_id));
  }
  return BuildOutcomeReport(outcomes);
}

}  // namespace radishyard
