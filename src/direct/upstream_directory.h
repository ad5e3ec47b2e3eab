// The upstreams known now and lately, by id, by mark and by service.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "direct/upstream_entry.h"
#include "direct/upstream_stats.h"

namespace radishyard {

/// \brief Where an upstream stands in its life.
enum class upstream_phase : uint8_t {
  kReady,
  kDraining,      ///< Keeps its flows, gets no new ones.
  kDeregistered,  ///< Unlisted; packets of old flows still go to it for a
                  ///< while.
};

/// \brief One upstream and what is known of it.
struct known_upstream {
  upstream_entry entry;
  uint32_t mark = 0;
  upstream_phase phase = upstream_phase::kReady;
  /// Of two upstreams with the same mark, only the one that started first gets
  /// new flows; the other gets none.
  bool owns_mark = true;
  time_point cold_until{};
  time_point deregistered_at{};  ///< Valid while kGone.
  bool is_missing = false;       ///< Unlisted, but perhaps for an outage only.
  upstream_stats stats;
  health_state last_health = health_state::kHealthy;  ///< As last logged.
};

/// \brief What an update changed, for log and tests.
struct directory_change {
  enum class kind : uint8_t {
    kJoined,
    kRestarted,  ///< Under its old id; it holds none of its flows.
    kReturned,   ///< Listed again, the same incarnation.
    kDraining,
    kDeregistered,
    kMissing,  ///< Unlisted, but perhaps for an outage only.
  };
  kind event = kind::kJoined;
  upstream_id upstream = 0;
  auto operator<=>(const directory_change&) const = default;
};

/// \brief All upstreams. Invariants: `by_mark` names only owners of their mark;
/// `ready` holds each ready owner once, under its service.
struct upstream_directory {
  uint64_t revision = 0;  ///< Of the last list taken.
  bool has_list = false;
  time_point read_at{};  ///< When the last list was current.
  std::optional<time_point> outage_ended_at;  ///< End of the last outage.
  std::map<upstream_id, known_upstream> upstreams;
  absl::flat_hash_map<uint32_t, known_upstream*> by_mark;
  std::map<std::string, std::vector<known_upstream*>> ready_by_service;

  upstream_directory() = default;
  upstream_directory(const upstream_directory&) = delete;
  upstream_directory& operator=(const upstream_directory&) = delete;
};

/// \brief Takes a list that was current at `read_at`.
///
/// A list of an older revision changes nothing. An entry that is missing in the
/// first seconds after an outage of the registry may come back: its upstream
/// stays in use until then. Otherwise a missing one is gone.
/// \returns what changed.
std::vector<directory_change> UpdateDirectory(upstream_directory& directory,
                                              const upstream_list& list,
                                              time_point read_at,
                                              time_point now);

/// \brief The last list was found to hold still at `revision`, read at
/// `read_at`.
void ConfirmList(upstream_directory& directory, uint64_t revision,
                 time_point read_at);

/// \brief The upstream that a flow's mark names, or null where it is unknown.
known_upstream* FindByMark(const upstream_directory& directory, uint32_t mark);

}  // namespace radishyard
