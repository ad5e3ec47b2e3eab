// Weighted rendezvous hashing: the candidate with the lowest -ln(u) / weight
// wins, where u is a hash of key and candidate, uniform in (0, 1).
#include "roster/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>
#include <limits>
#include <utility>

namespace radishyard {
namespace {

constexpr double kLn2 = 0.69314718055994530942;
constexpr int kLogTableBits = 7;
constexpr size_t kLogTableSize = size_t{1} << kLogTableBits;

// ln(x) for x in [1, 2], by the series ln(x) = 2 * atanh((x - 1) / (x + 1)).
constexpr double SeriesLog(double x) {
  const double s = (x - 1) / (x + 1);
  double power = s;
  double sum = 0;
  for (int n = 1; n < 40; n += 2) {
    sum += power / n;
    power *= s * s;
  }
  return 2 * sum;
}

// The reciprocal and the logarithm of the midpoint of one of the kLogTableSize
// equal segments of [1, 2).
struct log_segment {
  double reciprocal = 0;
  double log = 0;
};

constexpr std::array<log_segment, kLogTableSize> MakeLogTable() {
  std::array<log_segment, kLogTableSize> table;
  for (size_t i = 0; i < kLogTableSize; ++i) {
    const double midpoint = 1 + (static_cast<double>(i) + 0.5) / kLogTableSize;
    table[i] = {1 / midpoint, SeriesLog(midpoint)};
  }
  return table;
}

constexpr std::array<log_segment, kLogTableSize> kLogTable = MakeLogTable();

// -ln((h | 1) / 2^64) with an absolute error of about 1e-10, by a fixed
// sequence of basic operations. The lowest bit is set because ln(0) is not
// finite. The C library's log may differ in its last bit between processors,
// and balancers would then rank candidates differently.
double NegativeLog(uint64_t h) {
  const uint64_t positive = h | 1;
  const int zeros = std::countl_zero(positive);
  // 53 bits, so that the conversion to double is exact. The mantissa is in
  // [1, 2).
  const uint64_t top_bits = (positive << zeros) >> 11;
  const double mantissa =
      static_cast<double>(top_bits) / static_cast<double>(uint64_t{1} << 52);
  const log_segment& segment =
      kLogTable[(top_bits >> (52 - kLogTableBits)) % kLogTableSize];
  const double r = mantissa * segment.reciprocal - 1;
  // ln(1 + r) = r - r^2 / 2 + r^3 / 3 - ...
  const double log = segment.log + r * (1 - r * (0.5 - r * (1.0 / 3)));
  return (zeros + 1) * kLn2 - log;
}

double Cost(uint64_t key, const rendezvous_candidate& candidate) {
  // The callers below leave out candidates without a weight.
  if (!(candidate.weight > 0)) return std::numeric_limits<double>::infinity();
  const uint64_t h = XXH3_64bits_withSeed(&key, sizeof key, candidate.id_hash);
  return NegativeLog(h) / candidate.weight;
}

// Sort key of a candidate, the lowest first: its cost, and its id_hash, which
// decides between equal costs.
using rank_key = std::pair<double, uint64_t>;

rank_key MakeRankKey(uint64_t key, const rendezvous_candidate& candidate) {
  return {Cost(key, candidate), candidate.id_hash};
}

}  // namespace

uint64_t NameHash(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

std::vector<size_t> RankByRendezvous(
    uint64_t key, std::span<const rendezvous_candidate> candidates) {
  std::vector<std::pair<rank_key, size_t>> ranked;
  ranked.reserve(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].weight > 0) {
      ranked.emplace_back(MakeRankKey(key, candidates[i]), i);
    }
  }
  std::ranges::sort(ranked);
  std::vector<size_t> order;
  order.reserve(ranked.size());
  for (const auto& entry : ranked) order.push_back(entry.second);
  return order;
}

size_t PickByRendezvous(uint64_t key,
                        std::span<const rendezvous_candidate> candidates) {
  size_t best = candidates.size();  // If no candidate has a weight.
  rank_key best_rank_key{std::numeric_limits<double>::infinity(), 0};
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!(candidates[i].weight > 0)) continue;
    const rank_key candidate_rank_key = MakeRankKey(key, candidates[i]);
    if (best != candidates.size() && best_rank_key <= candidate_rank_key)
      continue;
    best = i;
    best_rank_key = candidate_rank_key;
  }
  return best;
}

}  // namespace radishyard
