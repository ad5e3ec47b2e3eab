// Flows: hand-over, memory and the cost of a decision.
#include "support/measure.h"
#include "support/packet_path_fixture.h"
#include "support/process_usage.h"

namespace radishyard {
namespace {

constexpr uint32_t kPackets = 200'000;
constexpr uint32_t kStride = 7919;

double DecisionNanoseconds(packet_rig& rig, uint32_t flows) {
  const double seconds = SecondsOf(3, [&] {
    uint32_t at = 0;
    for (uint32_t i = 0; i < kPackets; ++i) {
      at = (at + kStride) % flows;
      rig.FromCaller(at, kAck, AtMs(2000));
    }
  });
  return seconds / kPackets * 1e9;
}

}  // namespace

std::vector<measurement> MeasureFlows(extent how_much) {
  const std::vector<uint32_t> sizes =
      how_much == extent::kFull
          ? std::vector<uint32_t>{10'000, 100'000, 300'000, 500'000}
          : std::vector<uint32_t>{2'000, 5'000, 10'000};
  measurement held{"flows.bytes_held", "flows", "B", {}};
  measurement decision{"flows.decision", "flows", "ns", {}};
  measurement exported{"handover.export", "flows", "s", {}};
  measurement encoded{"handover.encode", "flows", "s", {}};
  measurement bytes{"handover.bytes", "flows", "B", {}};
  measurement decoded{"handover.decode", "flows", "s", {}};
  measurement imported{"handover.import", "flows", "s", {}};
  for (const uint32_t flows : sizes) {
    const double size = flows;
    packet_rig rig(true);
    const size_t before = HeldBytes();
    rig.OpenFlows(flows, AtMs(1));
    held.samples.push_back({size, static_cast<double>(HeldBytes() - before)});
    decision.samples.push_back({size, DecisionNanoseconds(rig, flows)});
    flow_batch batch;
    exported.samples.push_back({size, SecondsOf(1, [&] {
                                  batch = rig.core.owner().ExportFlows(
                                      packet_rig::Pool());
                                })});
    std::vector<uint8_t> wire;
    encoded.samples.push_back(
        {size, SecondsOf(1, [&] { wire = EncodeFlows(batch); })});
    bytes.samples.push_back({size, static_cast<double>(wire.size())});
    failure why;
    flow_batch arrived;
    decoded.samples.push_back({size, SecondsOf(1, [&] {
                                 arrived = DecodeFlows(wire, why).value();
                               })});
    packet_rig next(true);
    imported.samples.push_back({size, SecondsOf(1, [&] {
                                  next.core.owner().ImportFlows(
                                      packet_rig::Pool(), arrived, AtMs(1));
                                })});
  }
  return {held, decision, exported, encoded, bytes, decoded, imported};
}

}  // namespace radishyard
