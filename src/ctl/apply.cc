// Checks first, then writes service by service.
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

// What an edit starts from, as far as its operator saw it.
struct edit_origin {
  std::optional<service> value;     // Base of a merge, where known.
  std::optional<uint64_t> version;  // Version seen, where named.
};

// The service of a file, with the states that it leaves open as stored.
service Complete(const service_file& file,
                 const std::optional<stored_service>& stored) {
  return stored ? InheritUpstreamStates(file, stored->record.value)
                : file.value;
}

edit_origin OriginOf(const named_file& file, const file_map& bases,
                     const std::optional<stored_service>& stored) {
  const auto it = bases.find(file.content.value.name);
  if (it != bases.end())
    return {Complete(it->second, stored), file.content.version};
  const uint64_t version = stored ? stored->record.version : 0;
  const uint64_t seen = file.content.version.value_or(version);
  edit_origin origin{std::nullopt, seen};
  if (stored && seen == version) origin.value = stored->record.value;
  return origin;
}

bool IsSameOrigin(const edit_origin& origin,
                  const std::optional<stored_service>& stored) {
  if (!stored) return origin.version.value_or(0) == 0;
  if (origin.value && *origin.value == stored->record.value) return true;
  return !origin.value && origin.version == stored->record.version;
}

service_outcome Conflict(const service& mine, const edit_origin& origin,
                         const std::optional<stored_service>& stored) {
  service_outcome out;
  out.name = mine.name;
  out.edit.state = edit_state::kNotAccepted;
  out.edit.expected = origin.version.value_or(0);
  out.edit.version = stored ? stored->record.version : 0;
  out.edit.why = {failure_kind::kConflict, "the service was changed meanwhile"};
  if (!stored) return out;
  out.changes = DiffServices(stored->record.value, mine);
  return out;
}

// Applies one file; reads the store again after each conflict.
class file_edit {
 public:
  file_edit(blocking_store& store, const named_file& file,
            const file_map& bases, bool merge)
      : store_(store), file_(file), bases_(bases), merge_(merge) {}

  service_outcome Run(const edit_id_source& new_edit_id) {
    for (int attempt = 0; attempt < kMaxMergeAttempts; ++attempt) {
      failure why;
      stored_ = ReadService(store_, Name(), why);
      if (!stored_ && why.kind != failure_kind::kNotFound) return Failed(why);
      mine_ = Complete(file_.content, stored_);
      if (!origin_) origin_ = OriginOf(file_, bases_, stored_);
      findings conflicts;
      const std::optional<service> wanted = Wanted(conflicts);
      if (!wanted) return Refused(conflicts);
      if (stored_ && stored_->record.value == *wanted) return Unchanged();
      service_outcome out{
          Name(), SubmitEdit(store_, *wanted, stored_, new_edit_id()), {}, {}};
      if (out.edit.why.kind != failure_kind::kConflict) return out;
      if (out.edit.state != edit_state::kNotAccepted) return out;
    }
    return Refused({});
  }

 private:
  const std::string& Name() const { return file_.content.value.name; }

  // The value to write: the file's, or its merge with what the store has.
  std::optional<service> Wanted(findings& conflicts) const {
    if (stored_ && stored_->record.value == mine_) return mine_;
    if (IsSameOrigin(*origin_, stored_)) return mine_;
    if (!merge_ || !stored_ || !origin_->value) return std::nullopt;
    return MergeServices(*origin_->value, mine_, stored_->record.value,
                         conflicts);
  }

  service_outcome Failed(const failure& why) const {
    service_outcome out;
    out.name = Name();
    out.edit.state = edit_state::kNotAccepted;
    out.edit.why = why;
    return out;
  }

  service_outcome Refused(const findings& conflicts) const {
    service_outcome out = Conflict(mine_, *origin_, stored_);
    out.conflicts = conflicts;
    return out;
  }

  service_outcome Unchanged() const {
    service_outcome out;
    out.name = Name();
    out.edit.state = edit_state::kUnchanged;
    out.edit.version = stored_->record.version;
    return out;
  }

  blocking_store& store_;
  const named_file& file_;
  const file_map& bases_;
  bool merge_;
  std::optional<stored_service> stored_;
  service mine_;  // What the file asks for, given the store.
  std::optional<edit_origin> origin_;  // Fixed at the first read.
};

// The services of the store, with those of the files in their place.
std::vector<service> Resulting(const std::vector<stored_service>& stored,
                               const std::vector<named_file>& files) {
  service_map result;
  for (const stored_service& s : stored)
    result[s.record.value.name] = s.record.value;
  for (const named_file& file : files)
    result[file.content.value.name] = file.content.value;
  std::vector<service> services;
  services.reserve(result.size());
  for (auto& [name, value] : result) services.push_back(std::move(value));
  return services;
}

file_map LoadBases(const std::string& path, findings& found) {
  file_map bases;
  if (path.empty()) return bases;
  for (const named_file& file : LoadFiles({path}, found))
    bases[file.content.value.name] = file.content;
  return bases;
}

}  // namespace

command_result ApplyFiles(blocking_store& store, const apply_options& options,
                          const edit_id_source& new_edit_id) {
  findings found;
  const std::vector<named_file> files = LoadFiles(options.files, found);
  const file_map bases = LoadBases(options.base, found);
  if (!found.empty()) return FoundFaults(found);
  failure why;
  const auto stored = ReadServices(store, why);
  if (!stored) return FailedBy(why);
  CheckConflicts(files, Resulting(*stored, files), found);
  if (!found.empty()) return FoundFaults(found);

  std::vector<service_outcome> outcomes;
  for (const named_file& file : files) {
    file_edit one(store, file, bases, options.merge);
    outcomes.push_back(one.Run(new_edit_id));
  }
  return Report(outcomes);
}

}  // namespace radishyard
