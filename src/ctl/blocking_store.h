// Blocking calls to the object store, for a tool that makes one call at a time.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "base/asio.h"
#include "base/failure.h"
#include "base/time.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief Makes each call to the store block: runs `io` on the calling thread
/// until the call has completed or its timeout has expired.
///
/// \code
/// failure why;
/// const auto object = store.Get("services/survey-link", why);
/// if (!object) std::cerr << why.text;
/// \endcode
class blocking_store {
 public:
  /// \param timeout for each call. It applies in addition to any timeout of the
  /// store itself.
  blocking_store(object_store& store, asio::io_context& io, duration timeout);

  std::optional<stored_object> Get(const std::string& key, failure& why);
  std::optional<object_batch> List(const std::string& prefix, failure& why);
  /// \brief As object_store::Put. If the timeout expires, `why` is kUnknown,
  /// since the write may have taken effect.
  std::optional<uint64_t> Put(const std::string& key, const std::string& value,
                              uint64_t expected, failure& why);

  /// \brief Waits for `d`. Handlers of calls in progress continue to run.
  void Sleep(duration d);

 private:
  /// \param timeout_kind kind of the failure if the timeout expires.
  template <typename T>
  std::optional<T> Wait(const std::function<void(store_handler<T>)>& start_call,
                        failure_kind timeout_kind, failure& why);

  object_store& store_;
  asio::io_context& io_;
  duration timeout_;
};

}  // namespace radishyard
