// Implements the digest set, with expiry in order of time.
#include "traffic/duplicate_filter.h"

#include <xxhash.h>

namespace radishyard {

uint64_t duplicate_filter::ComputeDigest(const flow_key& key,
                                         byte_span payload) {
  return XXH3_64bits_withSeed(payload.data(), payload.size(), StableHash(key));
}

void duplicate_filter::RemoveExpired(time_point now) {
  while (!by_time_.empty() && now - by_time_.front().added_at > retention_) {
    const auto found = added_at_.find(by_time_.front().digest);
    if (found != added_at_.end() && found->second == by_time_.front().added_at)
      added_at_.erase(found);
    by_time_.pop_front();
  }
}

std::optional<time_point> duplicate_filter::LastAddedAt(uint64_t digest) const {
  const auto found = added_at_.find(digest);
  if (found == added_at_.end()) return std::nullopt;
  return found->second;
}

std::vector<uint64_t> duplicate_filter::Digests() const {
  std::vector<uint64_t> digests;
  digests.reserve(added_at_.size());
  for (const auto& [digest, at] : added_at_) digests.push_back(digest);
  return digests;
}

bool duplicate_filter::Add(uint64_t digest, time_point now) {
  RemoveExpired(now);
  if (!added_at_.try_emplace(digest, now).second) return false;
  by_time_.push_back({now, digest});
  return true;
}

void duplicate_filter::Refresh(uint64_t digest, time_point now) {
  const auto found = added_at_.find(digest);
  if (found == added_at_.end()) return;
  found->second = now;
  by_time_.push_back({now, digest});
}

}  // namespace radishyard
