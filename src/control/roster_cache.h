// Holds the latest roster of each domain, and writes the roster of this
// balancer's domain by conditional updates.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/asio.h"
#include "roster/roster.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief A roster with the version of its object in the store.
struct versioned_roster {
  roster value;
  uint64_t version = 0;
  auto operator<=>(const versioned_roster&) const = default;
};

/// \brief Outcome of a proposed roster update.
enum class proposal_outcome : uint8_t {
  kConfirmed,  ///< The store has written it.
  kConflict,   ///< Another update was written first; the roster is read next.
  kUnknown,    ///< The store's reply was lost; the roster is read next.
  kFailed,     ///< It was certainly not written.
};

/// \brief Rosters by domain. A roster is replaced only by one with a higher
/// version.
class roster_cache {
 public:
  using change_handler = std::function<void(const versioned_roster&)>;
  using proposal_handler =
      std::function<void(proposal_outcome, uint64_t version)>;

  roster_cache(asio::io_context& io, object_store& store,
               change_handler on_change);

  /// \brief Applies an object "rosters/<domain>" that was received from the
  /// store or from a peer.
  /// \returns false if it is malformed or not newer.
  bool Apply(const stored_object& object);

  /// \brief Writes `next` to the store if the store still has the version that
  /// is held here. After a conflict or a lost reply, the roster is read back
  /// until the store replies.
  /// \warning Only one proposal at a time.
  void Propose(const roster& next, const proposal_handler& handler);
  bool IsProposing() const { return proposing_; }

  /// \brief The latest roster of the domain; an empty one with version 0 if
  /// there is none.
  versioned_roster Latest(const std::string& domain) const;
  const std::map<std::string, versioned_roster>& All() const { return held_; }

  static std::string KeyOf(const std::string& domain) {
    return "rosters/" + domain;
  }

 private:
  void ReadBack(const std::string& domain);
  void ApplyConfirmed(const roster& next, uint64_t version);

  asio::steady_timer timer_;
  object_store& store_;
  change_handler on_change_;
  std::map<std::string, versioned_roster> held_;
  bool proposing_ = false;
};

}  // namespace radishyard
