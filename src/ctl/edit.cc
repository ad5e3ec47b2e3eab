// Submits edits, and resolves the outcome of edits whose response was lost.
#include "ctl/edit.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <utility>

#include "table/table_json.h"

namespace radishyard {
namespace {

constexpr int kMaxPutAttempts = 5;
constexpr milliseconds kRetryDelay{50};

std::optional<stored_service> DecodeService(const stored_object& object,
                                            findings& found) {
  findings object_findings;
  std::optional<service_record> record =
      ParseRecord(object.value, object.version, object_findings);
  for (const finding& f : object_findings.list())
    found.Add(object.key + "#" + f.place, f.reason);
  if (!record) return std::nullopt;
  return stored_service{std::move(*record), ParseEarlierEdits(object.value)};
}

bool ContainsEdit(const std::vector<earlier_edit>& edits,
                  const std::string& id) {
  return std::any_of(edits.begin(), edits.end(),
                     [&](const earlier_edit& edit) { return edit.id == id; });
}

// Returns true if the edits that the record keeps show which edit replaced the
// version `base_version` or, for 0, which edit created the object.
bool RecordsReplacementOf(const edit_history& stored, uint64_t base_version) {
  if (base_version == 0) return stored.earlier_edits.size() < kMaxEarlierEdits;
  return std::any_of(
      stored.earlier_edits.begin(), stored.earlier_edits.end(),
      [&](const earlier_edit& edit) { return edit.version == base_version; });
}

edit_history HistoryOf(const stored_service& stored) {
  return {stored.record.edit_id, stored.record.version, stored.earlier_edits};
}

std::vector<earlier_edit> BuildEditHistory(
    const std::optional<stored_service>& base) {
  if (!base) return {};
  std::vector<earlier_edit> edits{{base->record.edit_id, base->record.version}};
  edits.insert(edits.end(), base->earlier_edits.begin(),
               base->earlier_edits.end());
  return edits;
}

}  // namespace

std::optional<stored_service> ReadService(blocking_store& store,
                                          const std::string& name,
                                          failure& why) {
  const std::optional<stored_object> object =
      store.Get(ToServiceKey(name), why);
  if (!object) {
    if (why.kind == failure_kind::kNotFound)
      why.text = "the store has no service " + name;
    return std::nullopt;
  }
  findings found;
  std::optional<stored_service> stored = DecodeService(*object, found);
  if (!stored) why = {failure_kind::kInvalid, found.Text()};
  return stored;
}

std::optional<std::vector<stored_service>> ReadServices(blocking_store& store,
                                                        failure& why) {
  const std::optional<object_batch> batch =
      store.List(std::string(kServiceKeyPrefix), why);
  if (!batch) return std::nullopt;
  findings found;
  std::vector<stored_service> services;
  for (const stored_object& object : batch->objects) {
    std::optional<stored_service> stored = DecodeService(object, found);
    if (stored) services.push_back(std::move(*stored));
  }
  if (found.empty()) return services;
  why = {failure_kind::kInvalid, found.Text()};
  return std::nullopt;
}

std::string RandomEditId() {
  std::random_device random;
  std::string id;
  for (int word = 0; word < 4; ++word) {
    std::array<char, 9> text{};
    std::snprintf(text.data(), text.size(), "%08x", random());
    id += text.data();
  }
  return id;
}

std::optional<edit_outcome> ResolveEdit(const edit_history& stored,
                                        const std::string& edit_id,
                                        uint64_t base_version) {
  edit_outcome outcome{
      edit_state::kAccepted, stored.version, base_version, edit_id, {}};
  if (stored.edit_id == edit_id) return outcome;
  if (ContainsEdit(stored.earlier_edits, edit_id)) {
    outcome.why.text = "replaced by a later edit since then";
    return outcome;
  }
  // A write of the edit that is still in transit cannot take effect once
  // another edit has replaced the version that the write expects.
  if (!RecordsReplacementOf(stored, base_version)) return std::nullopt;
  outcome.state = edit_state::kNotAccepted;
  outcome.why = {failure_kind::kConflict, "another edit came first"};
  return outcome;
}

std::optional<edit_outcome> ResolveEdit(const stored_service& stored,
                                        const std::string& edit_id,
                                        uint64_t base_version) {
  return ResolveEdit(HistoryOf(stored), edit_id, base_version);
}

edit_outcome SubmitWrite(blocking_store& store,
                         const conditional_write& write) {
  edit_outcome outcome;
  outcome.edit_id = write.edit_id;
  outcome.base_version = write.base_version;
  bool may_be_written = false;
  for (int attempt = 0; attempt < kMaxPutAttempts; ++attempt) {
    if (attempt > 0) store.Sleep(kRetryDelay * attempt);
    const std::optional<uint64_t> version =
        store.Put(write.key, write.value, write.base_version, outcome.why);
    if (version) {
      outcome.state = edit_state::kAccepted;
      outcome.version = *version;
      return outcome;
    }
    if (outcome.why.kind == failure_kind::kUnknown) may_be_written = true;
    if (!may_be_written) {
      outcome.state = edit_state::kNotAccepted;
      return outcome;
    }
    const std::optional<edit_history> stored = write.read_back();
    const auto resolved =
        stored ? ResolveEdit(*stored, write.edit_id, write.base_version)
               : std::nullopt;
    if (resolved) return *resolved;
  }
  outcome.why.kind = failure_kind::kUnknown;
  return outcome;
}

edit_outcome SubmitEdit(blocking_store& store, const service& value,
                        const std::optional<stored_service>& base,
                        const std::string& edit_id) {
  const auto read_back = [&]() -> std::optional<edit_history> {
    failure ignored;
    const std::optional<stored_service> stored =
        ReadService(store, value.name, ignored);
    if (!stored) return std::nullopt;
    return HistoryOf(*stored);
  };
  return SubmitWrite(store,
                     {ToServiceKey(value.name),
                      ToRecordJson(value, edit_id, BuildEditHistory(base)),
                      base ? base->record.version : 0, edit_id, read_back});
}

}  // namespace radishyard
