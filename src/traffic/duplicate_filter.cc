// Digest set with expiry in order of age.
#include "traffic/duplicate_filter.h"

#include <xxhash.h>

namespace radishyard {

uint64_t duplicate_filter::DigestOf(const flow_key& key, byte_span payload) {
  return XXH3_64bits_withSeed(payload.data(), payload.size(), StableHash(key));
}

void duplicate_filter::Forget(time_point now) {
  while (!by_age_.empty() && now - by_age_.front().at > retention_) {
    const auto found = seen_.find(by_age_.front().digest);
    if (found != seen_.end() && found->second == by_age_.front().at)
      seen_.erase(found);
    by_age_.pop_front();
  }
}

std::optional<time_point> duplicate_filter::AddedAt(uint64_t digest) const {
  const auto found = seen_.find(digest);
  if (found == seen_.end()) return std::nullopt;
  return found->second;
}

std::vector<uint64_t> duplicate_filter::List() const {
  std::vector<uint64_t> digests;
  digests.reserve(seen_.size());
  for (const auto& [digest, at] : seen_) digests.push_back(digest);
  return digests;
}

bool duplicate_filter::Add(uint64_t digest, time_point now) {
  Forget(now);
  if (!seen_.try_emplace(digest, now).second) return false;
  by_age_.push_back({now, digest});
  return true;
}

void duplicate_filter::Renew(uint64_t digest, time_point now) {
  const auto found = seen_.find(digest);
  if (found == seen_.end()) return;
  found->second = now;
  by_age_.push_back({now, digest});
}

}  // namespace radishyard
