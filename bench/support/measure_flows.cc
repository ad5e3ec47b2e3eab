// Measures handover, memory and the cost of a forwarding decision by the number
// of open flows.
#include "support/measure.h"
#include "support/packet_path_fixture.h"
#include "support/process_usage.h"

namespace radishyard {
namespace {

constexpr uint32_t kPacketsPerRound = 200'000;
constexpr uint32_t kFlowStride = 7919;

double MeasureDecisionNs(packet_path_fixture& fixture, uint32_t flows) {
  const double seconds = MinCpuSeconds(3, [&] {
    uint32_t flow = 0;
    for (uint32_t i = 0; i < kPacketsPerRound; ++i) {
      flow = (flow + kFlowStride) % flows;
      fixture.ReceiveFromCaller(flow, kAck, AtMs(2000));
    }
  });
  return seconds / kPacketsPerRound * 1e9;
}

}  // namespace

std::vector<measurement> MeasureFlows(bench_scale scale) {
  const std::vector<uint32_t> sizes =
      scale == bench_scale::kFull
          ? std::vector<uint32_t>{10'000, 100'000, 300'000, 500'000}
          : std::vector<uint32_t>{2'000, 5'000, 10'000};
  measurement allocated{"flows.bytes_held", "flows", "B", {}};
  measurement decision{"flows.decision", "flows", "ns", {}};
  measurement exported{"handover.export", "flows", "s", {}};
  measurement encoded{"handover.encode", "flows", "s", {}};
  measurement bytes{"handover.bytes", "flows", "B", {}};
  measurement decoded{"handover.decode", "flows", "s", {}};
  measurement imported{"handover.import", "flows", "s", {}};
  for (const uint32_t flows : sizes) {
    const double size = flows;
    packet_path_fixture fixture(true);
    const size_t before = AllocatedBytes();
    fixture.OpenFlows(flows, AtMs(1));
    allocated.samples.push_back(
        {size, static_cast<double>(AllocatedBytes() - before)});
    decision.samples.push_back({size, MeasureDecisionNs(fixture, flows)});
    flow_batch batch;
    exported.samples.push_back({size, MinCpuSeconds(1, [&] {
                                  batch = fixture.core.owner().ExportFlows(
                                      packet_path_fixture::PoolName());
                                })});
    std::vector<uint8_t> encoded_bytes;
    encoded.samples.push_back(
        {size, MinCpuSeconds(1, [&] { encoded_bytes = EncodeFlows(batch); })});
    bytes.samples.push_back({size, static_cast<double>(encoded_bytes.size())});
    failure why;
    flow_batch received;
    decoded.samples.push_back({size, MinCpuSeconds(1, [&] {
                                 received =
                                     DecodeFlows(encoded_bytes, why).value();
                               })});
    packet_path_fixture importer(true);
    imported.samples.push_back({size, MinCpuSeconds(1, [&] {
                                  importer.core.owner().ImportFlows(
                                      packet_path_fixture::PoolName(), received,
                                      AtMs(1));
                                })});
  }
  return {allocated, decision, exported, encoded, bytes, decoded, imported};
}

}  // namespace radishyard
