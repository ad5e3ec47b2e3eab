// The interface to the platform's object store. http_store.h implements it over
// HTTP; tests replace it by a fake.
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

/// \brief A call of a balancer that is not answered fails after this time; a
/// watch, after its wait and this time.
inline constexpr duration kStoreTimeout = 2s;

/// \brief One object of the store.
struct stored_object {
  std::string key;       ///< For example "services/survey-link".
  std::string value;     ///< JSON text, at most 1 MiB.
  uint64_t version = 0;  ///< Store-wide revision of the last write to this
                         ///< object; never decreases.
  auto operator<=>(const stored_object&) const = default;
};

/// \brief The result of a watch or list: the changed or listed objects, and the
/// revision of the store at that time.
struct object_batch {
  std::vector<stored_object> objects;
  uint64_t revision = 0;
  uint32_t rejected = 0;  ///< Objects left out because they are malformed.
  auto operator<=>(const object_batch&) const = default;
};

/// \brief An entry of the platform's list of VMs. The list lags behind the
/// actual state of the VMs.
struct vm_entry {
  std::string name;
  bool leaving = false;
  auto operator<=>(const vm_entry&) const = default;
};

/// \brief Handler of an asynchronous call. It receives the value, or nothing
/// and the failure.
template <typename T>
using store_handler = std::function<void(std::optional<T>, const failure&)>;

/// \brief Asynchronous access to the platform. Every call leads to exactly one
/// call of its handler, on the thread that runs the store's executor, and never
/// from within the call itself.
///
/// The failure kUnknown means that a write may have taken effect; the caller
/// finds out by reading the object again.
/// \warning The result of a read or a watch may be stale.
class object_store {
 public:
  virtual ~object_store() = default;
  virtual void Get(const std::string& key,
                   store_handler<stored_object> handler) = 0;
  virtual void List(const std::string& prefix,
                    store_handler<object_batch> handler) = 0;
  /// \brief Writes the object if its version is `expected_version`; 0 means
  /// that it must not exist. The handler receives the new version, or kConflict
  /// if the object has another version.
  virtual void Put(const std::string& key, const std::string& value,
                   uint64_t expected_version,
                   store_handler<uint64_t> handler) = 0;
  /// \brief Waits up to `wait` for changes under `prefix` after `revision`. An
  /// empty batch means that there were none.
  virtual void Watch(const std::string& prefix, uint64_t revision,
                     duration wait, store_handler<object_batch> handler) = 0;
  virtual void ListVms(store_handler<std::vector<vm_entry>> handler) = 0;
};

}  // namespace radishyard
