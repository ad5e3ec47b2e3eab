// Counts the observers of a silent upstream.
#include "direct/upstream/silence_evidence.h"

#include <algorithm>
#include <set>

namespace radishyard {
namespace {

/// An upstream that has answered within this time, or is silent, has traffic.
constexpr duration kTrafficWindow = 2s;

/// True if the witness has been heard lately, and the upstream has shown no
/// sign of life here since its silence began.
bool IsValid(const silence_witness& witness, const known_upstream& upstream,
             time_point now) {
  return now - witness.heard_at <= kWitnessRetention &&
         witness.silent_since + kLifeMargin >= upstream.stats.last_alive_at;
}

}  // namespace

size_t CountWitnesses(const known_upstream& upstream, time_point now) {
  return static_cast<size_t>(std::count_if(
      upstream.witnesses.begin(), upstream.witnesses.end(),
      [&](const silence_witness& w) { return IsValid(w, upstream, now); }));
}

size_t CountSilentCallers(const known_upstream& upstream, time_point now) {
  const std::vector<uint32_t> own = ListSilentCallers(upstream.stats, now);
  std::set<uint32_t> callers(own.begin(), own.end());
  for (const silence_witness& w : upstream.witnesses)
    if (IsValid(w, upstream, now))
      callers.insert(w.callers.begin(), w.callers.end());
  return callers.size();
}

bool IsPathSuspect(const upstream_directory& directory, time_point now) {
  size_t silent = 0;
  size_t answering = 0;
  for (const auto& [id, known] : directory.upstreams) {
    if (IsUnresponsive(known.stats, now))
      ++silent;
    else if (now - known.stats.last_alive_at <= kTrafficWindow)
      ++answering;
  }
  return silent > 1 && silent > answering;
}

}  // namespace radishyard
