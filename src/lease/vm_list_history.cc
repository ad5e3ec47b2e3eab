// Records when each VM was last listed, and since when it is missing.
#include "lease/vm_list_history.h"

#include <utility>

namespace radishyard {

vm_list_history RecordVmList(vm_list_history history,
                             std::span<const vm_entry> list, time_point now) {
  for (auto& [name, record] : history.by_name) {
    if (!record.missing_since) record.missing_since = now;
    record.has_ended = now - *record.missing_since > kVmAbsenceTimeout;
  }
  for (const vm_entry& entry : list) {
    history.by_name[entry.name] = {now, std::nullopt, false};
  }
  return history;
}

bool HasVmEnded(const vm_list_history& history, const std::string& name) {
  const auto found = history.by_name.find(name);
  return found != history.by_name.end() && found->second.has_ended;
}

}  // namespace radishyard
