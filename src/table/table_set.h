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

using record_pointer = std::shared_ptr<const service_record>;

/// \brief Records by service name. Copies share the records, so that a copy can
/// be handed to another thread.
///
/// Invariants: no pointer is null; a key is its record's name; the version of a
/// name never falls.
struct table_set {
  std::map<std::string, record_pointer> records;
};

/// \brief Outcome of Adopt.
enum class adoption : uint8_t {
  kAdopted,   ///< The record is now in the set.
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
/// \sa Clashes
adoption Adopt(table_set& set, service_record record, findings& found);

/// \brief All clashes within the set. Traffic code places no new flow on a
/// shared upstream endpoint, and none for a shared service endpoint, so that no
/// packet can reach another service.
std::vector<clash> Clashes(const table_set& set);

/// \brief A 64-bit digest of names and versions, independent of order; equal
/// for equal sets. The digest of the empty set is 0.
uint64_t Digest(const table_set& set);

/// \brief Name and version of one service.
struct service_version {
  std::string name;
  uint64_t version = 0;
  auto operator<=>(const service_version&) const = default;
};

/// \brief Names and versions, sorted by name.
std::vector<service_version> Versions(const table_set& set);

/// \brief The records that a peer with `versions` lacks or has in an older
/// version: the content of a corrective reply.
std::vector<record_pointer> NewerThan(
    const table_set& set, const std::vector<service_version>& versions);

}  // namespace radishyard
