// Keeps the rosters that this balancer knows, and changes its own domain's by
// conditional update.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/asio.h"
#include "roster/roster.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief A roster with the version of the store's object.
struct versioned_roster {
  roster value;
  uint64_t version = 0;
  auto operator<=>(const versioned_roster&) const = default;
};

/// \brief How a proposal ended.
enum class proposal_outcome : uint8_t {
  kConfirmed,  ///< The store holds it.
  kConflict,   ///< Another update came first; the roster is read next.
  kUnknown,    ///< The answer was lost; the roster is read next.
  kFailed,     ///< Certainly not carried out.
};

/// \brief Rosters by domain. Only higher versions are taken up.
class roster_cache {
 public:
  using change_handler = std::function<void(const versioned_roster&)>;
  using proposal_handler =
      std::function<void(proposal_outcome, uint64_t version)>;

  roster_cache(asio::io_context& io, object_store& store,
               change_handler on_change);

  /// \brief Takes an object "rosters/<domain>" from the store or a peer.
  /// \returns false if it is malformed or not newer.
  bool Apply(const stored_object& object);

  /// \brief Writes `next` if the store still has the version that is held. A
  /// lost answer is settled by reading back until the store answers. \warning
  /// One proposal at a time.
  void Propose(const roster& next, const proposal_handler& handler);
  bool IsProposing() const { return proposing_; }

  /// \brief The domain's roster; an empty one with version 0 if none is known.
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
