// An in-memory platform and clients of it with switchable faults. The platform
// stand-in serves the same classes over HTTP.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/asio.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief Faults of the platform as one client sees them.
enum class fault_mode {
  kNone,
  kOutage,        ///< No call is carried out or answered.
  kSlow,          ///< Answers come late; the effect is immediate.
  kLostResponse,  ///< Writes take effect, but their answer is lost.
  kStaleRead,     ///< Get and List tell the value before the last.
  kStaleWatch,    ///< Watches repeat the event before the last.
};

/// \brief A fault, for the next `count` calls that it concerns; 0 is no limit.
struct store_fault {
  fault_mode mode = fault_mode::kNone;
  duration delay{};
  unsigned count = 0;
  bool operator==(const store_fault&) const = default;
};

/// \brief Calls made, by kind; a waiting watch is one.
struct call_counts {
  uint64_t gets = 0;
  uint64_t lists = 0;
  uint64_t puts = 0;
  uint64_t watches = 0;
  uint64_t vms = 0;
  auto operator<=>(const call_counts&) const = default;
};

class fake_store;

/// \brief Objects and VM list, shared by the clients. It outlives them.
class fake_platform {
 public:
  /// \brief Conditional write, as object_store::Put; the new version or why
  /// not.
  std::optional<uint64_t> Put(const std::string& key, const std::string& value,
                              uint64_t expected, failure& why);
  /// \brief The object, or the version before its last if `stale`.
  std::optional<stored_object> Find(const std::string& key, bool stale) const;
  /// \brief Objects under `prefix` written after `revision`.
  object_batch ChangedAfter(const std::string& prefix, uint64_t revision,
                            bool stale) const;
  void SetVms(std::vector<vm_entry> vms) { vms_ = std::move(vms); }
  const std::vector<vm_entry>& vms() const { return vms_; }
  uint64_t revision() const { return revision_; }

 private:
  friend class fake_store;
  struct history {
    stored_object last;
    std::optional<stored_object> before;
  };

  std::map<std::string, history> objects_;
  std::vector<vm_entry> vms_;
  std::vector<fake_store*> clients_;
  uint64_t revision_ = 0;
};

/// \brief One client's view of a fake_platform, with faults of its own.
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

  /// \brief Switches the fault; an outage ends the waiting watches.
  void SetFault(const store_fault& fault);
  const call_counts& calls() const { return calls_; }

 private:
  friend class fake_platform;
  struct waiter {
    std::string prefix;
    uint64_t revision = 0;
    asio::steady_timer timer;
    store_handler<object_batch> handler;
  };

  /// True if `mode` is on; uses up one of its calls.
  bool Take(fault_mode mode);
  template <typename T>
  void Answer(const store_handler<T>& handler, std::optional<T> value,
              failure why = {});
  void OnChange();
  void EndWatch(const std::shared_ptr<waiter>& watch,
                std::optional<object_batch> batch);

  asio::io_context& io_;
  fake_platform& platform_;
  store_fault fault_;
  call_counts calls_;
  std::vector<std::shared_ptr<waiter>> waiters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishyard
