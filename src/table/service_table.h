// The table as a balancer holds it: the newest known record of each service.
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

/// \brief Records by service name. Copies share the records, so that a copy can
/// be handed to another thread.
///
/// Invariants: no pointer is null; a key is its record's name; the version of a
/// name never falls.
struct service_table {
  std::map<std::string, service_record_ptr> records;
};

/// \brief Outcome of ApplyRecord.
enum class apply_result : uint8_t {
  kApplied,   ///< The record is now in the set.
  kOlder,     ///< The set has a higher version.
  kSame,      ///< The set has this version.
  kRejected,  ///< The record has no name or version 0.
};

/// \brief Takes a record into the set if its version is higher than that of the
/// record held. Any order of calls with the same records ends in the same set.
///
/// A record that clashes with another service is adopted all the same, for the
/// platform accepted it, and refusing it would make the outcome depend on the
/// order of arrival. The clash is reported in `found`, and both services lose
/// the endpoints that they share.
/// \sa FindTableConflicts
apply_result ApplyRecord(service_table& set, service_record record,
                         findings& found);

/// \brief All clashes within the set. Traffic code places no new flow on a
/// shared upstream endpoint, and none for a shared service endpoint, so that no
/// packet can reach another service.
std::vector<table_conflict> FindTableConflicts(const service_table& set);

/// \brief A 64-bit digest of names and versions, independent of order; equal
/// for equal sets. The digest of the empty set is 0.
uint64_t ComputeTableDigest(const service_table& set);

/// \brief Name and version of one service.
struct service_version {
  std::string name;
  uint64_t version = 0;
  auto operator<=>(const service_version&) const = default;
};

/// \brief Names and versions, sorted by name.
std::vector<service_version> ListVersions(const service_table& set);

/// \brief The records that a peer with `versions` lacks or has in an older
/// version: the content of a corrective reply.
std::vector<service_record_ptr> FindNewerRecords(
    const service_table& set, const std::vector<service_version>& versions);

}  // namespace radishyard
