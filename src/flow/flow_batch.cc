// Encodes and decodes batches of flows. All integers are written as LEB128
// (7 bits per byte, least significant first); flows are grouped and
// delta-encoded.
#include "flow/flow_batch.h"

#include <algorithm>
#include <tuple>

namespace radishyard {
namespace {

// Bounds the memory that a malformed batch can make the decoder allocate.
constexpr uint64_t kMaxEntries = 1 << 20;
constexpr int kPortBits = 16;

// Appends LEB128 integers to a buffer.
class varint_writer {
 public:
  void Write(uint64_t value) {
    for (; value >= 0x80; value >>= 7)
      bytes_.push_back(static_cast<uint8_t>(value | 0x80));
    bytes_.push_back(static_cast<uint8_t>(value));
  }
  std::vector<uint8_t> Take() { return std::move(bytes_); }

 private:
  std::vector<uint8_t> bytes_;
};

// Reads LEB128 integers. After an error, Read() returns 0 and failed() is true.
class varint_reader {
 public:
  explicit varint_reader(std::span<const uint8_t> bytes) : rest_(bytes) {}
  uint64_t Read() {
    uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      if (rest_.empty()) break;
      const uint8_t byte = rest_.front();
      rest_ = rest_.subspan(1);
      value |= static_cast<uint64_t>(byte & 0x7f) << shift;
      if (byte < 0x80) return value;
    }
    failed_ = true;
    return 0;
  }
  bool failed() const { return failed_; }
  bool AtEnd() const { return rest_.empty(); }

 private:
  std::span<const uint8_t> rest_;
  bool failed_ = false;
};

// Caller address and port in one integer that sorts by address, then port.
uint64_t PackCaller(const flow_entry& e) {
  return static_cast<uint64_t>(e.key.caller.address) << kPortBits |
         e.key.caller.port;
}

// The fields that all flows of a group have in common. They are written once
// per group.
auto GroupKey(const flow_entry& e) {
  return std::tuple(e.key.proto, e.key.service, e.upstream, e.kind, e.priority,
                    e.flags);
}

void WriteGroup(std::span<const flow_entry> group, varint_writer& out) {
  const flow_entry& first = group.front();
  out.Write(group.size());
  out.Write(static_cast<uint64_t>(first.key.proto));
  out.Write(first.key.service.address);
  out.Write(first.key.service.port);
  out.Write(first.upstream);
  out.Write(static_cast<uint64_t>(first.kind));
  out.Write(static_cast<uint64_t>(first.priority));
  out.Write(first.flags);
  uint64_t previous = 0;
  for (const flow_entry& e : group) {
    out.Write(PackCaller(e) - previous);
    previous = PackCaller(e);
  }
}

bool ReadGroup(varint_reader& in, std::vector<flow_entry>& flows) {
  const uint64_t count = in.Read();
  flow_entry e;
  const uint64_t proto = in.Read();
  if (proto != static_cast<uint64_t>(protocol::kTcp) &&
      proto != static_cast<uint64_t>(protocol::kUdp))
    return false;
  e.key.proto = static_cast<protocol>(proto);
  e.key.service.address = static_cast<uint32_t>(in.Read());
  e.key.service.port = static_cast<uint16_t>(in.Read());
  e.upstream = static_cast<uint32_t>(in.Read());
  const uint64_t kind = in.Read();
  const uint64_t priority = in.Read();
  e.flags = static_cast<uint8_t>(in.Read());
  if (kind > static_cast<uint64_t>(port_kind::kRequest)) return false;
  if (priority > static_cast<uint64_t>(priority_class::kBulk)) return false;
  if (in.failed() || count > kMaxEntries || flows.size() + count > kMaxEntries)
    return false;
  e.kind = static_cast<port_kind>(kind);
  e.priority = static_cast<priority_class>(priority);
  uint64_t caller = 0;
  for (uint64_t i = 0; i < count && !in.failed(); ++i) {
    caller += in.Read();
    e.key.caller = {static_cast<uint32_t>(caller >> kPortBits),
                    static_cast<uint16_t>(caller)};
    flows.push_back(e);
  }
  return !in.failed();
}

}  // namespace

std::vector<uint8_t> EncodeFlows(flow_batch batch) {
  std::ranges::sort(batch.flows, [](const flow_entry& a, const flow_entry& b) {
    return std::tuple(GroupKey(a), PackCaller(a)) <
           std::tuple(GroupKey(b), PackCaller(b));
  });
  varint_writer out;
  const std::span<const flow_entry> all(batch.flows);
  std::vector<std::span<const flow_entry>> groups;
  for (size_t begin = 0; begin < all.size();) {
    size_t end = begin + 1;
    while (end < all.size() && GroupKey(all[end]) == GroupKey(all[begin]))
      ++end;
    groups.push_back(all.subspan(begin, end - begin));
    begin = end;
  }
  out.Write(groups.size());
  for (const auto& group : groups) WriteGroup(group, out);
  std::ranges::sort(batch.digests);
  out.Write(batch.digests.size());
  uint64_t previous = 0;
  for (const uint64_t digest : batch.digests) {
    out.Write(digest - previous);
    previous = digest;
  }
  return out.Take();
}

std::optional<flow_batch> DecodeFlows(std::span<const uint8_t> bytes,
                                      failure& why) {
  varint_reader in(bytes);
  flow_batch batch;
  const uint64_t groups = in.Read();
  bool is_valid = groups <= kMaxEntries;
  for (uint64_t i = 0; i < groups && is_valid; ++i)
    is_valid = ReadGroup(in, batch.flows);
  const uint64_t digests = in.Read();
  is_valid = is_valid && digests <= kMaxEntries;
  uint64_t digest = 0;
  for (uint64_t i = 0; i < digests && is_valid && !in.failed(); ++i)
    batch.digests.push_back(digest += in.Read());
  if (is_valid && !in.failed() && in.AtEnd()) return batch;
  why = {failure_kind::kInvalid, "malformed batch of flows"};
  return std::nullopt;
}

}  // namespace radishyard
