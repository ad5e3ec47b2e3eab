// A caller's packet in decoded form, independent of the wire format. The
// forwarding decisions of direct server return take this form as their input.
#pragma once
#include <compare>
#include <cstdint>

#include "packet/flow_key.h"

namespace radishyard {

/// \brief A packet from a caller.
struct direct_packet {
  flow_key flow;
  uint32_t mark = 0;  ///< Flow mark that the caller returns; 0 on an opening.
  bool is_opening = false;  ///< First packet of a flow, or its retransmission.
  bool has_fin = false;     ///< The caller sends no more data.
  bool is_reset = false;    ///< The caller aborts the flow.
  /// On an opening: how often it was sent before.
  uint32_t retransmission_count = 0;
  uint32_t sequence = 0;      ///< Sequence number of the first byte of data.
  uint32_t acknowledged = 0;  ///< Sequence number that the caller expects next.
  uint16_t length = 0;        ///< Length of the data in bytes.
  auto operator<=>(const direct_packet&) const = default;
};

/// \brief True if sequence number `a` follows `b`; the numbers wrap around.
inline bool IsAfter(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) > 0;
}

}  // namespace radishyard
