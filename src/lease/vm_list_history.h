// Proof that a balancer's run has ended, from the platform's lagging list of
// VMs.
#pragma once
#include <map>
#include <optional>
#include <span>
#include <string>

#include "base/time.h"
#include "store/object_store.h"

namespace radishyard {

/// A VM that the platform has left out of its list for so long has ended.
/// Assumption on the platform: the list lags by less than this, and a VM that
/// it leaves out by mistake comes back within it.
constexpr duration kVmAbsence = 60s;

/// \brief When the platform's list showed each VM, as one balancer saw it.
struct vm_list_history {
  struct sighting {
    time_point listed_at;                  ///< Latest list that had the VM.
    std::optional<time_point> missing_at;  ///< First list since without it.
    bool proved_ended = false;
    auto operator<=>(const sighting&) const = default;
  };
  std::map<std::string, sighting> by_name;
  auto operator<=>(const vm_list_history&) const = default;
};

/// \brief A list arrived. VMs never listed are not known, and so never proved
/// ended.
vm_list_history OnVmList(vm_list_history seen, std::span<const vm_entry> list,
                         time_point now);

/// \brief True where the VM was listed before, and all lists of the last
/// kVmAbsence or longer were without it. Its run may then leave the roster.
/// \sa RemoveMember
bool IsProvedEnded(const vm_list_history& seen, const std::string& name);

}  // namespace radishyard
