// Evacuations of failure domains, as operators request them: one record for
// each domain, in the store beside the services. While a domain is evacuated,
// no new flow is placed on its upstreams; their states in the table are
// unchanged. It addresses the load of a domain that is to be taken down, or
// that has become unreliable.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "table/service_table.h"
#include "table/table_json.h"

namespace radishyard {

/// \brief The latest request for one failure domain.
struct evacuation_record {
  std::string domain;
  bool evacuated = false;  ///< False once the domain is restored: the record is
                           ///< kept, so that its version keeps increasing.
  uint64_t version = 0;    ///< Version of the object in the store.
  std::string edit_id;     ///< As service_record::edit_id.
  std::vector<earlier_edit> earlier_edits;  ///< Newest first.
  auto operator<=>(const evacuation_record&) const = default;
};

/// \brief The newest record of each domain that a balancer has received.
///
/// Invariants: a key is the domain of its record; the version of a domain never
/// decreases.
struct evacuation_table {
  std::map<std::string, evacuation_record> records;
};

/// \brief Stores a record if its version is higher than that of the present
/// one. Any order of calls with the same records leads to the same table.
apply_result ApplyEvacuation(evacuation_table& table, evacuation_record record);

/// \brief The domains that are evacuated now.
std::set<std::string> EvacuatedDomains(const evacuation_table& table);

/// \brief Computes a 64-bit digest of domains and versions, as
/// ComputeTableDigest(). The digest of the empty table is 0.
uint64_t ComputeEvacuationDigest(const evacuation_table& table);

/// \brief Lists the domains, as names, with their versions.
std::vector<service_version> ListEvacuationVersions(
    const evacuation_table& table);

/// \brief Finds the records that a peer with `versions` lacks or has in an
/// older version.
std::vector<evacuation_record> FindNewerEvacuations(
    const evacuation_table& table,
    const std::vector<service_version>& versions);

/// \brief The prefix of the keys of all evacuations.
inline constexpr std::string_view kEvacuationKeyPrefix = "evacuations/";

/// \brief The key of a domain's object in the store.
std::string ToEvacuationKey(const std::string& domain);

/// \brief Reads the value of the store's object `evacuations/DOMAIN`.
/// \param version version of that object.
/// \returns nothing, with all faults in `found`, if it is malformed.
std::optional<evacuation_record> ParseEvacuation(std::string_view json,
                                                 uint64_t version,
                                                 findings& found);

/// \brief Converts a record to the value of its object. The version is not part
/// of it; only the first kMaxEarlierEdits earlier edits are written.
std::string ToJson(const evacuation_record& record);

}  // namespace radishyard
