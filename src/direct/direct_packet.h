// A packet of a caller as the decisions of direct server return see it: decoded
// once at the edge of the program, free of any wire format.
#pragma once
#include <compare>
#include <cstdint>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief A packet from a caller.
struct direct_packet {
  flow_key flow;
  uint32_t mark = 0;        ///< Flow mark that came back; 0 on an opening.
  bool is_opening = false;  ///< First packet of a flow, or a copy of it.
  bool has_fin = false;     ///< The caller sends no more data.
  bool is_reset = false;    ///< The caller gives the flow up.
  /// On an opening: copies sent before this one.
  uint32_t retransmission_count = 0;
  uint32_t sequence = 0;      ///< Of the first byte of data.
  uint32_t acknowledged = 0;  ///< Next byte that the caller expects.
  uint16_t length = 0;        ///< Bytes of data.
  auto operator<=>(const direct_packet&) const = default;
};

/// \brief Sequence numbers wrap: true where `a` lies after `b`.
inline bool IsAfter(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) > 0;
}

}  // namespace radishyard
