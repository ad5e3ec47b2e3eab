// Interface to the wire format of packets. The platform's adapter implements
// it; tests use their own format.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "base/failure.h"
#include "direct/upstream/direct_packet.h"
#include "direct/upstream/flow_mark.h"

namespace radishyard {

/// \brief A datagram that is modified in place.
using mutable_bytes = std::span<uint8_t>;

/// \brief Decodes received datagrams and prepares those to be sent.
class packet_codec {
 public:
  virtual ~packet_codec() = default;
  /// \brief Bytes that precede the packet in a datagram to an upstream.
  virtual size_t HeadroomBytes() const = 0;
  /// \brief Decodes a packet.
  /// \param why receives the reason if `packet` is malformed.
  /// \returns nothing if `packet` is malformed.
  virtual std::optional<direct_packet> Decode(std::span<const uint8_t> packet,
                                              failure& why) const = 0;
  /// \brief Writes the id of the upstream that the datagram is meant for into
  /// its headroom.
  /// \param datagram the headroom, followed by the packet.
  virtual void SetUpstream(mutable_bytes datagram, upstream_id to) const = 0;
  /// \brief Writes the flow mark into an opening.
  /// \param datagram the headroom, followed by the packet.
  virtual void SetMark(mutable_bytes datagram, uint32_t mark) const = 0;
  /// \brief Returns the datagram that refuses the flow of `packet`.
  virtual std::vector<uint8_t> EncodeRefusal(
      const direct_packet& packet) const = 0;
};

}  // namespace radishyard
