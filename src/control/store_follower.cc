// The loop of list and watch calls.
#include "control/store_follower.h"

#include "observe/log.h"
#include "store/answer_timing.h"

namespace radishyard {
namespace {

constexpr duration kRetryDelay = 500ms;
/// kWatchWait + kStoreTimeout + kRetryDelay + kReadTimeAllowance <=
/// kStoreChangeBound.
constexpr duration kWatchWait = MaxAnswerInterval(
    kStoreChangeBound, answer_timing{kStoreTimeout, kRetryDelay});
const std::string kAllKeys;  // The empty prefix.

}  // namespace

store_follower::store_follower(asio::io_context& io, object_store& store,
                               object_handler on_object,
                               reachability_handler on_reachability)
    : timer_(io),
      store_(store),
      on_object_(std::move(on_object)),
      on_reachability_(std::move(on_reachability)) {}

void store_follower::Start() {
  is_requested_ = true;
  if (is_running_) return;
  is_running_ = true;
  List();
}

void store_follower::List() {
  if (!is_requested_) {
    is_running_ = false;
    return;
  }
  store_.List(kAllKeys,
              [this](std::optional<object_batch> batch, const failure&) {
                on_reachability_(batch.has_value());
                if (!batch) {
                  Retry();
                  return;
                }
                revision_ = batch->revision;
                DeliverObjects(*batch);
                Watch();
              });
}

void store_follower::Watch() {
  if (!is_requested_) {
    is_running_ = false;
    return;
  }
  store_.Watch(kAllKeys, revision_, kWatchWait,
               [this](std::optional<object_batch> batch, const failure&) {
                 on_reachability_(batch.has_value());
                 if (!batch) {
                   Retry();
                   return;
                 }
                 DeliverObjects(*batch);
                 // The reply shows an older state of the store, or repeats an
                 // event.
                 const bool is_old =
                     batch->revision < revision_ ||
                     (batch->revision == revision_ && !batch->objects.empty());
                 if (is_old) {
                   Retry();
                   return;
                 }
                 revision_ = batch->revision;
                 Watch();
               });
}

void store_follower::Retry() {
  timer_.expires_after(kRetryDelay);
  timer_.async_wait([this](error_code error) {
    if (!error) List();
  });
}

void store_follower::DeliverObjects(const object_batch& batch) {
  if (batch.rejected > 0)
    Log(severity::kWarn, "objects_rejected",
        {{"objects", uint64_t{batch.rejected}}, {"revision", batch.revision}});
  for (const stored_object& object : batch.objects) on_object_(object);
}

}  // namespace radishyard
