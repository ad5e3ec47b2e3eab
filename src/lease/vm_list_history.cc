// Keeps when each VM was listed last and has been missing since.
#include "lease/vm_list_history.h"

#include <utility>

namespace radishyard {

vm_list_history OnVmList(vm_list_history seen, std::span<const vm_entry> list,
                         time_point now) {
  for (auto& [name, sighting] : seen.by_name) {
    if (!sighting.missing_at) sighting.missing_at = now;
    sighting.proved_ended = now - *sighting.missing_at > kVmAbsence;
  }
  for (const vm_entry& entry : list) {
    seen.by_name[entry.name] = {now, std::nullopt, false};
  }
  return seen;
}

bool IsProvedEnded(const vm_list_history& seen, const std::string& name) {
  const auto found = seen.by_name.find(name);
  return found != seen.by_name.end() && found->second.proved_ended;
}

}  // namespace radishyard
