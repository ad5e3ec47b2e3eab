// The directory of present and recently deregistered upstreams, by id, by mark
// and by service.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "direct/upstream/upstream_entry.h"
#include "direct/upstream/upstream_stats.h"

namespace radishyard {

/// \brief Life-cycle phase of an upstream.
enum class upstream_phase : uint8_t {
  kReady,
  kLeaving,       ///< Keeps its flows and gets no new ones.
  kDeregistered,  ///< Not listed; packets of its flows are still forwarded.
};

/// \brief Another balancer that observes an upstream silent.
struct silence_witness {
  endpoint peer;
  time_point silent_since{};  ///< When its unanswered data was first forwarded.
  time_point heard_at{};
  std::vector<uint32_t> callers;  ///< See silent_upstream.
  auto operator<=>(const silence_witness&) const = default;
};

/// \brief One upstream with its registry entry, state and statistics.
struct known_upstream {
  upstream_entry entry;
  uint64_t epoch = 0;  ///< Of the store when `entry` was listed.
  uint32_t mark = 0;
  upstream_phase phase = upstream_phase::kReady;
  /// False if another upstream with the same mark started earlier. Only the
  /// owner of a mark gets new flows.
  bool owns_mark = true;
  time_point cold_until{};       ///< End of the cold start.
  time_point deregistered_at{};  ///< Valid while kDeregistered.
  /// Not listed, but perhaps only because of an outage of the registry.
  bool is_missing = false;
  upstream_stats stats;
  std::vector<silence_witness> witnesses;  ///< See silence.h.
  time_point notice_sent_at{};             ///< Last notice of its silence.
  health_state last_health = health_state::kHealthy;  ///< As last logged.
};

/// \brief A change that a new list makes to one upstream.
struct directory_change {
  enum class kind : uint8_t {
    kJoined,
    kRestarted,  ///< New incarnation with the same id; its flows are lost.
    kReturned,   ///< Listed again as the same incarnation.
    kLeaving,
    kDeregistered,
    kMissing,  ///< Not listed, perhaps only because of an outage.
  };
  kind event = kind::kJoined;
  upstream_id upstream = 0;
  auto operator<=>(const directory_change&) const = default;
};

/// \brief All upstreams. Invariants: `by_mark` contains exactly the owners of
/// marks; `ready_by_service` contains each ready owner outside the evacuated
/// domains once, under its service.
struct upstream_directory {
  store_revision revision;  ///< Of the list last applied.
  bool has_list = false;    ///< A list has been applied.
  time_point read_at{};     ///< When the last list was current.
  /// A longer gap between two lists is an outage of the registry, unless this
  /// process did not run meanwhile.
  duration max_list_gap = 3s;
  /// The last time in which this process did not run.
  time_point paused_at{};
  time_point resumed_at{};
  /// End of the last outage that this balancer has observed.
  std::optional<time_point> outage_ended_at;
  /// End of the last outage that another balancer has reported. It is not
  /// reported further, or delays of messages would prolong it.
  std::optional<time_point> peer_outage_ended_at;
  /// When this balancer learnt of the last return of the store from a copy.
  std::optional<time_point> returned_at;
  /// Domains whose upstreams get no new flows; sorted.
  std::vector<std::string> evacuated_domains;
  std::map<upstream_id, known_upstream> upstreams;
  absl::flat_hash_map<uint32_t, known_upstream*> by_mark;
  std::map<std::string, std::vector<known_upstream*>> ready_by_service;

  upstream_directory() = default;
  upstream_directory(const upstream_directory&) = delete;
  upstream_directory& operator=(const upstream_directory&) = delete;
};

/// \brief For this long after the store has returned from a copy, an entry may
/// be one that its upstream has since replaced or removed. Upstreams that live
/// write theirs again within 2 s; the store removes the others after three
/// intervals of writes.
inline constexpr duration kCopiedEntryLifetime = 10s;

/// \brief Applies a list that was current at `read_at`.
///
/// A list of an older revision is dropped. An upstream that is not listed is
/// deregistered, except in the first seconds after an outage of the registry,
/// or its return from a copy: its entry may come back, so the upstream stays in
/// use until then. An entry that only the copy explains, since the upstream has
/// said something later before the return, is ignored for kCopiedEntryLifetime
/// at most.
///
/// \returns the changes of upstreams.
std::vector<directory_change> UpdateDirectory(upstream_directory& directory,
                                              const upstream_list& list,
                                              time_point read_at,
                                              time_point now);

/// \brief Records that the list last applied is still valid at `revision`,
/// which was current at `read_at`.
void ConfirmList(upstream_directory& directory, const store_revision& revision,
                 time_point read_at);

/// \brief Records that this process did not run, or its VM was suspended, for
/// `elapsed` until `now`. The gap that this leaves between lists is no outage
/// of the registry.
void RecordPause(upstream_directory& directory, duration elapsed,
                 time_point now);

/// \brief Deregisters the missing upstreams once a list without them has been
/// current after the time in which their entries come back. To be called
/// several times a second: a balancer for which others read receives no list
/// unless it differs from the last one.
///
/// \returns the changes of upstreams.
std::vector<directory_change> DeregisterMissing(upstream_directory& directory,
                                                time_point now);

/// \brief Counts the registered upstreams that are known from an earlier epoch
/// of the store: no list of the present one has had an entry for them that
/// counts.
uint64_t CountKeptUpstreams(const upstream_directory& directory);

/// \brief The time since the end of the last outage that this balancer has
/// observed; 0 during an outage.
/// \returns nothing if entries that an outage has removed are back by now.
std::optional<duration> TimeSinceOutage(const upstream_directory& directory,
                                        time_point now);

/// \brief Records an outage of the registry that another balancer has
/// observed. A balancer that has just started cannot observe it itself.
/// \param age TimeSinceOutage() of the other balancer.
void RecordPeerOutage(upstream_directory& directory, duration age,
                      time_point now);

/// \brief Replaces the domains whose upstreams get no new flows. Open flows
/// stay where they are.
/// \param domains sorted.
void SetEvacuatedDomains(upstream_directory& directory,
                         std::vector<std::string> domains);

/// \brief The failure domains of the upstreams, sorted.
std::vector<std::string> ListDomains(const upstream_directory& directory);

/// \brief True if the upstream is in an evacuated domain.
bool IsEvacuated(const upstream_directory& directory,
                 const known_upstream& upstream);

/// \brief True if the service has ready upstreams in evacuated domains.
bool HasEvacuatedUpstream(const upstream_directory& directory,
                          const std::string& service);

/// \brief Returns the upstream that owns `mark`, or null if it is unknown.
known_upstream* FindByMark(const upstream_directory& directory, uint32_t mark);

}  // namespace radishyard
