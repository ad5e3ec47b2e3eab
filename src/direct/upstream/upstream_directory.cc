// Applies upstream lists to the directory.
#include "direct/upstream/upstream_directory.h"

#include <algorithm>
#include <set>

namespace radishyard {
namespace {

using change = directory_change::kind;

/// Upstreams whose entries an outage of the registry removed register again
/// within 2 s of its end.
constexpr duration kReregistrationGrace = 2500ms;
/// Flows end no later than this after their upstream is deregistered.
constexpr duration kDeregisteredRetention = 60s;

upstream_phase ToPhase(const upstream_entry& entry) {
  return entry.leaving ? upstream_phase::kLeaving : upstream_phase::kReady;
}

void UpdateFromEntry(known_upstream& known, const upstream_entry& entry,
                     uint64_t epoch, time_point now) {
  known.entry = entry;
  known.epoch = epoch;
  known.phase = ToPhase(entry);
  known.cold_until = now + entry.cold_remaining;
  known.is_missing = false;
}

/// The order in which an upstream has written its entries.
std::pair<int64_t, int64_t> WriteOrder(const upstream_entry& entry) {
  return {entry.started_unix_ms, entry.sequence};
}

/// True if a list of `epoch` has the entry only because the store has returned
/// from a copy: before, the upstream had written a later one, or had been
/// removed.
bool IsOutdated(const upstream_directory& directory,
                const known_upstream& known, const upstream_entry& entry,
                uint64_t epoch, time_point now) {
  const bool may_be_copied =
      epoch != known.epoch && directory.returned_at &&
      now - *directory.returned_at < kCopiedEntryLifetime;
  if (!may_be_copied) return false;
  const bool is_older = WriteOrder(entry) < WriteOrder(known.entry);
  const bool is_same = WriteOrder(entry) == WriteOrder(known.entry);
  return is_older || (is_same && known.phase == upstream_phase::kDeregistered);
}

/// Applies one entry of a list of `epoch`.
/// \returns the change that the entry makes, if any.
std::optional<change> ApplyEntry(upstream_directory& directory,
                                 const upstream_entry& entry, uint64_t epoch,
                                 time_point now) {
  const auto [at, is_new] = directory.upstreams.try_emplace(entry.id);
  known_upstream& known = at->second;
  if (!is_new && IsOutdated(directory, known, entry, epoch, now)) {
    known.is_missing = false;
    return std::nullopt;
  }
  const upstream_phase before = known.phase;
  const bool has_restarted =
      !is_new && known.entry.started_unix_ms != entry.started_unix_ms;
  if (has_restarted) {
    known.stats = {};
    known.witnesses.clear();
  }
  known.mark = ToFlowMark(entry.id);
  UpdateFromEntry(known, entry, epoch, now);
  if (is_new) return change::kJoined;
  if (has_restarted) return change::kRestarted;
  if (before == upstream_phase::kDeregistered) return change::kReturned;
  const bool starts_leaving = known.phase == upstream_phase::kLeaving &&
                              before != upstream_phase::kLeaving;
  return starts_leaving ? std::optional(change::kLeaving) : std::nullopt;
}

/// True while entries that an outage removed may not be back yet.
bool IsWithinGrace(const std::optional<time_point>& outage_ended_at,
                   time_point now) {
  return outage_ended_at && now - *outage_ended_at < kReregistrationGrace;
}

/// The same for the last outage observed here or by another balancer.
bool MayReturn(const upstream_directory& directory, time_point now) {
  return IsWithinGrace(directory.outage_ended_at, now) ||
         IsWithinGrace(directory.peer_outage_ended_at, now);
}

/// True if no list was current between the last one and `now` for longer than
/// the intervals of reads and a pause of this process explain.
bool HasListGap(const upstream_directory& directory, time_point now) {
  if (!directory.has_list) return false;
  const duration paused = std::min(now, directory.resumed_at) -
                          std::max(directory.read_at, directory.paused_at);
  const duration gap = now - directory.read_at - std::max(duration{}, paused);
  return gap > directory.max_list_gap;
}

directory_change Deregister(known_upstream& known, time_point now) {
  known.phase = upstream_phase::kDeregistered;
  known.deregistered_at = now;
  return {change::kDeregistered, known.entry.id};
}

/// Handles an upstream that the list does not contain.
/// \returns the change of its state, if any.
std::optional<change> HandleUnlisted(const upstream_directory& directory,
                                     known_upstream& known, time_point now) {
  if (known.phase == upstream_phase::kDeregistered) return std::nullopt;
  if (MayReturn(directory, now)) {
    if (known.is_missing) return std::nullopt;
    known.is_missing = true;
    return change::kMissing;
  }
  return Deregister(known, now).event;
}

/// Records that the store has returned from a copy, if `revision` shows it.
/// Like an outage, that may have removed entries of upstreams that live.
void DetectReturn(upstream_directory& directory, const store_revision& revision,
                  time_point now) {
  const uint64_t epoch_before = directory.revision.epoch;
  if (epoch_before == 0 || revision.epoch <= epoch_before) return;
  directory.returned_at = now;
  directory.outage_ended_at = now;
}

bool IsOlder(const known_upstream& a, const known_upstream& b) {
  return std::pair(a.entry.started_unix_ms, a.entry.id) <
         std::pair(b.entry.started_unix_ms, b.entry.id);
}

/// Fills `by_mark`, which must be empty. Of upstreams with the same mark, the
/// one that started first owns it.
void IndexMarks(upstream_directory& directory) {
  for (auto& [id, known] : directory.upstreams) {
    known.owns_mark = true;
    known_upstream*& owner = directory.by_mark[known.mark];
    if (owner == nullptr) {
      owner = &known;
      continue;
    }
    known_upstream* const younger = IsOlder(known, *owner) ? owner : &known;
    owner = younger == owner ? &known : owner;
    younger->owns_mark = false;
  }
}

bool IsReadyOwner(const known_upstream& known) {
  return known.phase == upstream_phase::kReady && known.owns_mark;
}

/// Fills `ready_by_service`, which must be empty.
void IndexReady(upstream_directory& directory) {
  for (auto& [id, known] : directory.upstreams) {
    if (IsReadyOwner(known) && !IsEvacuated(directory, known))
      directory.ready_by_service[known.entry.service].push_back(&known);
  }
}

/// Removes upstreams that have been deregistered for long enough.
void RemoveExpired(upstream_directory& directory, time_point now) {
  std::erase_if(directory.upstreams, [now](const auto& item) {
    const known_upstream& known = item.second;
    return known.phase == upstream_phase::kDeregistered &&
           now - known.deregistered_at > kDeregisteredRetention;
  });
}

}  // namespace

std::vector<directory_change> UpdateDirectory(upstream_directory& directory,
                                              const upstream_list& list,
                                              time_point read_at,
                                              time_point now) {
  std::vector<directory_change> changes;
  if (list.revision < directory.revision) return changes;
  if (HasListGap(directory, read_at)) directory.outage_ended_at = now;
  DetectReturn(directory, list.revision, now);
  std::set<upstream_id> listed;
  for (const upstream_entry& entry : list.upstreams) {
    listed.insert(entry.id);
    if (const auto event =
            ApplyEntry(directory, entry, list.revision.epoch, now))
      changes.push_back({*event, entry.id});
  }
  for (auto& [id, known] : directory.upstreams) {
    if (listed.contains(id)) continue;
    if (const auto event = HandleUnlisted(directory, known, now))
      changes.push_back({*event, id});
  }
  directory.revision = list.revision;
  directory.read_at = std::max(directory.read_at, read_at);
  directory.has_list = true;
  // Cleared before entries are removed, so that no pointer to a removed one
  // remains if a step fails.
  directory.by_mark.clear();
  directory.ready_by_service.clear();
  RemoveExpired(directory, now);
  IndexMarks(directory);
  IndexReady(directory);
  return changes;
}

void RecordPause(upstream_directory& directory, duration elapsed,
                 time_point now) {
  directory.paused_at = now - elapsed;
  directory.resumed_at = now;
}

std::vector<directory_change> DeregisterMissing(upstream_directory& directory,
                                                time_point now) {
  std::vector<directory_change> changes;
  if (MayReturn(directory, directory.read_at)) return changes;
  for (auto& [id, known] : directory.upstreams) {
    const bool is_in_use = known.phase != upstream_phase::kDeregistered;
    if (known.is_missing && is_in_use)
      changes.push_back(Deregister(known, now));
  }
  if (changes.empty()) return changes;
  directory.ready_by_service.clear();
  IndexReady(directory);
  return changes;
}

uint64_t CountKeptUpstreams(const upstream_directory& directory) {
  return static_cast<uint64_t>(
      std::count_if(directory.upstreams.begin(), directory.upstreams.end(),
                    [&directory](const auto& item) {
                      const known_upstream& known = item.second;
                      return known.phase != upstream_phase::kDeregistered &&
                             known.epoch < directory.revision.epoch;
                    }));
}

void ConfirmList(upstream_directory& directory, const store_revision& revision,
                 time_point read_at) {
  DetectReturn(directory, revision, read_at);
  directory.revision = std::max(directory.revision, revision);
  directory.read_at = std::max(directory.read_at, read_at);
}

std::optional<duration> TimeSinceOutage(const upstream_directory& directory,
                                        time_point now) {
  if (HasListGap(directory, now)) return duration{};
  if (!IsWithinGrace(directory.outage_ended_at, now)) return std::nullopt;
  return now - *directory.outage_ended_at;
}

void RecordPeerOutage(upstream_directory& directory, duration age,
                      time_point now) {
  const time_point ended_at = now - age;
  if (!directory.peer_outage_ended_at ||
      *directory.peer_outage_ended_at < ended_at)
    directory.peer_outage_ended_at = ended_at;
}

void SetEvacuatedDomains(upstream_directory& directory,
                         std::vector<std::string> domains) {
  directory.evacuated_domains = std::move(domains);
  directory.ready_by_service.clear();
  IndexReady(directory);
}

std::vector<std::string> ListDomains(const upstream_directory& directory) {
  std::set<std::string> domains;
  for (const auto& [id, known] : directory.upstreams)
    domains.insert(known.entry.domain);
  return {domains.begin(), domains.end()};
}

bool IsEvacuated(const upstream_directory& directory,
                 const known_upstream& upstream) {
  return std::binary_search(directory.evacuated_domains.begin(),
                            directory.evacuated_domains.end(),
                            upstream.entry.domain);
}

bool HasEvacuatedUpstream(const upstream_directory& directory,
                          const std::string& service) {
  return std::any_of(directory.upstreams.begin(), directory.upstreams.end(),
                     [&](const auto& item) {
                       return IsReadyOwner(item.second) &&
                              item.second.entry.service == service &&
                              IsEvacuated(directory, item.second);
                     });
}

known_upstream* FindByMark(const upstream_directory& directory, uint32_t mark) {
  const auto found = directory.by_mark.find(mark);
  return found == directory.by_mark.end() ? nullptr : found->second;
}

}  // namespace radishyard
