// Decides which VMs have ended from the platform's list of VMs, which lags
// behind, so that the runs of their balancers can be removed from the roster.
#pragma once
#include <map>
#include <optional>
#include <span>
#include <string>

#include "base/time.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief A VM that is missing from the platform's list for longer than this
/// has ended. It assumes that the list lags by less, and that a VM that the
/// platform omits by mistake is listed again within this time.
constexpr duration kVmAbsenceTimeout = 60s;

/// \brief For each VM, when the lists that one balancer received contained it.
struct vm_list_history {
  struct vm_record {
    time_point listed_at;  ///< When the latest list with the VM was received.
    std::optional<time_point> missing_since;  ///< When the first list without
                                              ///< it was received since then.
    bool has_ended = false;
    auto operator<=>(const vm_record&) const = default;
  };
  std::map<std::string, vm_record> by_name;
  auto operator<=>(const vm_list_history&) const = default;
};

/// \brief Records a received list. A VM that no list contained gets no entry,
/// so it never counts as ended.
vm_list_history RecordVmList(vm_list_history history,
                             std::span<const vm_entry> list, time_point now);

/// \brief True if the VM was listed once, and all lists that were received over
/// more than kVmAbsenceTimeout lack it. Its run may then be removed from the
/// roster.
/// \sa RemoveMember
bool HasVmEnded(const vm_list_history& history, const std::string& name);

}  // namespace radishyard
