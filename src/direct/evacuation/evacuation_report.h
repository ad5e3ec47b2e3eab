// The part of a message between balancers about evacuations. peer/peer_codec
// encodes it.
#pragma once
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace radishyard {

/// \brief Value of an age if nothing was confirmed lately.
inline constexpr uint32_t kNotConfirmed = UINT32_MAX;

/// \brief The evacuated failure domains as a balancer knows them; see
/// evacuation.h.
struct evacuation_report {
  /// Fields that every version of the protocol has; see peer/peer_codec.
  static constexpr size_t kRequiredFields = 4;
  uint64_t revision = 0;  ///< Number of the revision; 0 if nothing is known.
  /// Time since the platform confirmed the domains to the sender, or to a
  /// balancer that reported to it; kNotConfirmed if neither has been the case.
  uint32_t age_ms = kNotConfirmed;
  bool is_read_by_sender = false;  ///< `age_ms` is of a read of the sender.
  std::vector<std::string> domains;
  uint64_t epoch = 0;  ///< Of the revision.
  auto operator<=>(const evacuation_report&) const = default;
};

}  // namespace radishyard
