// Implements the digest set, with expiry in order of time.
#include "traffic/duplicate_filter.h"

#include <xxhash.h>

namespace radishyard {

uint64_t duplicate_filter::ComputeDigest(const flow_key& key,
                                         byte_span payload) {
  return XXH3_64bits_withSeed(payload.data(), payload.size(), StableHash(key));
}

void duplicate_filter::RemoveExpired(time_point now) {
  while (!by_time_.empty() &&
         now - by_time_.front().retained_since > retention_) {
    const auto found = retained_since_.find(by_time_.front().digest);
    if (found != retained_since_.end() &&
        found->second == by_time_.front().retained_since)
      retained_since_.erase(found);
    by_time_.pop_front();
  }
}

std::optional<time_point> duplicate_filter::RetainedSince(
    uint64_t digest) const {
  const auto found = retained_since_.find(digest);
  if (found == retained_since_.end()) return std::nullopt;
  return found->second;
}

std::vector<uint64_t> duplicate_filter::Digests() const {
  std::vector<uint64_t> digests;
  digests.reserve(retained_since_.size());
  for (const auto& [digest, at] : retained_since_) digests.push_back(digest);
  return digests;
}

bool duplicate_filter::Add(uint64_t digest, time_point now) {
  RemoveExpired(now);
  if (!retained_since_.try_emplace(digest, now).second) return false;
  by_time_.push_back({now, digest});
  return true;
}

void duplicate_filter::Refresh(uint64_t digest, time_point now) {
  const auto found = retained_since_.find(digest);
  if (found == retained_since_.end()) return;
  found->second = now;
  by_time_.push_back({now, digest});
}

}  // namespace radishyard
