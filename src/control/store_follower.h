// Follows all objects of the platform's store: one list, then one watch after
// another.
#pragma once
#include <functional>
#include <string>

#include "base/asio.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief Calls a handler for every object that the store shows, old or new.
///
/// One waiting watch at a time serves all kinds of object. After a failure, or
/// when the revision falls back, the follower lists again. The handler decides
/// what is newer: an answer may be stale.
class store_follower {
 public:
  using object_handler = std::function<void(const stored_object&)>;
  using reachability_handler = std::function<void(bool reachable)>;

  store_follower(asio::io_context& io, object_store& store,
                 object_handler on_object,
                 reachability_handler on_reachability);

  /// \brief Begins or goes on; without effect while already following.
  void Start();
  /// \brief Ends after the watch that is waiting. \sa Start()
  void Stop() { is_requested_ = false; }

 private:
  void List();
  void Watch();
  void Retry();
  void DeliverObjects(const object_batch& batch);

  asio::steady_timer timer_;
  object_store& store_;
  object_handler on_object_;
  reachability_handler on_reachability_;
  uint64_t revision_ = 0;
  bool is_requested_ = false;
  bool is_running_ = false;
};

}  // namespace radishyard
