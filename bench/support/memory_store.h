// The platform as the measurements need it: objects in memory, answered over
// the event loop, with every call counted.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/asio.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief Objects with versions, conditional update and watch. One object
/// serves many control threads of the same event loop.
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

  /// \brief Writes whatever the version is, as an operator's accepted edit.
  void Set(const std::string& key, const std::string& value);

  /// \brief Ends every waiting watch without a change, as its time-out does.
  void EndWatches();

  uint64_t reads = 0;   ///< Get, List, ListVms and Watch.
  uint64_t writes = 0;  ///< Put.
  uint64_t revision() const { return revision_; }
  size_t waiting() const { return watches_.size(); }

 private:
  struct waiting_watch {
    uint64_t revision;
    store_handler<object_batch> handler;
  };
  object_batch After(uint64_t revision) const;
  void Wake();

  asio::io_context& io_;
  std::map<std::string, stored_object> objects_;
  std::vector<waiting_watch> watches_;
  uint64_t revision_ = 0;
};

}  // namespace radishyard
