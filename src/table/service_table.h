// The table of a balancer: the newest record of each service that it has
// received.
#pragma once
#include <compare>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/finding.h"
#include "table/service.h"
#include "table/table_check.h"

namespace radishyard {

using service_record_ptr = std::shared_ptr<const service_record>;

/// \brief Records by service name. Copies share the immutable records, so that
/// a copy can be passed to another thread.
///
/// Invariants: no pointer is null; a key is the name of its record; the version
/// of a service never decreases.
struct service_table {
  std::map<std::string, service_record_ptr> records;
};

/// \brief Result of ApplyRecord.
enum class apply_result : uint8_t {
  kApplied,   ///< The record is now in the table.
  kOlder,     ///< The table has a higher version of the service.
  kSame,      ///< The table has this version of the service.
  kRejected,  ///< The record has no name or version 0.
};

/// \brief Stores a record in the table if its version is higher than that of
/// the present record. Any order of calls with the same records leads to the
/// same table.
///
/// A record that conflicts with another service is stored as well: the platform
/// has accepted it, and if it were rejected, the result would depend on the
/// order of arrival. The conflict is reported in `found`, and neither service
/// uses the endpoints that they share.
/// \sa FindTableConflicts
apply_result ApplyRecord(service_table& table, service_record record,
                         findings& found);

/// \brief Finds all conflicts within the table. No new flow is placed on an
/// upstream endpoint or accepted at a service endpoint that two services share,
/// so that no packet can reach the wrong service.
std::vector<table_conflict> FindTableConflicts(const service_table& table);

/// \brief Computes a 64-bit digest of names and versions. It does not depend on
/// their order and is equal for equal tables. The digest of the empty table is
/// 0.
uint64_t ComputeTableDigest(const service_table& table);

/// \brief Name and version of one service.
struct service_version {
  std::string name;
  uint64_t version = 0;
  auto operator<=>(const service_version&) const = default;
};

/// \brief Lists the names and versions in the table, sorted by name.
std::vector<service_version> ListVersions(const service_table& table);

/// \brief Finds the records that a peer with `versions` lacks or has in an
/// older version. They are the reply to its table_digest.
std::vector<service_record_ptr> FindNewerRecords(
    const service_table& table, const std::vector<service_version>& versions);

}  // namespace radishyard
