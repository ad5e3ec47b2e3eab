// Detects duplicates of requests by their digests, so that an upstream does not
// execute a request again because the fabric has duplicated its packet.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "packet/packet.h"

namespace radishyard {

/// \brief A set of request digests. Each digest is retained for a fixed time
/// after it was added or last refreshed; Add() removes the expired ones.
class duplicate_filter {
 public:
  /// \param retention how long a digest is kept. A duplicate that is delayed
  /// for longer is not detected.
  explicit duplicate_filter(duration retention) : retention_(retention) {}

  /// \brief Computes the digest of a request from its flow and its payload.
  static uint64_t ComputeDigest(const flow_key& key, byte_span payload);

  /// \brief Adds a digest.
  ///
  /// \returns false if the digest was present already: the request is then a
  /// duplicate or a retransmission, which RetainedSince() helps to distinguish.
  bool Add(uint64_t digest, time_point now);

  /// \brief Restarts the retention of a digest at `now`, because the caller has
  /// retransmitted the request and it was accepted again. Duplicates of the
  /// retransmission are then detected as well. Does nothing if the digest is
  /// not present.
  void Refresh(uint64_t digest, time_point now);

  /// \brief True if the digest is present. An expired digest is present until
  /// the next Add().
  bool Contains(uint64_t digest) const {
    return retained_since_.contains(digest);
  }

  /// \brief Time at which the digest was added or last refreshed; nothing if it
  /// is not present.
  std::optional<time_point> RetainedSince(uint64_t digest) const;

  /// \brief All digests, for the handover of a pool.
  std::vector<uint64_t> Digests() const;
  size_t size() const { return retained_since_.size(); }

 private:
  struct timed_digest {
    time_point retained_since;
    uint64_t digest;
  };
  void RemoveExpired(time_point now);

  duration retention_;
  // Time at which each digest was added or last refreshed.
  absl::flat_hash_map<uint64_t, time_point> retained_since_;
  // Invariant: the entries are ordered by time, and each entry of
  // retained_since_ has an equal one here. An entry from before a refresh
  // remains until it expires.
  std::deque<timed_digest> by_time_;
};

}  // namespace radishyard
