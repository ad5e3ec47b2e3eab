// Implements blocking calls by running the store's executor on the calling
// thread.
#include "ctl/blocking_store.h"

#include <chrono>
#include <memory>
#include <utility>

namespace radishyard {

blocking_store::blocking_store(object_store& store, asio::io_context& io,
                               duration timeout)
    : store_(store), io_(io), timeout_(timeout) {}

template <typename T>
std::optional<T> blocking_store::Wait(
    const std::function<void(store_handler<T>)>& start_call,
    failure_kind timeout_kind, failure& why) {
  struct call_result {
    bool is_complete = false;
    std::optional<T> value;
    failure why;
  };
  // Shared with the handler, which may be called after Wait() has returned.
  const auto pending = std::make_shared<call_result>();
  start_call([pending](std::optional<T> value, const failure& reason) {
    *pending = {true, std::move(value), reason};
  });
  const time_point deadline = std::chrono::steady_clock::now() + timeout_;
  io_.restart();
  while (!pending->is_complete && io_.run_one_until(deadline) > 0) {
  }
  if (!pending->is_complete) {
    why = {timeout_kind, "the platform did not respond before the timeout"};
    return std::nullopt;
  }
  if (!pending->value) why = pending->why;
  return std::move(pending->value);
}

std::optional<stored_object> blocking_store::Get(const std::string& key,
                                                 failure& why) {
  return Wait<stored_object>(
      [&](auto handler) { store_.Get(key, std::move(handler)); },
      failure_kind::kUnavailable, why);
}

std::optional<object_batch> blocking_store::List(const std::string& prefix,
                                                 failure& why) {
  return Wait<object_batch>(
      [&](auto handler) { store_.List(prefix, std::move(handler)); },
      failure_kind::kUnavailable, why);
}

std::optional<uint64_t> blocking_store::Put(const std::string& key,
                                            const std::string& value,
                                            uint64_t expected, failure& why) {
  return Wait<uint64_t>(
      [&](auto handler) {
        store_.Put(key, value, expected, std::move(handler));
      },
      failure_kind::kUnknown, why);
}

void blocking_store::Sleep(duration d) {
  bool is_over = false;
  asio::steady_timer timer(io_, d);
  timer.async_wait([&is_over](error_code) { is_over = true; });
  io_.restart();
  while (!is_over && io_.run_one() > 0) {
  }
}

}  // namespace radishyard
