// The in-memory platform. The version of an object is the store-wide revision
// of its last write.
#include "support/fake_store.h"

#include <algorithm>
#include <utility>

namespace radishyard {
namespace {

const failure kPlatformDown{failure_kind::kUnavailable,
                            "platform is unavailable"};

}  // namespace

std::optional<uint64_t> fake_platform::Put(const std::string& key,
                                           const std::string& value,
                                           uint64_t expected, failure& why) {
  const auto it = objects_.find(key);
  const uint64_t found = it == objects_.end() ? 0 : it->second.current.version;
  if (found != expected) {
    why = {failure_kind::kConflict, "version is " + std::to_string(found)};
    return std::nullopt;
  }
  object_history& object = objects_[key];
  if (found != 0) object.previous = object.current;
  object.current = {key, value, ++revision_};
  for (fake_store* client : std::vector(clients_)) client->NotifyWatches();
  return object.current.version;
}

std::optional<stored_object> fake_platform::Find(const std::string& key,
                                                 bool stale) const {
  const auto it = objects_.find(key);
  if (it == objects_.end()) return std::nullopt;
  return stale ? it->second.previous : it->second.current;
}

object_batch fake_platform::ChangedAfter(const std::string& prefix,
                                         uint64_t revision, bool stale) const {
  object_batch batch;
  batch.revision = revision_;
  for (const auto& [key, object] : objects_) {
    const bool changed = object.current.version > revision;
    if (!changed || !key.starts_with(prefix)) continue;
    if (!stale) batch.objects.push_back(object.current);
    if (stale && object.previous) batch.objects.push_back(*object.previous);
  }
  return batch;
}

fake_store::fake_store(asio::io_context& io, fake_platform& platform)
    : io_(io), platform_(platform) {
  platform_.clients_.push_back(this);
}

fake_store::~fake_store() { std::erase(platform_.clients_, this); }

bool fake_store::ConsumeFault(fault_mode mode) {
  if (fault_.mode != mode) return false;
  if (fault_.count > 0 && --fault_.count == 0) fault_ = {};
  return true;
}

template <typename T>
void fake_store::Reply(const store_handler<T>& handler, std::optional<T> value,
                       failure why) {
  auto call = [handler, value = std::move(value), why = std::move(why),
               alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) handler(value, why);
  };
  const duration delay = fault_.delay;
  if (!ConsumeFault(fault_mode::kSlow)) return asio::post(io_, std::move(call));
  const auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, call = std::move(call)](error_code) { call(); });
}

void fake_store::Get(const std::string& key,
                     store_handler<stored_object> handler) {
  ++calls_.gets;
  if (ConsumeFault(fault_mode::kOutage))
    return Reply(handler, {}, kPlatformDown);
  auto found = platform_.Find(key, ConsumeFault(fault_mode::kStaleRead));
  failure why;
  if (!found) why = {failure_kind::kNotFound, "no object " + key};
  Reply(handler, std::move(found), std::move(why));
}

void fake_store::List(const std::string& prefix,
                      store_handler<object_batch> handler) {
  ++calls_.lists;
  if (ConsumeFault(fault_mode::kOutage))
    return Reply(handler, {}, kPlatformDown);
  Reply<object_batch>(
      handler,
      platform_.ChangedAfter(prefix, 0, ConsumeFault(fault_mode::kStaleRead)));
}

void fake_store::Put(const std::string& key, const std::string& value,
                     uint64_t expected, store_handler<uint64_t> handler) {
  ++calls_.puts;
  if (ConsumeFault(fault_mode::kOutage))
    return Reply(handler, {}, kPlatformDown);
  failure why;
  std::optional<uint64_t> version = platform_.Put(key, value, expected, why);
  if (ConsumeFault(fault_mode::kLostResponse)) {
    version.reset();
    why = {failure_kind::kUnknown, "response was lost"};
  }
  Reply(handler, version, std::move(why));
}

void fake_store::Watch(const std::string& prefix, uint64_t revision,
                       duration wait, store_handler<object_batch> handler) {
  ++calls_.watches;
  if (ConsumeFault(fault_mode::kOutage))
    return Reply(handler, {}, kPlatformDown);
  if (ConsumeFault(fault_mode::kStaleWatch))
    return Reply<object_batch>(handler,
                               platform_.ChangedAfter(prefix, 0, true));
  if (ConsumeFault(fault_mode::kLostWatch))
    return LoseWatch(wait, std::move(handler));
  object_batch changed = platform_.ChangedAfter(prefix, revision, false);
  if (!changed.objects.empty())
    return Reply<object_batch>(handler, std::move(changed));
  const auto watch = std::make_shared<pending_watch>(pending_watch{
      prefix, revision, asio::steady_timer(io_, wait), std::move(handler)});
  pending_watches_.push_back(watch);
  watch->timer.async_wait(
      [this, watch, alive = std::weak_ptr<bool>(alive_)](error_code error) {
        if (error || alive.expired()) return;
        CompleteWatch(watch, object_batch{{}, watch->revision});
      });
}

void fake_store::LoseWatch(duration wait, store_handler<object_batch> handler) {
  const auto timer =
      std::make_shared<asio::steady_timer>(io_, wait + kStoreTimeout);
  timer->async_wait([timer, handler = std::move(handler),
                     alive = std::weak_ptr<bool>(alive_)](error_code error) {
    if (!error && !alive.expired()) handler(std::nullopt, kPlatformDown);
  });
}

void fake_store::ListVms(store_handler<std::vector<vm_entry>> handler) {
  ++calls_.vms;
  if (ConsumeFault(fault_mode::kOutage))
    return Reply(handler, {}, kPlatformDown);
  Reply<std::vector<vm_entry>>(handler, platform_.vms());
}

void fake_store::SetFault(const store_fault& fault) {
  fault_ = fault;
  if (fault.mode != fault_mode::kOutage) return;
  for (const auto& watch : std::vector(pending_watches_))
    CompleteWatch(watch, {});
}

void fake_store::NotifyWatches() {
  for (const auto& watch : std::vector(pending_watches_)) {
    object_batch changed =
        platform_.ChangedAfter(watch->prefix, watch->revision, false);
    if (!changed.objects.empty()) CompleteWatch(watch, std::move(changed));
  }
}

void fake_store::CompleteWatch(const std::shared_ptr<pending_watch>& watch,
                               std::optional<object_batch> batch) {
  if (std::erase(pending_watches_, watch) == 0) return;
  watch->timer.cancel();
  const bool has_batch = batch.has_value();
  Reply(watch->handler, std::move(batch),
        has_batch ? failure{} : kPlatformDown);
}

}  // namespace radishyard
