// Implements the codec with msgpack-cxx, which no other source includes. A
// struct is encoded as an array of its fields, in the order of its Fields()
// function.
#include "peer/peer_codec.h"

#include <algorithm>
#include <array>
#include <concepts>
#include <limits>
#include <msgpack.hpp>
#include <tuple>
#include <type_traits>
#include <utility>

namespace radishyard {
namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

constexpr size_t kPayloadHeaderBytes = 2;  // Version and type.
/// Bounds of one msgpack value. They limit how much memory a hostile array
/// length makes the decoder allocate.
constexpr size_t kMaxArrayItems = 1U << 16;
constexpr size_t kMaxNestingDepth = 8;

/// `T` is `U` or `const U`, so that one Fields() function serves both the
/// encoder and the decoder.
template <typename T, typename U>
concept maybe_const = std::same_as<std::remove_const_t<T>, U>;

/// A struct that has a Fields() function.
template <typename T>
concept field_struct = std::is_class_v<T>;

template <maybe_const<endpoint> T>
auto Fields(T& m) {
  return std::tie(m.address, m.port);
}
template <maybe_const<member_id> T>
auto Fields(T& m) {
  return std::tie(m.name, m.incarnation);
}
template <maybe_const<member> T>
auto Fields(T& m) {
  return std::tie(m.id, m.domain, m.size, m.data, m.data_threads, m.control,
                  m.admin, m.leaving);
}
template <maybe_const<hello> T>
auto Fields(T& m) {
  return std::tie(m.self);
}
template <maybe_const<domain_epoch> T>
auto Fields(T& m) {
  return std::tie(m.domain, m.epoch);
}
template <maybe_const<upstream_usage> T>
auto Fields(T& m) {
  return std::tie(m.address, m.connections, m.slots);
}
template <maybe_const<pool_delta> T>
auto Fields(T& m) {
  return std::tie(m.service, m.domain, m.full, m.counts, m.queue_length,
                  m.free_slots);
}
template <maybe_const<domain_summary> T>
auto Fields(T& m) {
  return std::tie(m.domain, m.from, m.sequence, m.roster_epoch, m.dead);
}
template <maybe_const<heartbeat> T>
auto Fields(T& m) {
  return std::tie(m.sender, m.sequence, m.sent_ms, m.epochs, m.table_digest,
                  m.loads, m.summaries, m.evacuation_digest);
}
template <maybe_const<heartbeat_ack> T>
auto Fields(T& m) {
  return std::tie(m.sender, m.sequence, m.sent_ms, m.epochs);
}
template <maybe_const<service_version> T>
auto Fields(T& m) {
  return std::tie(m.name, m.version);
}
template <maybe_const<table_digest> T>
auto Fields(T& m) {
  return std::tie(m.services, m.evacuations);
}
template <maybe_const<table_record> T>
auto Fields(T& m) {
  return std::tie(m.value, m.version, m.edit_id);
}
template <maybe_const<table_records> T>
auto Fields(T& m) {
  return std::tie(m.records, m.evacuations);
}
template <maybe_const<roster_record> T>
auto Fields(T& m) {
  return std::tie(m.domain, m.store_version, m.value);
}
template <maybe_const<handover_chunk> T>
auto Fields(T& m) {
  return std::tie(m.domain, m.service, m.epoch, m.index, m.last, m.flows);
}
template <maybe_const<handover_ack> T>
auto Fields(T& m) {
  return std::tie(m.domain, m.service, m.epoch, m.index);
}
template <maybe_const<standby_flows> T>
auto Fields(T& m) {
  return std::tie(m.domain, m.service, m.flows);
}

template <maybe_const<view_member> T>
auto Fields(T& m) {
  return std::tie(m.peer, m.domain, m.capacity_millicores);
}
template <maybe_const<upstream_outcomes> T>
auto Fields(T& m) {
  return std::tie(m.upstream, m.responses, m.mean_response_us, m.failures);
}
template <maybe_const<evacuation_report> T>
auto Fields(T& m) {
  return std::tie(m.revision, m.age_ms, m.is_read_by_sender, m.domains,
                  m.epoch);
}
template <maybe_const<load_sample> T>
auto Fields(T& m) {
  return std::tie(m.service, m.domain, m.busy_milli, m.ended_milli_per_s,
                  m.failures_milli_per_s);
}
template <maybe_const<load_report> T>
auto Fields(T& m) {
  return std::tie(m.interval_ms, m.samples, m.upstream_flows);
}
template <maybe_const<domain_sum> T>
auto Fields(T& m) {
  return std::tie(m.domain, m.age_ms, m.samples);
}
template <maybe_const<load_notice> T>
auto Fields(T& m) {
  return std::tie(m.sender, m.sums, m.list_digest, m.upstream_flows);
}
template <maybe_const<view_report> T>
auto Fields(T& m) {
  return std::tie(m.self, m.wants_reply, m.watches_table, m.table_version,
                  m.revision, m.digest, m.age_ms, m.members, m.outcomes,
                  m.outage_age_ms, m.table_age_ms, m.evacuations, m.load,
                  m.epoch);
}
template <maybe_const<upstream_age> T>
auto Fields(T& m) {
  return std::tie(m.upstream, m.age_ms);
}
template <maybe_const<silent_upstream> T>
auto Fields(T& m) {
  return std::tie(m.upstream, m.age_ms, m.callers);
}
template <maybe_const<silence_notice> T>
auto Fields(T& m) {
  return std::tie(m.sender, m.silent, m.alive);
}
template <maybe_const<snapshot_request> T>
auto Fields(T& m) {
  return std::tie(m.table_version, m.known_list_digest);
}
template <maybe_const<view_share> T>
auto Fields(T& m) {
  return std::tie(m.service, m.weight);
}
template <maybe_const<view_address> T>
auto Fields(T& m) {
  return std::tie(m.address, m.shares, m.retry_class, m.timeout_ms,
                  m.target_latency_ms, m.priority);
}
template <maybe_const<view_upstream> T>
auto Fields(T& m) {
  return std::tie(m.id, m.service, m.address, m.domain, m.slots, m.leaving,
                  m.cold_remaining_ms, m.started_unix_ms, m.sequence);
}
template <maybe_const<view_start_rate> T>
auto Fields(T& m) {
  return std::tie(m.service, m.openings_per_1000s, m.cold_start_ms);
}
template <maybe_const<view_snapshot> T>
auto Fields(T& m) {
  return std::tie(m.table_version, m.idle_timeout_ms, m.addresses, m.revision,
                  m.age_ms, m.digest, m.base_digest, m.upstreams, m.removed,
                  m.outage_age_ms, m.evacuations, m.start_rates, m.epoch);
}
template <maybe_const<start_incarnation> T>
auto Fields(T& m) {
  return std::tie(m.upstream, m.started_unix_ms);
}
template <maybe_const<grant_request> T>
auto Fields(T& m) {
  return std::tie(m.sender, m.of, m.id, m.openings);
}
template <maybe_const<grant_reply> T>
auto Fields(T& m) {
  return std::tie(m.of, m.id, m.granter, m.openings, m.cold_remaining_ms);
}

void Write(packer& to, bool value) { to.pack(value); }

template <std::unsigned_integral T>
void Write(packer& to, T value) {
  to.pack(value);
}

void Write(packer& to, const std::string& value) {
  to.pack_str(static_cast<uint32_t>(value.size()));
  to.pack_str_body(value.data(), static_cast<uint32_t>(value.size()));
}

void Write(packer& to, const byte_blob& value) {
  to.pack_bin(static_cast<uint32_t>(value.size()));
  to.pack_bin_body(reinterpret_cast<const char*>(value.data()),
                   static_cast<uint32_t>(value.size()));
}

template <field_struct T>
void Write(packer& to, const T& value);

template <typename T>
void Write(packer& to, const std::vector<T>& list) {
  to.pack_array(static_cast<uint32_t>(list.size()));
  for (const T& item : list) Write(to, item);
}

template <field_struct T>
void Write(packer& to, const T& value) {
  std::apply(
      [&to](const auto&... field) {
        to.pack_array(sizeof...(field));
        (Write(to, field), ...);
      },
      Fields(value));
}

/// Returns true if `text` is valid UTF-8, so that it can be written to JSON and
/// logs: each lead byte has its continuation bytes, and no code point has an
/// overlong encoding or is a surrogate.
bool IsUtf8(std::string_view text) {
  constexpr std::array<uint32_t, 4> kLowestCodePoint = {0, 0x80, 0x800,
                                                        0x10000};
  size_t at = 0;
  while (at < text.size()) {
    const auto lead = static_cast<uint8_t>(text[at++]);
    if (lead < 0x80) continue;
    const size_t continuation_bytes = lead >= 0xF0 ? 3 : lead >= 0xE0 ? 2 : 1;
    if (lead < 0xC2 || lead > 0xF4 || at + continuation_bytes > text.size())
      return false;
    uint32_t code_point = lead & (0x3FU >> continuation_bytes);
    for (size_t i = 0; i < continuation_bytes; ++i) {
      const auto next = static_cast<uint8_t>(text[at++]);
      if ((next & 0xC0) != 0x80) return false;
      code_point = code_point << 6 | (next & 0x3F);
    }
    const bool surrogate = code_point >= 0xD800 && code_point < 0xE000;
    if (code_point < kLowestCodePoint[continuation_bytes] ||
        code_point > 0x10FFFF || surrogate)
      return false;
  }
  return true;
}

bool Read(const msgpack::object& from, bool& value) {
  if (from.type != msgpack::type::BOOLEAN) return false;
  value = from.via.boolean;
  return true;
}

template <std::unsigned_integral T>
bool Read(const msgpack::object& from, T& value) {
  if (from.type != msgpack::type::POSITIVE_INTEGER) return false;
  if (from.via.u64 > std::numeric_limits<T>::max()) return false;
  value = static_cast<T>(from.via.u64);
  return true;
}

bool Read(const msgpack::object& from, std::string& value) {
  if (from.type != msgpack::type::STR) return false;
  value.assign(from.via.str.ptr, from.via.str.size);
  return IsUtf8(value);
}

bool Read(const msgpack::object& from, byte_blob& value) {
  if (from.type != msgpack::type::BIN) return false;
  const auto* first = reinterpret_cast<const uint8_t*>(from.via.bin.ptr);
  value.assign(first, first + from.via.bin.size);
  return true;
}

template <field_struct T>
bool Read(const msgpack::object& from, T& value);

template <typename T>
bool Read(const msgpack::object& from, std::vector<T>& list) {
  if (from.type != msgpack::type::ARRAY) return false;
  for (uint32_t i = 0; i < from.via.array.size; ++i) {
    T item{};
    if (!Read(from.via.array.ptr[i], item)) return false;
    list.push_back(std::move(item));
  }
  return true;
}

/// Returns how many fields of T a message must contain. Later ones were added
/// to the protocol: an older sender leaves them out, and they keep their
/// defaults.
template <typename T>
constexpr size_t RequiredFields(size_t field_count) {
  if constexpr (requires { T::kRequiredFields; }) return T::kRequiredFields;
  return field_count;
}

template <field_struct T>
bool Read(const msgpack::object& from, T& value) {
  if (from.type != msgpack::type::ARRAY) return false;
  const msgpack::object_array& array = from.via.array;
  uint32_t i = 0;
  const auto read_next = [&array, &i](auto& field) {
    return i >= array.size || Read(array.ptr[i++], field);
  };
  return std::apply(
      [&](auto&... field) {
        return array.size >= RequiredFields<T>(sizeof...(field)) &&
               (read_next(field) && ...);
      },
      Fields(value));
}

/// Reads the alternative of peer_message with the index `index`, trying `I` and
/// those after it.
template <size_t I = 0>
std::optional<peer_message> ReadAlternative(size_t index,
                                            const msgpack::object& from) {
  if constexpr (I < std::variant_size_v<peer_message>) {
    if (index != I) return ReadAlternative<I + 1>(index, from);
    std::variant_alternative_t<I, peer_message> value;
    if (Read(from, value)) return value;
  }
  return std::nullopt;
}

/// Tells msgpack to reference strings and blobs in the payload instead of
/// copying them; Read() copies them into the message.
bool IsReferenced(msgpack::type::object_type /*type*/, size_t /*size*/,
                  void* /*unused*/) {
  return true;
}

/// Unpacks `body`, which must consist of exactly one msgpack value.
std::optional<msgpack::object_handle> Unpack(std::string_view body) {
  // The decoder allocates an array's items before it reads them. Each needs at
  // least one byte of the body.
  const size_t max_items = std::min(kMaxArrayItems, body.size());
  const msgpack::unpack_limit limit(max_items, 0, kMaxPayloadBytes,
                                    kMaxPayloadBytes, 0, kMaxNestingDepth);
  try {
    msgpack::object_handle handle;
    size_t end = 0;
    msgpack::unpack(handle, body.data(), body.size(), end, IsReferenced,
                    nullptr, limit);
    if (end != body.size()) return std::nullopt;
    return handle;
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  }
}

std::nullopt_t Reject(failure& why, const char* text) {
  why = {failure_kind::kInvalid, text};
  return std::nullopt;
}

}  // namespace

std::optional<std::string> EncodeFrame(const peer_message& message,
                                       failure& why) {
  msgpack::sbuffer body;
  packer to(body);
  std::visit([&to](const auto& value) { Write(to, value); }, message);
  const size_t size = kPayloadHeaderBytes + body.size();
  if (size > kMaxPayloadBytes)
    return Reject(why, "message is larger than 1 MiB");
  std::string frame;
  frame.reserve(kFrameLengthBytes + size);
  for (int shift = 24; shift >= 0; shift -= 8)
    frame += static_cast<char>(size >> shift & 0xFF);
  frame += static_cast<char>(kPeerProtocolVersion);
  frame += static_cast<char>(message.index() + 1);
  return frame.append(body.data(), body.size());
}

std::optional<peer_message> DecodePayload(std::string_view payload,
                                          failure& why) {
  if (payload.size() > kMaxPayloadBytes)
    return Reject(why, "payload is larger than 1 MiB");
  if (payload.size() <= kPayloadHeaderBytes)
    return Reject(why, "payload is truncated");
  if (static_cast<uint8_t>(payload[0]) != kPeerProtocolVersion)
    return Reject(why, "unknown protocol version");
  const size_t type = static_cast<uint8_t>(payload[1]);
  if (type == 0 || type > std::variant_size_v<peer_message>)
    return Reject(why, "unknown message type");
  const auto body = Unpack(payload.substr(kPayloadHeaderBytes));
  if (!body) return Reject(why, "body is not exactly one msgpack value");
  std::optional<peer_message> message = ReadAlternative(type - 1, body->get());
  if (!message) return Reject(why, "a field is missing or has the wrong type");
  return message;
}

frame_view ParseFrame(std::string_view bytes) {
  if (bytes.size() < kFrameLengthBytes) return {};
  size_t length = 0;
  for (size_t i = 0; i < kFrameLengthBytes; ++i)
    length = length << 8 | static_cast<uint8_t>(bytes[i]);
  if (length > kMaxPayloadBytes) return {frame_view::status::kTooLarge, {}, 0};
  if (bytes.size() - kFrameLengthBytes < length) return {};
  return {frame_view::status::kComplete,
          bytes.substr(kFrameLengthBytes, length), kFrameLengthBytes + length};
}

}  // namespace radishyard
