// Heartbeats by number of peers.
#include <cstdio>

#include "peer/peer_codec.h"
#include "support/bench_cluster.h"
#include "support/measure.h"
#include "support/process_usage.h"

namespace radishyard {
namespace {

constexpr uint16_t kPort = 21000;
constexpr size_t kServices = 100;

heartbeat FullHeartbeat(size_t domains) {
  heartbeat beat;
  beat.sender = MakeMember(0, 0, kPort).id;
  beat.sequence = 1'000'000;
  beat.sent_ms = 1'000'000'000;
  beat.table_digest = 0x123456789abcdef0;
  for (size_t d = 0; d < domains; ++d) {
    beat.epochs.push_back({DomainName(d), 10'000});
    for (size_t delegate = 0; delegate < 2; ++delegate) {
      beat.summaries.push_back({DomainName(d),
                                MakeMember(d, delegate, kPort).id,
                                1'000'000,
                                10'000,
                                {}});
    }
  }
  return beat;
}

// What a pool adds to a heartbeat where one of its counts has changed, or only
// its free slots.
void MeasureLoads(std::vector<measurement>& all) {
  measurement exact{"heartbeat.bytes_with_counts", "pools changed", "B", {}};
  measurement slots{"heartbeat.bytes_with_slots", "pools changed", "B", {}};
  for (const size_t pools : {1, 6, 12}) {
    heartbeat beat = FullHeartbeat(0);
    for (size_t i = 0; i < pools; ++i) {
      beat.loads.push_back(
          {ServiceName(2000 + i), DomainName(12), false, {}, 3, 80});
    }
    failure why;
    const auto size = static_cast<double>(pools);
    const auto bytes = [&] {
      return static_cast<double>(EncodeFrame(beat, why).value().size());
    };
    slots.samples.push_back({size, bytes()});
    for (pool_delta& load : beat.loads)
      load.counts.push_back({0x0a800000, 1500, 70});
    exact.samples.push_back({size, bytes()});
  }
  all.push_back(exact);
  all.push_back(slots);
}

void MeasureCodec(std::vector<measurement>& all) {
  measurement bytes{"heartbeat.bytes", "domains", "B", {}};
  measurement spent{"heartbeat.encode_decode", "domains", "us", {}};
  for (const size_t domains : {size_t{1}, size_t{5}, kFullDomains}) {
    const peer_message beat = FullHeartbeat(domains);
    failure why;
    const std::string frame = EncodeFrame(beat, why).value();
    const auto size = static_cast<double>(domains);
    bytes.samples.push_back({size, static_cast<double>(frame.size())});
    constexpr int kTurns = 500;
    const double seconds = SecondsOf(3, [&] {
      for (int i = 0; i < kTurns; ++i) {
        const std::string out = EncodeFrame(beat, why).value();
        DecodePayload(std::string_view(out).substr(kFrameLengthBytes), why)
            .value();
      }
    });
    spent.samples.push_back({size, seconds / kTurns * 1e6});
  }
  all.push_back(bytes);
  all.push_back(spent);
}

}  // namespace

std::vector<measurement> MeasurePeers(extent how_much) {
  const bool is_full = how_much == extent::kFull;
  const std::vector<size_t> sizes = is_full
                                        ? std::vector<size_t>{8, 24, 48, 77, 96}
                                        : std::vector<size_t>{4, 8, 16};
  const duration time = is_full ? 6s : 2s;
  measurement bytes{"control.bytes_sent_per_node", "peers", "B/s", {}};
  measurement messages{"control.messages_sent_per_node", "peers", "1/s", {}};
  measurement spent{"control.processor_per_node", "peers", "% of a core", {}};
  for (const size_t n : sizes) {
    control_fleet fleet({n, kServices, 1, n});
    if (!fleet.Settle(30s)) {
      std::fprintf(stderr, "%zu balancers did not hear each other\n", n);
      continue;
    }
    const uint64_t bytes_before = fleet.BytesSent();
    const uint64_t messages_before = fleet.MessagesSent();
    const double spent_before = ThreadSeconds();
    fleet.Run(time);
    const double scale = 1 / std::chrono::duration<double>(time).count() /
                         static_cast<double>(n);
    const auto peers = static_cast<double>(n - 1);
    bytes.samples.push_back(
        {peers, static_cast<double>(fleet.BytesSent() - bytes_before) * scale});
    messages.samples.push_back(
        {peers,
         static_cast<double>(fleet.MessagesSent() - messages_before) * scale});
    spent.samples.push_back(
        {peers, (ThreadSeconds() - spent_before) * scale * 100});
  }
  std::vector<measurement> all{bytes, messages, spent};
  MeasureCodec(all);
  MeasureLoads(all);
  return all;
}

}  // namespace radishyard
