// An object store in memory for the benchmarks. It calls its handlers from the
// event loop, and counts the calls.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/asio.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief An object_store with versions, conditional updates and watches. Many
/// controllers on the same event loop can share one. List and Watch ignore the
/// prefix.
class memory_store : public object_store {
 public:
  explicit memory_store(asio::io_context& io) : io_(io) {}

  void Get(const std::string& key,
           store_handler<stored_object> handler) override;
  void List(const std::string& prefix,
            store_handler<object_batch> handler) override;
  void Put(const std::string& key, const std::string& value, uint64_t expected,
           store_handler<uint64_t> handler) override;
  void Watch(const std::string& prefix, uint64_t revision, duration wait,
             store_handler<object_batch> handler) override;
  void ListVms(store_handler<std::vector<vm_entry>> handler) override;

  /// \brief Writes the object regardless of its version, as if an operator's
  /// edit had been accepted.
  void Set(const std::string& key, const std::string& value);

  /// \brief Completes every waiting watch without a change, as if it had timed
  /// out.
  void ExpireWatches();

  uint64_t reads = 0;   ///< Calls of Get, List, ListVms and Watch.
  uint64_t writes = 0;  ///< Calls of Put.
  uint64_t revision() const { return revision_; }
  size_t waiting_watches() const { return watches_.size(); }

 private:
  struct waiting_watch {
    uint64_t revision;
    store_handler<object_batch> handler;
  };
  object_batch ListChangedSince(uint64_t revision) const;
  void CompleteWatches();

  asio::io_context& io_;
  std::map<std::string, stored_object> objects_;
  std::vector<waiting_watch> watches_;
  uint64_t revision_ = 0;
};

}  // namespace radishyard
