// List-and-watch loop.
#include "control/store_follower.h"

namespace radishyard {
namespace {

constexpr duration kWatchWait = 30s;
constexpr duration kRetryAfter = 500ms;
const std::string kEverything;

}  // namespace

store_follower::store_follower(asio::io_context& io, object_store& store,
                               object_handler on_object,
                               contact_handler on_contact)
    : timer_(io),
      store_(store),
      on_object_(std::move(on_object)),
      on_contact_(std::move(on_contact)) {}

void store_follower::Start() {
  wanted_ = true;
  if (running_) return;
  running_ = true;
  List();
}

void store_follower::List() {
  if (!wanted_) {
    running_ = false;
    return;
  }
  store_.List(kEverything,
              [this](std::optional<object_batch> batch, const failure&) {
                on_contact_(batch.has_value());
                if (!batch) {
                  Retry();
                  return;
                }
                revision_ = batch->revision;
                Take(*batch);
                Watch();
              });
}

void store_follower::Watch() {
  if (!wanted_) {
    running_ = false;
    return;
  }
  store_.Watch(kEverything, revision_, kWatchWait,
               [this](std::optional<object_batch> batch, const failure&) {
                 on_contact_(batch.has_value());
                 if (!batch) {
                   Retry();
                   return;
                 }
                 Take(*batch);
                 // An older state of the store, or an event that is repeated.
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
  timer_.expires_after(kRetryAfter);
  timer_.async_wait([this](error_code error) {
    if (!error) List();
  });
}

void store_follower::Take(const object_batch& batch) {
  for (const stored_object& object : batch.objects) on_object_(object);
}

}  // namespace radishyard
