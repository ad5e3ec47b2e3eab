// Interface to the claims in the platform's store; see start_claim.h. Tests
// replace the implementation.
#pragma once
#include <string>
#include <vector>

#include "direct/start_limit/start_claim.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief An object of the store that claims the grants of one incarnation.
struct stored_claim {
  std::string name;   ///< See ToClaimName().
  std::string owner;  ///< Text that only the process that created it uses.
  auto operator<=>(const stored_claim&) const = default;
};

/// \brief Asynchronous access to the claims. Each function calls its handler
/// exactly once, and only after it has returned.
class claim_store {
 public:
  virtual ~claim_store() = default;
  /// \brief Creates a claim. It fails with kConflict if the object exists, with
  /// kUnknown if it may have been created, and otherwise with another kind. No
  /// reply to another call may be taken for the reply to this one.
  virtual void CreateClaim(const stored_claim& claim,
                           store_handler<bool> handler) = 0;
  virtual void ListClaims(store_handler<std::vector<stored_claim>> handler) = 0;
  virtual void DeleteClaim(const std::string& name,
                           store_handler<bool> handler) = 0;
};

}  // namespace radishyard
