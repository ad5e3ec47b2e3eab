// Stand-in for the network fabric: sends each packet of callers and upstreams
// to a random balancer, and delivers the packets of balancers by their inner
// destination. It can duplicate, reorder, delay and drop packets, and partition
// balancers from upstreams.
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "packet/geneve.h"
#include "support/stand_in.h"

namespace radishyard {
namespace {

using nlohmann::json;

constexpr size_t kMaxDelayedDatagrams = 100'000;  // More are sent at once.
constexpr uint32_t kCallerNetworkMask = 0xffff0000;
constexpr uint32_t kCallerNetwork = 0x0a010000;  // 10.1.0.0/16

struct fault_rates {
  double duplicate = 0;
  double reorder = 0;
  double drop = 0;
  milliseconds reorder_delay{5};
  milliseconds delay{0};
};

// An IPv4 prefix, such as 10.30.1.0/24.
struct address_prefix {
  uint32_t network = 0;
  uint32_t mask = 0;
  bool Contains(uint32_t address) const { return (address & mask) == network; }
};

// Parses leading octets: "10.30.1." is 10.30.1.0/24.
address_prefix ParsePrefix(std::string text) {
  address_prefix prefix;
  int octets = 0;
  if (!text.empty() && text.back() != '.') text += '.';
  for (size_t offset = 0; offset < text.size();
       offset = text.find('.', offset) + 1, ++octets)
    prefix.network |= std::stoul(text.substr(offset)) << (24 - 8 * octets);
  prefix.mask = octets == 0 ? 0 : ~0U << (32 - 8 * octets);
  return prefix;
}

// Drops every packet between one of `balancers` and one of `addresses`.
struct network_partition {
  std::vector<endpoint> balancers;
  std::vector<address_prefix> addresses;
};

struct fabric_counts {
  uint64_t sprayed = 0;
  uint64_t delivered = 0;
  uint64_t duplicated = 0;
  uint64_t reordered = 0;
  uint64_t dropped = 0;  ///< Dropped at the configured rate.
  uint64_t cut = 0;      ///< Dropped by a partition or for lack of a balancer.
  uint64_t malformed = 0;
};

// The fields of the inner IPv4 header that the fabric needs.
struct inner_header {
  uint32_t source = 0;
  uint32_t destination = 0;
  bool is_udp = false;
};

uint32_t ReadAddress(byte_span ip, size_t offset) {
  return static_cast<uint32_t>(ip[offset]) << 24 | ip[offset + 1] << 16 |
         ip[offset + 2] << 8 | ip[offset + 3];
}

class fabric_stand_in {
 public:
  fabric_stand_in(stand_in& process, uint32_t seed)
      : process_(process), random_(seed) {}

  void AddCommands() {
    process_.AddCommand("edges", [this](const json& c) {
      callers_ = ParseEndpointOrThrow(c.at("callers"));
      upstreams_ = ParseEndpointOrThrow(c.at("upstreams"));
      return json{{"ok", true}};
    });
    process_.AddCommand("balancers", [this](const json& c) {
      balancers_ = ParseList(c.at("list"));
      return json{{"ok", true}};
    });
    process_.AddCommand("faults",
                        [this](const json& c) { return SetFaults(c); });
    process_.AddCommand("cut",
                        [this](const json& c) { return AddPartition(c); });
    process_.AddCommand("heal", [this](const json&) {
      partitions_.clear();
      return json{{"ok", true}};
    });
    process_.AddCommand("stats", [this](const json&) { return ReportStats(); });
  }

  void Receive(byte_span datagram, const endpoint& from) {
    failure why;
    const auto decoded = DecodeGeneve(datagram, why);
    if (!decoded || decoded->inner.size() < 20) {
      ++counts_.malformed;
      return;
    }
    const inner_header inner = {ReadAddress(decoded->inner, 12),
                                ReadAddress(decoded->inner, 16),
                                decoded->inner[9] == 17};
    if (from == callers_ || from == upstreams_) {
      SendToBalancer(datagram, inner);
    } else {
      DeliverFromBalancer(datagram, inner, from);
    }
  }

 private:
  static std::vector<endpoint> ParseList(const json& list) {
    std::vector<endpoint> parsed;
    for (const std::string text : list)
      parsed.push_back(ParseEndpointOrThrow(text));
    return parsed;
  }

  json SetFaults(const json& c) {
    faults_.duplicate = c.value("duplicate", 0.0);
    faults_.reorder = c.value("reorder", 0.0);
    faults_.drop = c.value("drop", 0.0);
    faults_.reorder_delay = milliseconds(c.value("reorder_ms", 5));
    faults_.delay = milliseconds(c.value("delay_ms", 0));
    return {{"ok", true}};
  }

  json AddPartition(const json& c) {
    network_partition partition{ParseList(c.at("balancers")), {}};
    for (const std::string text : c.at("upstreams"))
      partition.addresses.push_back(ParsePrefix(text));
    partitions_.push_back(partition);
    return {{"ok", true}};
  }

  json ReportStats() const {
    return {
        {"sprayed", counts_.sprayed},        {"delivered", counts_.delivered},
        {"duplicated", counts_.duplicated},  {"reordered", counts_.reordered},
        {"dropped", counts_.dropped},        {"cut", counts_.cut},
        {"malformed", counts_.malformed},    {"held", delayed_},
        {"unsent", process_.data().unsent()}};
  }

  bool IsPartitioned(const endpoint& balancer, uint32_t address) const {
    for (const network_partition& partition : partitions_) {
      if (std::ranges::find(partition.balancers, balancer) ==
          partition.balancers.end())
        continue;
      for (const address_prefix& prefix : partition.addresses)
        if (prefix.Contains(address)) return true;
    }
    return false;
  }

  // A router forwards only to next hops that it can reach, so the choice is
  // among the balancers that no partition separates from the sender.
  std::optional<endpoint> PickBalancer(uint32_t source) {
    if (balancers_.empty()) return std::nullopt;
    if (partitions_.empty()) return balancers_[random_() % balancers_.size()];
    std::vector<endpoint> reachable;
    for (const endpoint& balancer : balancers_)
      if (!IsPartitioned(balancer, source)) reachable.push_back(balancer);
    if (reachable.empty()) return std::nullopt;
    return reachable[random_() % reachable.size()];
  }

  void SendToBalancer(byte_span datagram, const inner_header& inner) {
    const int copies = DrawWithProbability(faults_.duplicate) ? 2 : 1;
    counts_.duplicated += copies - 1;
    for (int i = 0; i < copies; ++i) {
      const auto to = PickBalancer(inner.source);
      if (!to) {
        ++counts_.cut;
        return;
      }
      ++counts_.sprayed;
      Forward(datagram, *to);
    }
  }

  void DeliverFromBalancer(byte_span datagram, const inner_header& inner,
                           const endpoint& from) {
    const bool to_caller =
        (inner.destination & kCallerNetworkMask) == kCallerNetwork;
    if (IsPartitioned(from, inner.destination)) {
      ++counts_.cut;
      return;
    }
    // A balancer cannot drop a duplicate that arises between it and the
    // upstream, so UDP requests are not duplicated here: a second execution
    // would be no fault of the balancer.
    const bool may_duplicate = to_caller || !inner.is_udp;
    const int copies =
        may_duplicate && DrawWithProbability(faults_.duplicate) ? 2 : 1;
    counts_.duplicated += copies - 1;
    counts_.delivered += copies;
    for (int i = 0; i < copies; ++i)
      Forward(datagram, to_caller ? callers_ : upstreams_);
  }

  void Forward(byte_span datagram, const endpoint& to) {
    if (DrawWithProbability(faults_.drop)) {
      ++counts_.dropped;
      return;
    }
    const bool is_reordered = DrawWithProbability(faults_.reorder);
    counts_.reordered += is_reordered ? 1 : 0;
    const milliseconds delay =
        faults_.delay +
        (is_reordered ? faults_.reorder_delay : milliseconds(0));
    if (delay == milliseconds(0) || delayed_ >= kMaxDelayedDatagrams) {
      process_.data().Send(datagram, to);
      return;
    }
    ++delayed_;
    process_.timers().Schedule(
        std::chrono::steady_clock::now() + delay,
        [this, to,
         bytes = byte_buffer(datagram.begin(), datagram.end())](time_point) {
          --delayed_;
          process_.data().Send(bytes, to);
        });
  }

  bool DrawWithProbability(double rate) {
    return rate > 0 && std::uniform_real_distribution<>(0, 1)(random_) < rate;
  }

  stand_in& process_;
  std::mt19937 random_;
  endpoint callers_;
  endpoint upstreams_;
  std::vector<endpoint> balancers_;
  std::vector<network_partition> partitions_;
  fault_rates faults_;
  fabric_counts counts_;
  size_t delayed_ = 0;
};

}  // namespace
}  // namespace radishyard

int main(int argc, const char** argv) {
  using namespace radishyard;  // NOLINT(google-build-using-namespace)
  const stand_in_options options = ParseStandInOptions(argc, argv);
  stand_in process("fabric", options);
  fabric_stand_in fabric(process, options.seed);
  fabric.AddCommands();
  process.Run([&](byte_span datagram, const endpoint& from) {
    fabric.Receive(datagram, from);
  });
}
