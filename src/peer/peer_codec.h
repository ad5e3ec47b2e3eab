// Encodes and decodes peer messages. A frame is the length of its payload
// followed by the payload: the protocol version, the message type and the
// fields of the message in msgpack.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/failure.h"
#include "peer/peer_message.h"

namespace radishyard {

/// \brief Largest payload of a frame, in bytes.
inline constexpr size_t kMaxPayloadBytes = 1U << 20;
/// \brief Size of the length field before each payload, in bytes; big-endian.
inline constexpr size_t kFrameLengthBytes = 4;
/// \brief Protocol version. A payload with another version is rejected.
inline constexpr uint8_t kPeerProtocolVersion = 1;

/// \brief Encodes `message` as a complete frame.
///
/// \code
/// failure why;
/// std::optional<std::string> frame = EncodeFrame(hello{self}, why);
/// \endcode
/// \returns nothing, with kInvalid in `why`, if the payload exceeds
/// kMaxPayloadBytes.
std::optional<std::string> EncodeFrame(const peer_message& message,
                                       failure& why);

/// \brief Decodes the message of a payload, which may be arbitrary bytes.
///
/// Fields that a later release has appended to a struct are skipped; a missing
/// field or a field of another type makes the payload malformed.
/// \returns nothing, with kInvalid and the reason in `why`, if the payload is
/// malformed.
std::optional<peer_message> DecodePayload(std::string_view payload,
                                          failure& why);

/// \brief The frame at the start of a byte stream, as far as it was received.
struct frame_view {
  enum class status : uint8_t {
    kComplete,  ///< The frame is complete; `payload` and `size` are set.
    kPartial,   ///< More bytes are needed.
    kTooLarge,  ///< The length exceeds kMaxPayloadBytes; the stream can't be
                ///< read any further.
  };
  status what = status::kPartial;
  std::string_view payload;
  size_t size = 0;  ///< Size of the frame in bytes, with its length field.
};

/// \brief Looks for a complete frame at the start of `bytes`. The
/// payload of the result refers to `bytes`.
frame_view ParseFrame(std::string_view bytes);

}  // namespace radishyard
