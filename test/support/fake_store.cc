// The in-memory platform: conditional writes under one store-wide revision.
#include "support/fake_store.h"

#include <algorithm>
#include <utility>

namespace radishyard {
namespace {

const failure kNoPlatform{failure_kind::kUnavailable, "platform is down"};

}  // namespace

std::optional<uint64_t> fake_platform::Put(const std::string& key,
                                           const std::string& value,
                                           uint64_t expected, failure& why) {
  const auto it = objects_.find(key);
  const uint64_t found = it == objects_.end() ? 0 : it->second.last.version;
  if (found != expected) {
    why = {failure_kind::kConflict, "version is " + std::to_string(found)};
    return std::nullopt;
  }
  history& object = objects_[key];
  if (found != 0) object.before = object.last;
  object.last = {key, value, ++revision_};
  for (fake_store* client : std::vector(clients_)) client->OnChange();
  return object.last.version;
}

std::optional<stored_object> fake_platform::Find(const std::string& key,
                                                 bool stale) const {
  const auto it = objects_.find(key);
  if (it == objects_.end()) return std::nullopt;
  return stale ? it->second.before : it->second.last;
}

object_batch fake_platform::ChangedAfter(const std::string& prefix,
                                         uint64_t revision, bool stale) const {
  object_batch batch;
  batch.revision = revision_;
  for (const auto& [key, object] : objects_) {
    const bool changed = object.last.version > revision;
    if (!changed || !key.starts_with(prefix)) continue;
    if (!stale) batch.objects.push_back(object.last);
    if (stale && object.before) batch.objects.push_back(*object.before);
  }
  return batch;
}

fake_store::fake_store(asio::io_context& io, fake_platform& platform)
    : io_(io), platform_(platform) {
  platform_.clients_.push_back(this);
}

fake_store::~fake_store() { std::erase(platform_.clients_, this); }

bool fake_store::Take(fault_mode mode) {
  if (fault_.mode != mode) return false;
  if (fault_.count > 0 && --fault_.count == 0) fault_ = {};
  return true;
}

template <typename T>
void fake_store::Answer(const store_handler<T>& handler, std::optional<T> value,
                        failure why) {
  auto call = [handler, value = std::move(value), why = std::move(why),
               alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) handler(value, why);
  };
  const duration delay = fault_.delay;
  if (!Take(fault_mode::kSlow)) return asio::post(io_, std::move(call));
  const auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, call = std::move(call)](error_code) { call(); });
}

void fake_store::Get(const std::string& key,
                     store_handler<stored_object> handler) {
  ++calls_.gets;
  if (Take(fault_mode::kOutage)) return Answer(handler, {}, kNoPlatform);
  auto found = platform_.Find(key, Take(fault_mode::kStaleRead));
  failure why;
  if (!found) why = {failure_kind::kNotFound, "no object " + key};
  Answer(handler, std::move(found), std::move(why));
}

void fake_store::List(const std::string& prefix,
                      store_handler<object_batch> handler) {
  ++calls_.lists;
  if (Take(fault_mode::kOutage)) return Answer(handler, {}, kNoPlatform);
  Answer<object_batch>(
      handler, platform_.ChangedAfter(prefix, 0, Take(fault_mode::kStaleRead)));
}

void fake_store::Put(const std::string& key, const std::string& value,
                     uint64_t expected, store_handler<uint64_t> handler) {
  ++calls_.puts;
  if (Take(fault_mode::kOutage)) return Answer(handler, {}, kNoPlatform);
  failure why;
  std::optional<uint64_t> version = platform_.Put(key, value, expected, why);
  if (Take(fault_mode::kLostResponse)) {
    version.reset();
    why = {failure_kind::kUnknown, "answer was lost"};
  }
  Answer(handler, version, std::move(why));
}

void fake_store::Watch(const std::string& prefix, uint64_t revision,
                       duration wait, store_handler<object_batch> handler) {
  ++calls_.watches;
  if (Take(fault_mode::kOutage)) return Answer(handler, {}, kNoPlatform);
  if (Take(fault_mode::kStaleWatch))
    return Answer<object_batch>(handler,
                                platform_.ChangedAfter(prefix, 0, true));
  object_batch changed = platform_.ChangedAfter(prefix, revision, false);
  if (!changed.objects.empty())
    return Answer<object_batch>(handler, std::move(changed));
  const auto watch = std::make_shared<waiter>(waiter{
      prefix, revision, asio::steady_timer(io_, wait), std::move(handler)});
  waiters_.push_back(watch);
  watch->timer.async_wait(
      [this, watch, alive = std::weak_ptr<bool>(alive_)](error_code error) {
        if (error || alive.expired()) return;
        EndWatch(watch, object_batch{{}, watch->revision});
      });
}

void fake_store::ListVms(store_handler<std::vector<vm_entry>> handler) {
  ++calls_.vms;
  if (Take(fault_mode::kOutage)) return Answer(handler, {}, kNoPlatform);
  Answer<std::vector<vm_entry>>(handler, platform_.vms());
}

void fake_store::SetFault(const store_fault& fault) {
  fault_ = fault;
  if (fault.mode != fault_mode::kOutage) return;
  for (const auto& watch : std::vector(waiters_)) EndWatch(watch, {});
}

void fake_store::OnChange() {
  for (const auto& watch : std::vector(waiters_)) {
    object_batch changed =
        platform_.ChangedAfter(watch->prefix, watch->revision, false);
    if (!changed.objects.empty()) EndWatch(watch, std::move(changed));
  }
}

void fake_store::EndWatch(const std::shared_ptr<waiter>& watch,
                          std::optional<object_batch> batch) {
  if (std::erase(waiters_, watch) == 0) return;
  watch->timer.cancel();
  const bool answered = batch.has_value();
  Answer(watch->handler, std::move(batch), answered ? failure{} : kNoPlatform);
}

}  // namespace radishyard
