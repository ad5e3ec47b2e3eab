// Weighted rendezvous hashing: the candidate with the lowest -ln(u) / weight
// wins, where u is a hash of key and candidate, uniform in (0, 1].
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

// For one of the kLogTableSize equal segments of [1, 2): the inverse of its
// midpoint, and the logarithm of the midpoint.
struct log_segment {
  double inverse = 0;
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

// -ln(h / 2^64) with an error of about 1e-10, by a fixed sequence of basic
// operations. The C library's log may differ in its last bit between
// processors, and balancers would then rank candidates differently.
double NegativeLog(uint64_t h) {
  const uint64_t positive = h | 1;
  const int zeros = std::countl_zero(positive);
  // 53 bits, so that the conversion to double is exact. The mantissa is in
  // [1, 2).
  const uint64_t bits = (positive << zeros) >> 11;
  const double mantissa =
      static_cast<double>(bits) / static_cast<double>(uint64_t{1} << 52);
  const log_segment& part =
      kLogTable[(bits >> (52 - kLogTableBits)) % kLogTableSize];
  const double r = mantissa * part.inverse - 1;
  const double log = part.log + r * (1 - r * (0.5 - r * (1.0 / 3)));
  return (zeros + 1) * kLn2 - log;
}

double Cost(uint64_t key, const rendezvous_candidate& candidate) {
  if (!(candidate.weight > 0)) return std::numeric_limits<double>::infinity();
  const uint64_t h = XXH3_64bits_withSeed(&key, sizeof key, candidate.id_hash);
  return NegativeLog(h) / candidate.weight;
}

// Cost and hash of the name, which decides between equal costs.
using score = std::pair<double, uint64_t>;

score Score(uint64_t key, const rendezvous_candidate& candidate) {
  return {Cost(key, candidate), candidate.id_hash};
}

}  // namespace

uint64_t NameHash(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

std::vector<size_t> RankByRendezvous(
    uint64_t key, std::span<const rendezvous_candidate> candidates) {
  std::vector<std::pair<score, size_t>> scored;
  scored.reserve(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].weight > 0) {
      scored.emplace_back(Score(key, candidates[i]), i);
    }
  }
  std::ranges::sort(scored);
  std::vector<size_t> order;
  order.reserve(scored.size());
  for (const auto& entry : scored) order.push_back(entry.second);
  return order;
}

size_t PickByRendezvous(uint64_t key,
                        std::span<const rendezvous_candidate> candidates) {
  size_t best = candidates.size();
  score best_score{std::numeric_limits<double>::infinity(), 0};
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!(candidates[i].weight > 0)) continue;
    const score mine = Score(key, candidates[i]);
    if (best != candidates.size() && best_score <= mine) continue;
    best = i;
    best_score = mine;
  }
  return best;
}

}  // namespace radishyard
