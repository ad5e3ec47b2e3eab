// Orders what a store has said. A store may return from an earlier copy of
// itself: what it has acknowledged since is gone, and it assigns the numbers of
// its revisions again. Each return begins a new epoch, so only epoch and number
// together tell which of two states of the store is the later one.
#pragma once
#include <compare>
#include <cstdint>
#include <optional>

namespace radishyard {

/// \brief A point in the history of a store. A store that has no epochs is in
/// epoch 0 for good.
struct store_revision {
  uint64_t epoch = 0;   ///< Increases with each return from a copy.
  uint64_t number = 0;  ///< Increases with each change within an epoch.
  constexpr auto operator<=>(const store_revision&) const = default;
};

/// \brief False for the revision of what has never been read.
constexpr bool IsKnown(const store_revision& revision) {
  return revision.number != 0;
}

/// \brief What the epoch of a response says of the store.
enum class epoch_effect : uint8_t {
  kCurrent,   ///< The epoch is the newest one, or the response names none.
  kAdvanced,  ///< The store has returned from a copy since the last response.
  kOutdated,  ///< A late response from before the last return.
};

/// \brief The epochs of the responses of one store.
struct epoch_tracker {
  uint64_t newest = 0;   ///< 0 before the first response that names one.
  uint64_t returns = 0;  ///< Returns from a copy that were observed.
  uint64_t outdated_responses = 0;
  auto operator<=>(const epoch_tracker&) const = default;
};

/// \brief Records the epoch of a response.
/// \param epoch nothing if the response names none that can be read. It then
/// counts as a response of the newest epoch: it can neither be late for longer
/// than a request may take, nor may it hold up all later ones.
constexpr epoch_effect RecordEpoch(epoch_tracker& tracker,
                                   std::optional<uint64_t> epoch) {
  if (!epoch || *epoch == tracker.newest) return epoch_effect::kCurrent;
  if (*epoch < tracker.newest) {
    ++tracker.outdated_responses;
    return epoch_effect::kOutdated;
  }
  const bool is_first = tracker.newest == 0;
  tracker.newest = *epoch;
  if (is_first) return epoch_effect::kCurrent;
  ++tracker.returns;
  return epoch_effect::kAdvanced;
}

}  // namespace radishyard
