// Reads and writes the evacuations in the store.
#include "ctl/evacuation_commands.h"

#include <algorithm>
#include <utility>

#include "ctl/edit.h"
#include "ctl/outcome_report.h"
#include "table/json_read.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr int kMaxEditAttempts = 8;

stored_evacuation DecodeEvacuation(const stored_object& object) {
  stored_evacuation stored;
  stored.domain = object.key.substr(
      std::min(object.key.size(), kEvacuationKeyPrefix.size()));
  stored.version = object.version;
  std::optional<evacuation_record> record =
      ParseEvacuation(object.value, object.version, stored.faults);
  if (record && record->domain != stored.domain)
    stored.faults.Add("/domain", "is not the domain of the key");
  if (record && stored.faults.empty()) stored.record = std::move(*record);
  return stored;
}

std::optional<stored_evacuation> ReadEvacuation(blocking_store& store,
                                                const std::string& domain,
                                                failure& why) {
  const std::optional<stored_object> object =
      store.Get(ToEvacuationKey(domain), why);
  if (!object) return std::nullopt;
  return DecodeEvacuation(*object);
}

std::vector<earlier_edit> EditsBefore(
    const std::optional<stored_evacuation>& base) {
  if (!base) return {};
  std::vector<earlier_edit> edits{{base->record.edit_id, base->version}};
  edits.insert(edits.end(), base->record.earlier_edits.begin(),
               base->record.earlier_edits.end());
  return edits;
}

std::optional<edit_history> ReadHistory(blocking_store& store,
                                        const std::string& domain) {
  failure ignored;
  const auto stored = ReadEvacuation(store, domain, ignored);
  if (!stored || !stored->faults.empty()) return std::nullopt;
  return edit_history{stored->record.edit_id, stored->version,
                      stored->record.earlier_edits};
}

// The report on an edit. Its `name` is the key of the object, so that `settle`
// accepts it and it differs from that of any service.
command_result BuildReport(const std::string& domain,
                           const edit_outcome& edit) {
  command_result result =
      BuildOutcomeReport({{ToEvacuationKey(domain), edit, {}, {}}});
  json row = std::move(result.json["services"][0]);
  for (const char* unused : {"service", "conflicts", "changes"})
    row.erase(unused);
  row["domain"] = domain;
  result.json = {{"evacuations", json::array({std::move(row)})}};
  return result;
}

edit_outcome WriteEvacuation(blocking_store& store, const std::string& domain,
                             bool evacuated,
                             const std::optional<stored_evacuation>& base,
                             const std::string& edit_id) {
  evacuation_record next{domain, evacuated, 0, edit_id, EditsBefore(base)};
  return SubmitWrite(
      store, {ToEvacuationKey(domain), ToJson(next), base ? base->version : 0,
              edit_id, [&] { return ReadHistory(store, domain); }});
}

bool IsInState(const std::optional<stored_evacuation>& stored, bool evacuated) {
  if (!stored) return !evacuated;
  return stored->faults.empty() && stored->record.evacuated == evacuated;
}

// Warns of a domain without upstreams, which is probably misspelled. It may be
// evacuated nevertheless, before its upstreams are added.
void WarnOfUnknownDomain(blocking_store& store, const std::string& domain,
                         command_result& result) {
  failure ignored;
  const auto services = ReadServices(store, ignored);
  if (!services) return;
  for (const stored_service& s : *services) {
    for (const upstream& u : s.record.value.upstreams)
      if (u.domain == domain && !s.record.value.deleted) return;
  }
  const std::string warning = "no service has an upstream in " + domain;
  result.text += "  warning: " + warning + "\n";
  result.json["evacuations"][0]["warning"] = warning;
}

}  // namespace

std::optional<std::vector<stored_evacuation>> ReadEvacuations(
    blocking_store& store, failure& why) {
  const std::optional<object_batch> batch =
      store.List(std::string(kEvacuationKeyPrefix), why);
  if (!batch) return std::nullopt;
  std::vector<stored_evacuation> evacuations;
  for (const stored_object& object : batch->objects)
    evacuations.push_back(DecodeEvacuation(object));
  return evacuations;
}

command_result SetEvacuation(blocking_store& store, const std::string& domain,
                             bool evacuated,
                             const edit_id_source& new_edit_id) {
  if (!internal::IsValidName(domain)) {
    return MakeFailureResult(
        {failure_kind::kInvalid, "\"" + domain + "\" is not a valid domain"});
  }
  edit_outcome edit;
  for (int attempt = 0; attempt < kMaxEditAttempts; ++attempt) {
    failure why;
    const auto base = ReadEvacuation(store, domain, why);
    if (!base && why.kind != failure_kind::kNotFound)
      return MakeFailureResult(why);
    if (IsInState(base, evacuated)) {
      edit = {edit_state::kUnchanged, base ? base->version : 0, 0, "", {}};
      break;
    }
    edit = WriteEvacuation(store, domain, evacuated, base, new_edit_id());
    const bool has_lost_race = edit.state == edit_state::kNotAccepted &&
                               edit.why.kind == failure_kind::kConflict;
    if (!has_lost_race) break;
  }
  command_result result = BuildReport(domain, edit);
  if (evacuated) WarnOfUnknownDomain(store, domain, result);
  return result;
}

command_result SettleEvacuation(blocking_store& store,
                                const std::string& edit_id,
                                const std::string& domain,
                                std::optional<uint64_t> after) {
  edit_outcome edit;
  edit.edit_id = edit_id;
  edit.base_version = after.value_or(0);
  failure why;
  const auto stored = ReadEvacuation(store, domain, why);
  if (!stored && why.kind != failure_kind::kNotFound)
    return MakeFailureResult(why);
  if (stored && stored->faults.empty()) {
    const auto resolved =
        ResolveEdit(edit_history{stored->record.edit_id, stored->version,
                                 stored->record.earlier_edits},
                    edit_id, edit.base_version);
    if (resolved && (after || resolved->state == edit_state::kAccepted))
      return BuildReport(domain, *resolved);
  }
  edit.why = {failure_kind::kUnknown,
              "the store does not have this edit, but its write may still be "
              "in transit"};
  return BuildReport(domain, edit);
}

}  // namespace radishyard
