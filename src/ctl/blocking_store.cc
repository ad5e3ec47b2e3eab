// Runs the store's executor in the caller's thread.
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
    const std::function<void(store_handler<T>)>& start, failure_kind no_answer,
    failure& why) {
  struct answer {
    bool has_come = false;
    std::optional<T> value;
    failure why;
  };
  // Shared with the handler, which may outlive this call.
  const auto pending = std::make_shared<answer>();
  start([pending](std::optional<T> value, const failure& reason) {
    *pending = {true, std::move(value), reason};
  });
  const time_point end = std::chrono::steady_clock::now() + timeout_;
  io_.restart();
  while (!pending->has_come && io_.run_one_until(end) > 0) {
  }
  if (!pending->has_come) {
    why = {no_answer, "the platform did not answer in time"};
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
