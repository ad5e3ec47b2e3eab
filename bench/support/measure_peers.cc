// Measures heartbeats by the number of peers.
#include <cstdio>

#include "peer/peer_codec.h"
#include "support/bench_cluster.h"
#include "support/measure.h"
#include "support/process_usage.h"

namespace radishyard {
namespace {

constexpr uint16_t kBasePort = 21000;
constexpr size_t kServices = 100;

heartbeat MakeHeartbeat(size_t domains) {
  heartbeat beat;
  beat.sender = MakeMember(0, 0, kBasePort).id;
  beat.sequence = 1'000'000;
  beat.sent_ms = 1'000'000'000;
  beat.table_digest = 0x123456789abcdef0;
  for (size_t d = 0; d < domains; ++d) {
    beat.epochs.push_back({DomainName(d), 10'000});
    for (size_t delegate = 0; delegate < 2; ++delegate) {
      beat.summaries.push_back({DomainName(d),
                                MakeMember(d, delegate, kBasePort).id,
                                1'000'000,
                                10'000,
                                {}});
    }
  }
  return beat;
}

// Measures how many bytes a pool adds to a heartbeat if one of its counts has
// changed, and if only its free slots have changed.
void MeasureLoadBytes(std::vector<measurement>& all) {
  measurement with_counts{
      "heartbeat.bytes_with_counts", "pools changed", "B", {}};
  measurement with_slots{
      "heartbeat.bytes_with_slots", "pools changed", "B", {}};
  for (const size_t pools : {1, 6, 12}) {
    heartbeat beat = MakeHeartbeat(0);
    for (size_t i = 0; i < pools; ++i) {
      beat.loads.push_back(
          {ServiceName(2000 + i), DomainName(12), false, {}, 3, 80});
    }
    failure why;
    const auto size = static_cast<double>(pools);
    const auto bytes = [&] {
      return static_cast<double>(EncodeFrame(beat, why).value().size());
    };
    with_slots.samples.push_back({size, bytes()});
    for (pool_delta& load : beat.loads)
      load.counts.push_back({0x0a800000, 1500, 70});
    with_counts.samples.push_back({size, bytes()});
  }
  all.push_back(with_counts);
  all.push_back(with_slots);
}

void MeasureCodec(std::vector<measurement>& all) {
  measurement bytes{"heartbeat.bytes", "domains", "B", {}};
  measurement cpu_time{"heartbeat.encode_decode", "domains", "us", {}};
  for (const size_t domains : {size_t{1}, size_t{5}, kInstallationDomains}) {
    const peer_message beat = MakeHeartbeat(domains);
    failure why;
    const std::string frame = EncodeFrame(beat, why).value();
    const auto size = static_cast<double>(domains);
    bytes.samples.push_back({size, static_cast<double>(frame.size())});
    constexpr int kRepetitions = 500;
    const double seconds = MinCpuSeconds(3, [&] {
      for (int i = 0; i < kRepetitions; ++i) {
        const std::string out = EncodeFrame(beat, why).value();
        DecodePayload(std::string_view(out).substr(kFrameLengthBytes), why)
            .value();
      }
    });
    cpu_time.samples.push_back({size, seconds / kRepetitions * 1e6});
  }
  all.push_back(bytes);
  all.push_back(cpu_time);
}

}  // namespace

std::vector<measurement> MeasurePeers(bench_scale scale) {
  const bool is_full = scale == bench_scale::kFull;
  const std::vector<size_t> sizes = is_full
                                        ? std::vector<size_t>{8, 24, 48, 77, 96}
                                        : std::vector<size_t>{4, 8, 16};
  const duration period = is_full ? 6s : 2s;
  measurement bytes{"control.bytes_sent_per_node", "peers", "B/s", {}};
  measurement messages{"control.messages_sent_per_node", "peers", "1/s", {}};
  measurement cpu_time{
      "control.processor_per_node", "peers", "% of a core", {}};
  for (const size_t n : sizes) {
    bench_cluster cluster({n, kServices, 1, n});
    if (!cluster.WaitUntilConnected(30s)) {
      std::fprintf(stderr,
                   "%zu balancers did not connect to each other in time\n", n);
      continue;
    }
    const uint64_t bytes_before = cluster.BytesSent();
    const uint64_t messages_before = cluster.MessagesSent();
    const double cpu_time_before = ThreadCpuSeconds();
    cluster.Run(period);
    const double per_balancer_second =
        1 / std::chrono::duration<double>(period).count() /
        static_cast<double>(n);
    const auto peers = static_cast<double>(n - 1);
    bytes.samples.push_back(
        {peers, static_cast<double>(cluster.BytesSent() - bytes_before) *
                    per_balancer_second});
    messages.samples.push_back(
        {peers, static_cast<double>(cluster.MessagesSent() - messages_before) *
                    per_balancer_second});
    cpu_time.samples.push_back({peers, (ThreadCpuSeconds() - cpu_time_before) *
                                           per_balancer_second * 100});
  }
  std::vector<measurement> all{bytes, messages, cpu_time};
  MeasureCodec(all);
  MeasureLoadBytes(all);
  return all;
}

}  // namespace radishyard
