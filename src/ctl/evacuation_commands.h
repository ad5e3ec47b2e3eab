// The commands `evacuate` and `restore`: requests that no new flow be placed on
// the upstreams of a failure domain, and their end.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ctl/apply.h"
#include "ctl/blocking_store.h"
#include "ctl/command_result.h"
#include "table/evacuation_table.h"

namespace radishyard {

/// \brief An object of the store under kEvacuationKeyPrefix.
struct stored_evacuation {
  std::string domain;        ///< By its key.
  uint64_t version = 0;      ///< Version of the object.
  findings faults;           ///< Why it has no effect; empty if it is valid.
  evacuation_record record;  ///< If it is valid.
};

/// \brief Reads all evacuations, with those that are malformed. \returns
/// nothing on failure, with the reason in `why`.
std::optional<std::vector<stored_evacuation>> ReadEvacuations(
    blocking_store& store, failure& why);

/// \brief Writes the request that `domain` be evacuated or, if `evacuated` is
/// false, restored. If another edit comes first, the request is made again on
/// top of it. A malformed record is replaced.
command_result SetEvacuation(blocking_store& store, const std::string& domain,
                             bool evacuated, const edit_id_source& new_edit_id);

/// \brief As SettleEdit(), for an edit of the evacuation of `domain`.
command_result SettleEvacuation(blocking_store& store,
                                const std::string& edit_id,
                                const std::string& domain,
                                std::optional<uint64_t> after);

}  // namespace radishyard
