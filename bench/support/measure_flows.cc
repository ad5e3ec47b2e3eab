// Measures, for several numbers of open flows, the memory that they use, the
// time to forward one packet, and the duration and size of a handover.
#include "support/measure.h"
#include "support/packet_path_fixture.h"
#include "support/process_usage.h"

namespace radishyard {
namespace {

constexpr uint32_t kPacketsPerRound = 200'000;
// Successive packets belong to flows that were opened far apart. The stride is
// a prime that divides none of the flow counts, so that all flows get a packet
// before one gets a second.
constexpr uint32_t kFlowStride = 7919;

// Processor time of one packet of an open flow, from its receipt to the call
// that sends it.
double MeasureForwardingNs(packet_path_fixture& fixture, uint32_t flows) {
  const double seconds = MinCpuSeconds(/*rounds=*/3, [&] {
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
  measurement held_bytes{"flows.bytes_held", "flows", "B", {}};
  measurement forwarding_time{"flows.decision", "flows", "ns", {}};
  measurement export_time{"handover.export", "flows", "s", {}};
  measurement encode_time{"handover.encode", "flows", "s", {}};
  measurement encoded_size{"handover.bytes", "flows", "B", {}};
  measurement decode_time{"handover.decode", "flows", "s", {}};
  measurement import_time{"handover.import", "flows", "s", {}};
  for (const uint32_t flows : sizes) {
    const double size = flows;
    packet_path_fixture fixture(/*is_owner=*/true);
    const size_t before = AllocatedBytes();
    fixture.OpenFlows(flows, AtMs(1));
    held_bytes.samples.push_back(
        {size, static_cast<double>(AllocatedBytes() - before)});
    forwarding_time.samples.push_back(
        {size, MeasureForwardingNs(fixture, flows)});
    flow_batch batch;
    export_time.samples.push_back({size, MinCpuSeconds(1, [&] {
                                     batch = fixture.core.owner().ExportFlows(
                                         packet_path_fixture::PoolName());
                                   })});
    std::vector<uint8_t> encoded_bytes;
    encode_time.samples.push_back(
        {size, MinCpuSeconds(1, [&] { encoded_bytes = EncodeFlows(batch); })});
    encoded_size.samples.push_back(
        {size, static_cast<double>(encoded_bytes.size())});
    failure why;
    flow_batch received;
    decode_time.samples.push_back(
        {size, MinCpuSeconds(1, [&] {
           received = DecodeFlows(encoded_bytes, why).value();
         })});
    packet_path_fixture importer(/*is_owner=*/true);
    import_time.samples.push_back({size, MinCpuSeconds(1, [&] {
                                     importer.core.owner().ImportFlows(
                                         packet_path_fixture::PoolName(),
                                         received, AtMs(1));
                                   })});
  }
  return {held_bytes,   forwarding_time, export_time, encode_time,
          encoded_size, decode_time,     import_time};
}

}  // namespace radishyard
