// Blocking calls to the object store, for a tool that does one thing at a time.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "base/asio.h"
#include "base/failure.h"
#include "base/time.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief Runs `io` until the handler of a call has been called, or the time
/// for it is over.
///
/// \code
/// failure why;
/// const auto object = store.Get("services/survey-link", why);
/// if (!object) std::cerr << why.text;
/// \endcode
class blocking_store {
 public:
  /// \param timeout of each call, on top of any timeout of the store's own.
  blocking_store(object_store& store, asio::io_context& io, duration timeout);

  std::optional<stored_object> Get(const std::string& key, failure& why);
  std::optional<object_batch> List(const std::string& prefix, failure& why);
  /// \brief As object_store::Put; without an answer, `why` is kUnknown.
  std::optional<uint64_t> Put(const std::string& key, const std::string& value,
                              uint64_t expected, failure& why);

  /// \brief Waits, while calls in progress go on.
  void Sleep(duration d);

 private:
  template <typename T>
  std::optional<T> Wait(const std::function<void(store_handler<T>)>& start,
                        failure_kind no_answer, failure& why);

  object_store& store_;
  asio::io_context& io_;
  duration timeout_;
};

}  // namespace radishyard
