// An in-memory platform, and store clients of it with faults that tests switch
// on. The platform stand-in serves the same classes over HTTP.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/asio.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief Faults that the platform shows to one client.
enum class fault_mode {
  kNone,
  kOutage,        ///< Every call fails without effect.
  kSlow,          ///< Calls take effect at once, responses come late.
  kLostResponse,  ///< Writes take effect, their response is lost.
  kStaleRead,     ///< Get and List return the previous version.
  kStaleWatch,    ///< Watches return the previous versions.
  kLostWatch,     ///< Watches are never answered; they fail at their timeout.
};

/// \brief A fault that affects the next `count` calls of its kind; 0 means no
/// limit.
struct store_fault {
  fault_mode mode = fault_mode::kNone;
  duration delay{};  ///< Of each response, for kSlow.
  unsigned count = 0;
  bool operator==(const store_fault&) const = default;
};

/// \brief Number of calls by kind. A watch counts once, however long it waits.
struct call_counts {
  uint64_t gets = 0;
  uint64_t lists = 0;
  uint64_t puts = 0;
  uint64_t watches = 0;
  uint64_t vms = 0;
  auto operator<=>(const call_counts&) const = default;
};

class fake_store;

/// \brief The objects and the VM list that all clients share. It must outlive
/// the clients.
class fake_platform {
 public:
  /// \brief Conditional write, as object_store::Put().
  /// \returns the new version; nothing, with the reason in `why`, on a
  /// conflict.
  std::optional<uint64_t> Put(const std::string& key, const std::string& value,
                              uint64_t expected, failure& why);
  /// \brief The current version of an object, or the previous one if `stale`.
  std::optional<stored_object> Find(const std::string& key, bool stale) const;
  /// \brief Objects under `prefix` that were written after `revision`; in their
  /// previous versions if `stale`.
  object_batch ChangedAfter(const std::string& prefix, uint64_t revision,
                            bool stale) const;
  void SetVms(std::vector<vm_entry> vms) { vms_ = std::move(vms); }
  const std::vector<vm_entry>& vms() const { return vms_; }
  uint64_t revision() const { return revision_; }

 private:
  friend class fake_store;
  struct object_history {
    stored_object current;
    std::optional<stored_object> previous;
  };

  std::map<std::string, object_history> objects_;
  std::vector<vm_entry> vms_;
  std::vector<fake_store*> clients_;
  uint64_t revision_ = 0;
};

/// \brief A client of a fake_platform with its own fault.
///
/// \code
/// fake_platform platform;
/// fake_store store(io, platform);
/// store.SetFault({.mode = fault_mode::kLostResponse, .count = 1});
/// \endcode
class fake_store : public object_store {
 public:
  fake_store(asio::io_context& io, fake_platform& platform);
  ~fake_store() override;
  fake_store(const fake_store&) = delete;
  fake_store& operator=(const fake_store&) = delete;

  void Get(const std::string& key,
           store_handler<stored_object> handler) override;
  void List(const std::string& prefix,
            store_handler<object_batch> handler) override;
  void Put(const std::string& key, const std::string& value, uint64_t expected,
           store_handler<uint64_t> handler) override;
  void Watch(const std::string& prefix, uint64_t revision, duration wait,
             store_handler<object_batch> handler) override;
  void ListVms(store_handler<std::vector<vm_entry>> handler) override;

  /// \brief Replaces the fault. An outage also fails all pending watches.
  void SetFault(const store_fault& fault);
  const call_counts& calls() const { return calls_; }

 private:
  friend class fake_platform;
  struct pending_watch {
    std::string prefix;
    uint64_t revision = 0;
    asio::steady_timer timer;
    store_handler<object_batch> handler;
  };

  /// Returns whether this call is affected by the fault `mode`, and counts the
  /// call against its limit.
  bool ConsumeFault(fault_mode mode);
  template <typename T>
  void Reply(const store_handler<T>& handler, std::optional<T> value,
             failure why = {});
  void NotifyWatches();
  void LoseWatch(duration wait, store_handler<object_batch> handler);
  void CompleteWatch(const std::shared_ptr<pending_watch>& watch,
                     std::optional<object_batch> batch);

  asio::io_context& io_;
  fake_platform& platform_;
  store_fault fault_;
  call_counts calls_;
  std::vector<std::shared_ptr<pending_watch>> pending_watches_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishyard
