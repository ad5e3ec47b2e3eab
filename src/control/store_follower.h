// Follows all objects of the platform's store: lists them once, then watches
// for changes.
#pragma once
#include <functional>
#include <string>

#include "base/asio.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief A change in the store is delivered within this time, even if the
/// store has lost a watch. The rest of the 7 s in which an edit takes effect on
/// all balancers is for its way through the peers.
inline constexpr duration kStoreChangeBound = 5500ms;

/// \brief Calls a handler for every object in the replies of the store, old or
/// new.
///
/// A single pending watch covers all kinds of objects. Its wait is short,
/// because a watch that the store has lost looks like one without changes.
/// After a failure, or a reply with an older revision or a repeated event, the
/// follower lists all objects again. The handler has to decide which version of
/// an object is newer, because a reply may be stale.
class store_follower {
 public:
  using object_handler = std::function<void(const stored_object&)>;
  using reachability_handler = std::function<void(bool reachable)>;

  store_follower(asio::io_context& io, object_store& store,
                 object_handler on_object,
                 reachability_handler on_reachability);

  /// \brief Starts or resumes; without effect while it is already following.
  void Start();
  /// \brief Stops after the pending watch has returned.
  /// \sa Start()
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
