// Peer messages as framed bytes: a length, a version, a type, and the fields
// in msgpack.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/failure.h"
#include "peer/peer_message.h"

namespace radishyard {

/// \brief Largest payload of a frame.
inline constexpr size_t kMaxPayloadBytes = 1U << 20;
/// \brief Bytes of the length before each payload, most significant first.
inline constexpr size_t kFrameLengthBytes = 4;
/// \brief Version of the protocol. A payload of another version is refused.
inline constexpr uint8_t kPeerProtocolVersion = 1;

/// \brief A whole frame, or nothing (kInvalid) if it is above the bound.
///
/// \code
/// failure why;
/// std::optional<std::string> frame = EncodeFrame(hello{self}, why);
/// \endcode
std::optional<std::string> EncodeFrame(const peer_message& message,
                                       failure& why);

/// \brief The message of a payload, or nothing (kInvalid) and the reason.
///
/// Takes any bytes. Fields that a later release has appended to a struct are
/// skipped; a missing field or one of another type makes the payload malformed.
std::optional<peer_message> DecodePayload(std::string_view payload,
                                          failure& why);

/// \brief What the start of a byte stream holds.
struct frame_view {
  enum class status : uint8_t {
    kComplete,  ///< `payload` is a frame's; `size` bytes belong to it.
    kPartial,   ///< More bytes are needed.
    kTooLarge,  ///< The length is above the bound; the stream is of no use.
  };
  status what = status::kPartial;
  std::string_view payload;
  size_t size = 0;  ///< Bytes of the frame with its length.
};

/// \brief Looks for a whole frame at the start of `bytes`.
frame_view ParseFrame(std::string_view bytes);

}  // namespace radishyard
