// Computes and applies differences between upstream lists. Entries are matched
// by id; their order has no meaning.
#include "direct/upstream/list_history.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <xxhash.h>

#include <algorithm>

namespace radishyard {
namespace {

uint64_t HashText(const std::string& text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

uint64_t HashEntry(const upstream_entry& e) {
  const uint64_t words[] = {e.id,
                            e.address.address,
                            e.address.port,
                            e.slots,
                            e.leaving ? 1ULL : 0ULL,
                            static_cast<uint64_t>(e.started_unix_ms)};
  return HashText(e.domain, HashText(e.service, XXH64(words, sizeof words, 0)));
}

using entries_by_id = absl::flat_hash_map<upstream_id, const upstream_entry*>;

entries_by_id IndexById(const upstream_list& list) {
  entries_by_id index;
  index.reserve(list.upstreams.size());
  for (const upstream_entry& entry : list.upstreams)
    index.emplace(entry.id, &entry);
  return index;
}

/// Compares two entries except for what changes without any edit: the remaining
/// time of the cold start, and the sequence number.
bool IsSameContent(const upstream_entry& a, const upstream_entry& b) {
  upstream_entry aged = a;
  aged.cold_remaining = b.cold_remaining;
  aged.sequence = b.sequence;
  return aged == b;
}

/// Returns the ids of the entries added, changed or removed.
std::vector<upstream_id> ChangedIds(const upstream_list& before,
                                    const upstream_list& after) {
  std::vector<upstream_id> ids;
  entries_by_id earlier = IndexById(before);
  for (const upstream_entry& entry : after.upstreams) {
    const auto found = earlier.find(entry.id);
    const bool is_unchanged =
        found != earlier.end() && IsSameContent(*found->second, entry);
    if (!is_unchanged) ids.push_back(entry.id);
    if (found != earlier.end()) earlier.erase(found);
  }
  for (const auto& [id, entry] : earlier) ids.push_back(id);
  return ids;
}

}  // namespace

uint64_t ListDigest(const upstream_list& list) {
  uint64_t digest = 0;
  for (const upstream_entry& entry : list.upstreams) digest += HashEntry(entry);
  return digest;
}

void RecordListChange(list_history& history, const upstream_list& before,
                      uint64_t digest_before, const upstream_list& after) {
  history.changes.push_back({digest_before, ChangedIds(before, after)});
  if (history.changes.size() > kMaxListChanges) history.changes.pop_front();
}

std::optional<list_delta> ComputeDelta(const list_history& history,
                                       uint64_t digest,
                                       const upstream_list& present) {
  const auto from =
      std::find_if(history.changes.rbegin(), history.changes.rend(),
                   [digest](const list_change& change) {
                     return change.digest_before == digest;
                   });
  if (from == history.changes.rend()) return std::nullopt;
  absl::flat_hash_set<upstream_id> ids;
  for (auto change = history.changes.rbegin(); change != from + 1; ++change)
    ids.insert(change->ids.begin(), change->ids.end());
  list_delta delta;
  for (const upstream_entry& entry : present.upstreams)
    if (ids.erase(entry.id) > 0) delta.upstreams.push_back(entry);
  delta.removed.assign(ids.begin(), ids.end());
  std::sort(delta.removed.begin(), delta.removed.end());
  return delta;
}

std::vector<upstream_entry> ApplyDelta(const upstream_list& base,
                                       const list_delta& delta,
                                       duration elapsed) {
  absl::flat_hash_set<upstream_id> replaced(delta.removed.begin(),
                                            delta.removed.end());
  for (const upstream_entry& entry : delta.upstreams) replaced.insert(entry.id);
  std::vector<upstream_entry> result;
  for (const upstream_entry& entry : base.upstreams) {
    if (replaced.contains(entry.id)) continue;
    result.push_back(entry);
    result.back().cold_remaining =
        std::max(duration{}, entry.cold_remaining - elapsed);
  }
  result.insert(result.end(), delta.upstreams.begin(), delta.upstreams.end());
  return result;
}

}  // namespace radishyard
