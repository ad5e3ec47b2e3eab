// Edits of single objects. An edit is a conditional write that carries an id.
// If the response to the write is lost, the id and the stored versions show
// whether the edit was accepted; determining that is called settling the edit.
#pragma once
#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/failure.h"
#include "ctl/blocking_store.h"
#include "table/service.h"
#include "table/table_json.h"

namespace radishyard {

/// \brief A service in the store, with the edits that preceded the last one.
struct stored_service {
  service_record record;
  std::vector<earlier_edit> earlier_edits;  ///< Newest first.
  auto operator<=>(const stored_service&) const = default;
};

/// \brief Reads a service. \returns nothing on failure, with the reason in
/// `why`: kNotFound if the store has no such service.
std::optional<stored_service> ReadService(blocking_store& store,
                                          const std::string& name,
                                          failure& why);

/// \brief Reads all services. \returns nothing on failure, with the reason in
/// `why`: kInvalid with all findings if any service is malformed.
std::optional<std::vector<stored_service>> ReadServices(blocking_store& store,
                                                        failure& why);

/// \brief Returns a new random edit id: 128 bits in hexadecimal.
std::string RandomEditId();

/// \brief State of an edit, as far as it can be determined.
enum class edit_state : uint8_t {
  kAccepted,     ///< Written to the store.
  kUnchanged,    ///< The store already has the value; nothing was written.
  kNotAccepted,  ///< Not written, and cannot be written later either.
  kUnknown,      ///< Written, not written, or still in transit.
};

/// \brief Outcome of an edit. Invariant: kAccepted only if the store confirmed
/// the edit by its response or has a record of its id; kNotAccepted only if no
/// write of this edit can take effect any more.
struct edit_outcome {
  edit_state state = edit_state::kUnknown;
  uint64_t version = 0;       ///< Version in the store; 0 if unknown.
  uint64_t base_version = 0;  ///< Version that the edit replaces; 0 for none.
  std::string edit_id;
  failure why;  ///< Why the edit is not accepted or unknown.
};

/// \brief Replaces `base` in the store by `value`; without `base`, creates the
/// service.
///
/// If the response to the write is lost, the service is read back to look for
/// the edit's id. If the id is not found, the same conditional write is sent
/// again. It can take effect only once, since it names the version that it
/// replaces.
edit_outcome SubmitEdit(blocking_store& store, const service& value,
                        const std::optional<stored_service>& base,
                        const std::string& edit_id);

/// \brief The edits that an object in the store records.
struct edit_history {
  std::string edit_id;  ///< The edit that wrote `version`.
  uint64_t version = 0;
  std::vector<earlier_edit> earlier_edits;  ///< Newest first.
  auto operator<=>(const edit_history&) const = default;
};

/// \brief A conditional write of one object that carries an edit id.
struct conditional_write {
  std::string key;
  std::string value;
  uint64_t base_version = 0;  ///< Version that it replaces; 0 for none.
  std::string edit_id;
  /// Reads the object back; nothing if it can't be read.
  std::function<std::optional<edit_history>()> read_back;
};

/// \brief Makes the write, and settles it as SubmitEdit() does.
edit_outcome SubmitWrite(blocking_store& store, const conditional_write& write);

/// \brief Determines from the stored object whether an edit of unknown outcome
/// was accepted.
/// \param base_version version that the edit was to replace; 0 for none.
/// \returns nothing if the outcome remains unknown.
std::optional<edit_outcome> ResolveEdit(const edit_history& stored,
                                        const std::string& edit_id,
                                        uint64_t base_version);

/// \brief As the overload for an edit_history.
std::optional<edit_outcome> ResolveEdit(const stored_service& stored,
                                        const std::string& edit_id,
                                        uint64_t base_version);

}  // namespace radishyard
