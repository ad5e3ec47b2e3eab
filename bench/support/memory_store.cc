// An object store in memory.
#include "support/memory_store.h"

#include <utility>

namespace radishyard {

object_batch memory_store::ListChangedSince(uint64_t revision) const {
  object_batch batch{{}, revision_};
  for (const auto& [key, object] : objects_) {
    if (object.version > revision) batch.objects.push_back(object);
  }
  return batch;
}

void memory_store::Get(const std::string& key,
                       store_handler<stored_object> handler) {
  ++reads;
  const auto found = objects_.find(key);
  std::optional<stored_object> object;
  if (found != objects_.end()) object = found->second;
  asio::post(io_, [object, handler = std::move(handler)] {
    handler(object, {object ? failure_kind::kNone : failure_kind::kNotFound});
  });
}

void memory_store::List(const std::string&,
                        store_handler<object_batch> handler) {
  ++reads;
  asio::post(io_, [this, handler = std::move(handler)] {
    handler(ListChangedSince(0), {});
  });
}

void memory_store::Put(const std::string& key, const std::string& value,
                       uint64_t expected, store_handler<uint64_t> handler) {
  ++writes;
  const auto found = objects_.find(key);
  const uint64_t present_version =
      found == objects_.end() ? 0 : found->second.version;
  std::optional<uint64_t> version;
  if (present_version == expected) {
    Set(key, value);
    version = revision_;
  }
  asio::post(io_, [version, handler = std::move(handler)] {
    handler(version, {version ? failure_kind::kNone : failure_kind::kConflict});
  });
}

void memory_store::Watch(const std::string&, uint64_t revision, duration,
                         store_handler<object_batch> handler) {
  ++reads;
  watches_.push_back({revision, std::move(handler)});
  if (revision < revision_) CompleteWatches();
}

void memory_store::ListVms(store_handler<std::vector<vm_entry>> handler) {
  ++reads;
  asio::post(io_, [handler = std::move(handler)] {
    handler(std::nullopt,
            {failure_kind::kUnavailable, "the store has no list of VMs"});
  });
}

void memory_store::Set(const std::string& key, const std::string& value) {
  objects_[key] = {key, value, ++revision_};
  CompleteWatches();
}

void memory_store::ExpireWatches() { CompleteWatches(); }

void memory_store::CompleteWatches() {
  for (waiting_watch& watch : std::exchange(watches_, {})) {
    asio::post(io_, [this, watch = std::move(watch)] {
      watch.handler(ListChangedSince(watch.revision), {});
    });
  }
}

}  // namespace radishyard
