// An object_store that counts the calls of a balancer to the platform's store.
#pragma once
#include <memory>

#include "store/object_store.h"

namespace radishyard {

/// \brief Number of calls since the start, by function. A watch that waits
/// counts as one call.
struct store_call_counts {
  uint64_t gets = 0;
  uint64_t lists = 0;
  uint64_t puts = 0;
  uint64_t watches = 0;
  uint64_t vm_lists = 0;
  auto operator<=>(const store_call_counts&) const = default;
};

/// \brief Counts each call and forwards it to another store.
class counting_store : public object_store {
 public:
  explicit counting_store(std::unique_ptr<object_store> store)
      : store_(std::move(store)) {}

  const store_call_counts& calls() const { return calls_; }

  void Get(const std::string& key,
           store_handler<stored_object> handler) override {
    ++calls_.gets;
    store_->Get(key, std::move(handler));
  }
  void List(const std::string& prefix,
            store_handler<object_batch> handler) override {
    ++calls_.lists;
    store_->List(prefix, std::move(handler));
  }
  void Put(const std::string& key, const std::string& value, uint64_t expected,
           store_handler<uint64_t> handler) override {
    ++calls_.puts;
    store_->Put(key, value, expected, std::move(handler));
  }
  void Watch(const std::string& prefix, uint64_t revision, duration wait,
             store_handler<object_batch> handler) override {
    ++calls_.watches;
    store_->Watch(prefix, revision, wait, std::move(handler));
  }
  void ListVms(store_handler<std::vector<vm_entry>> handler) override {
    ++calls_.vm_lists;
    store_->ListVms(std::move(handler));
  }

 private:
  std::unique_ptr<object_store> store_;
  store_call_counts calls_;
};

}  // namespace radishyard
