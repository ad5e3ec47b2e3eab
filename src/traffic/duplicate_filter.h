// Detects duplicates of requests by their digests, so that a copy made by the
// fabric is not executed a second time.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "packet/packet.h"

namespace radishyard {

/// \brief A set of request digests from which each expires after a fixed time.
class duplicate_filter {
 public:
  /// \param retention how long a digest is kept. A duplicate that is delayed
  /// for longer is not detected.
  explicit duplicate_filter(duration retention) : retention_(retention) {}

  /// \brief Computes the digest of a request from its flow and its payload.
  static uint64_t ComputeDigest(const flow_key& key, byte_span payload);

  /// \brief Adds a digest.
  ///
  /// \returns false if the digest was present already, that is if the request
  /// is a duplicate or a retransmission.
  bool Add(uint64_t digest, time_point now);

  /// \brief Sets the time of a digest to `now`, because its request was
  /// retransmitted by the caller and accepted again. The age of duplicates of
  /// this retransmission counts from `now`.
  void Refresh(uint64_t digest, time_point now);

  bool Contains(uint64_t digest) const { return added_at_.contains(digest); }

  /// \brief Time at which the digest was added or refreshed; nothing if it is
  /// not present.
  std::optional<time_point> LastAddedAt(uint64_t digest) const;

  /// \brief All digests, for the handover of a pool.
  std::vector<uint64_t> Digests() const;
  size_t size() const { return added_at_.size(); }

 private:
  struct timed_digest {
    time_point added_at;
    uint64_t digest;
  };
  void RemoveExpired(time_point now);

  duration retention_;
  // Time at which each digest was added or refreshed.
  absl::flat_hash_map<uint64_t, time_point> added_at_;
  // Invariant: in order of time; has an entry for each digest of added_at_ with
  // its time. Entries from before a refresh remain in it until they expire.
  std::deque<timed_digest> by_time_;
};

}  // namespace radishyard
