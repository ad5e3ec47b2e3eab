// The platform's object store as the rest of radishyard sees it: an interface,
// so that tests can put a mock in its place. The HTTP client implements it.
#pragma once
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/time.h"

namespace radishyard {

/// \brief One object of the store.
struct stored_object {
  std::string key;       ///< Such as "services/survey-link".
  std::string value;     ///< JSON text, at most 1 MB.
  uint64_t version = 0;  ///< Store-wide revision of the last write to this
                         ///< object; never falls.
  auto operator<=>(const stored_object&) const = default;
};

/// \brief What a watch or list returns: the objects changed, and the store's
/// revision then.
struct object_batch {
  std::vector<stored_object> objects;
  uint64_t revision = 0;
  auto operator<=>(const object_batch&) const = default;
};

/// \brief An entry of the platform's lagging list of VMs.
struct vm_entry {
  std::string name;
  bool leaving = false;
  auto operator<=>(const vm_entry&) const = default;
};

/// \brief Handler of an asynchronous call: the value, or nothing and the
/// reason.
template <typename T>
using store_handler = std::function<void(std::optional<T>, const failure&)>;

/// \brief Asynchronous access to the platform. Every call ends in exactly one
/// call of its handler, on the thread that runs the store's executor, never
/// inside the call itself.
///
/// kUnknown means that a write may have taken effect; the caller settles it by
/// reading back. \warning An answer to a read or a watch may be stale.
class object_store {
 public:
  virtual ~object_store() = default;
  virtual void Get(const std::string& key,
                   store_handler<stored_object> handler) = 0;
  virtual void List(const std::string& prefix,
                    store_handler<object_batch> handler) = 0;
  /// \brief Writes if the object's version is `expected`; 0 means that it must
  /// not exist. The handler gets the new version. kConflict tells that another
  /// version was found.
  virtual void Put(const std::string& key, const std::string& value,
                   uint64_t expected, store_handler<uint64_t> handler) = 0;
  /// \brief Waits up to `wait` for changes under `prefix` after `revision`; an
  /// empty batch means none.
  virtual void Watch(const std::string& prefix, uint64_t revision,
                     duration wait, store_handler<object_batch> handler) = 0;
  virtual void ListVms(store_handler<std::vector<vm_entry>> handler) = 0;
};

}  // namespace radishyard
