// Evacuations of failure domains: their records from the store and from peers.
#include "control/controller.h"
#include "observe/log.h"

namespace radishyard {

// Applies a record from the store. One that can't be read, or that is stored
// under the key of another domain, has no effect.
void controller::ApplyEvacuationObject(const stored_object& object) {
  findings found;
  const std::optional<evacuation_record> record =
      ParseEvacuation(object.value, object.version, found);
  if (record && ToEvacuationKey(record->domain) != object.key)
    found.Add("/domain", "is not the domain of the key");
  if (found.empty()) {
    ApplyEvacuationRecord(object.value, object.version, true);
    return;
  }
  Log(severity::kWarn, "evacuation_malformed",
      {{"key", object.key},
       {"version", object.version},
       {"findings", found.Text()}});
}

// Applies a record if it is newer, and forwards it as ApplyServiceRecord().
void controller::ApplyEvacuationRecord(const std::string& value,
                                       uint64_t version, bool forward) {
  findings found;
  std::optional<evacuation_record> record =
      ParseEvacuation(value, version, found);
  if (!record) {
    Log(severity::kWarn, "evacuation_malformed",
        {{"version", version}, {"findings", found.Text()}});
    return;
  }
  record->earlier_edits.clear();  // Only editors need them.
  const evacuation_record applied = *record;
  if (ApplyEvacuation(evacuations_, std::move(*record)) !=
      apply_result::kApplied)
    return;
  Log(severity::kInfo,
      applied.evacuated ? "domain_evacuated" : "domain_restored",
      {{"domain", applied.domain},
       {"version", version},
       {"edit", applied.edit_id}});
  view_outdated_ = true;
  if (!forward) return;
  hub_.SendAll(table_records{{}, {{value, version, applied.edit_id}}});
}

void controller::SendEvacuations(
    peer_link& link, const std::vector<evacuation_record>& records) {
  table_records batch;
  for (const evacuation_record& record : records) {
    batch.evacuations.push_back(
        {ToJson(record), record.version, record.edit_id});
  }
  if (!batch.evacuations.empty()) link.Send(batch);
}

}  // namespace radishyard
