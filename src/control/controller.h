// The control thread: follows table and rosters, keeps this balancer listed,
// moves pools, and publishes routing views to the traffic threads.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/asio.h"
#include "control/roster_keeper.h"
#include "control/store_follower.h"
#include "control/view_builder.h"
#include "roster/assign.h"
#include "settings/settings.h"
#include "store/object_store.h"
#include "table/table_set.h"

namespace radishyard {

/// \brief The control state of one balancer.
/// \warning All members run on the thread of `io`.
class controller {
 public:
  using publish_handler =
      std::function<void(std::shared_ptr<const routing_view>)>;

  /// \param incarnation of this run; higher than that of any earlier run of the
  /// same name.
  controller(asio::io_context& io, object_store& store, const settings& config,
             uint64_t incarnation, publish_handler publish);

  void Start();

  /// \brief Marks this balancer as leaving; `done` is called once it serves no
  /// pool any more.
  void Leave(std::function<void()> done);

  const member& self() const { return self_; }
  const table_set& table() const { return table_; }
  const roster_keeper& rosters() const { return rosters_; }
  const std::set<member_id>& alive() const { return alive_; }
  bool StoreReachable() const { return store_reachable_; }

 private:
  void TakeObject(const stored_object& object);
  void TakeService(const stored_object& object);
  void OnRoster(const held_roster& held);
  void OnContact(bool reachable);
  void WaitForTick();
  void Tick(time_point now);
  void ConsiderRoster(time_point now);
  roster NextRoster(const held_roster& held) const;
  assign_view AssignView() const;
  void PublishIfChanged();
  bool ServesNothing() const;

  asio::steady_timer tick_;
  settings config_;
  member self_;
  publish_handler publish_;
  table_set table_;
  roster_keeper rosters_;
  store_follower follower_;
  std::set<member_id> alive_;
  bool store_reachable_ = false;
  bool changed_ = false;  // Something the view depends on.
  std::optional<time_point>
      change_due_since_;  // A roster change has been due for so long.
  std::function<void()> left_;
};

}  // namespace radishyard
