// Computes the flow mark as a seeded hash of the upstream's id.
#include "direct/upstream/flow_mark.h"

#include <xxhash.h>

#include <array>
#include <charconv>

namespace radishyard {
namespace {

/// Stays the same in every release, because balancers of different releases
/// serve the same flows during an upgrade.
constexpr uint64_t kMarkSeed = 0x7261646973687961;

}  // namespace

uint32_t ToFlowMark(upstream_id id) {
  const auto mark =
      static_cast<uint32_t>(XXH64(&id, sizeof id, kMarkSeed) >> 32);
  return mark == 0 ? 1 : mark;
}

std::string ToHex(upstream_id id) {
  std::array<char, 2 * sizeof id> digits;
  constexpr int kHexadecimal = 16;
  const auto [end, error] = std::to_chars(
      digits.data(), digits.data() + digits.size(), id, kHexadecimal);
  return std::string(digits.data(), end);
}

}  // namespace radishyard
