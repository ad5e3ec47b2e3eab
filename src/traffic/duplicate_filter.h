// Digests of requests that were taken in, so that a copy made by the fabric
// does not run a second time.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "packet/packet.h"

namespace radishyard {

/// \brief A set of request digests that forgets each after a fixed time.
class duplicate_filter {
 public:
  /// \param retention how long a digest is kept; a copy that is delayed for
  /// longer is not recognised.
  explicit duplicate_filter(duration retention) : retention_(retention) {}

  /// \brief Digest of a request: its flow and its payload.
  static uint64_t ComputeDigest(const flow_key& key, byte_span payload);

  /// \brief Adds a digest. \returns false if it was present: the request is a
  /// duplicate.
  bool Add(uint64_t digest, time_point now);

  /// \brief The request came again later than a copy would, and is taken in:
  /// copies of this repetition count from now.
  void Refresh(uint64_t digest, time_point now);

  bool Contains(uint64_t digest) const { return added_at_.contains(digest); }

  /// \brief When the digest was added or renewed, if it is present.
  std::optional<time_point> LastAddedAt(uint64_t digest) const;

  /// \brief Digests held, for the hand-over of a pool.
  std::vector<uint64_t> Digests() const;
  size_t size() const { return added_at_.size(); }

 private:
  struct timed_digest {
    time_point added_at;
    uint64_t digest;
  };
  void RemoveExpired(time_point now);

  duration retention_;
  // Invariant: by_time_ is in order of time and holds each digest of added_at_
  // with its time; times before a renewal are left in it.
  absl::flat_hash_map<uint64_t, time_point> added_at_;
  std::deque<timed_digest> by_time_;
};

}  // namespace radishyard
