// One edit of one service: a conditional write that carries an id, and the
// rules by which an edit without an answer is settled.
#pragma once
#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "base/failure.h"
#include "ctl/blocking_store.h"
#include "table/service.h"
#include "table/table_json.h"

namespace radishyard {

/// \brief A service as the store holds it, with the edits before the last.
struct stored_service {
  service_record record;
  std::vector<earlier_edit> earlier;  ///< Newest first.
  auto operator<=>(const stored_service&) const = default;
};

/// \brief Reads a service; kNotFound where the store has none.
std::optional<stored_service> ReadService(blocking_store& store,
                                          const std::string& name,
                                          failure& why);

/// \brief Reads all services; kInvalid with every finding where one is
/// malformed.
std::optional<std::vector<stored_service>> ReadServices(blocking_store& store,
                                                        failure& why);

/// \brief A new random edit id: 128 bits in hexadecimal.
std::string RandomEditId();

/// \brief What became of an edit.
enum class edit_state : uint8_t {
  kAccepted,
  kUnchanged,    ///< The store already has the value; nothing was written.
  kNotAccepted,  ///< Certainly not written, now or later.
  kUnknown,      ///< Written, not written, or still on its way.
};

/// \brief Outcome of an edit. Invariant: kAccepted only where the store
/// confirmed the edit by its answer or by its id; kNotAccepted only where no
/// write of this edit can take effect any more.
struct edit_outcome {
  edit_state state = edit_state::kUnknown;
  uint64_t version = 0;   ///< Version in the store, where known.
  uint64_t expected = 0;  ///< Version that the edit was made from.
  std::string edit_id;
  failure why;  ///< Why not accepted or unknown.
};

/// \brief Writes `value` on top of `base` (nothing: the service is new).
///
/// An answer that is lost is settled by reading the id back. Where it is not
/// found, the same conditional write is sent again: it can take effect only
/// once, since it names the version that it replaces.
edit_outcome SubmitEdit(blocking_store& store, const service& value,
                        const std::optional<stored_service>& base,
                        const std::string& edit_id);

/// \brief What `now` tells about an edit of unknown outcome.
/// \param expected version that the edit was to replace; 0 for none.
/// \returns nothing where it remains unknown.
std::optional<edit_outcome> ResolveEdit(const stored_service& now,
                                        const std::string& edit_id,
                                        uint64_t expected);

}  // namespace radishyard
