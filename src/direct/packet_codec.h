// The wire format of direct server return, behind an interface: the platform's
// adapter implements it, tests replace it.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "base/failure.h"
#include "direct/direct_packet.h"
#include "direct/flow_mark.h"

namespace radishyard {

/// \brief Bytes of a datagram that may be changed in place.
using mutable_bytes = std::span<uint8_t>;

/// \brief Reads and writes packets.
class packet_codec {
 public:
  virtual ~packet_codec() = default;
  /// \brief Bytes that a forwarded datagram has before its packet.
  virtual size_t HeadroomBytes() const = 0;
  /// \brief Decodes a packet. \returns nothing, and the reason, for what is
  /// none.
  virtual std::optional<direct_packet> Decode(std::span<const uint8_t> packet,
                                              failure& why) const = 0;
  /// \brief Prepares a datagram, headroom first, for an upstream.
  virtual void SetUpstream(mutable_bytes datagram, upstream_id to) const = 0;
  /// \brief Writes the mark into an opening. \param datagram as for
  /// SetUpstream().
  virtual void SetMark(mutable_bytes datagram, uint32_t mark) const = 0;
  /// \brief The datagram that refuses a packet's flow.
  virtual std::vector<uint8_t> EncodeRefusal(
      const direct_packet& packet) const = 0;
};

}  // namespace radishyard
