// Tests the whole packet path with separate processes: an operator applies
// tables, and flows of two services pass seven daemons while the fabric sprays,
// duplicates and reorders single packets.
#include <gtest/gtest.h>

#include "support/test_cluster.h"

namespace radishyard {
namespace {

using nlohmann::json;

std::string ExampleTableFile(const std::string& name) {
  return RY_BIN_DIR "/../examples/armor/" + name + ".json";
}

// A run whose load stays below the slots of the table at service times of a few
// milliseconds.
json MakeRun(const char* service, const char* address, int port,
             const char* protocol, int flows, int concurrency) {
  return {{"cmd", "run"},         {"service", service},
          {"address", address},   {"port", port},
          {"protocol", protocol}, {"flows", flows},
          {"rate", 400},          {"concurrency", concurrency},
          {"ms", {1, 5}},         {"bytes", {100, 3000}},
          {"seed", port}};
}

TEST(ProcessPath,
     TenThousandFlowsCompleteDespiteDuplicatedAndReorderedPackets) {
  test_cluster w(ArmorBalancers(), 20261204);
  const ctl_result applied = w.ApplyTables(
      {ExampleTableFile("survey-link"), ExampleTableFile("drawing-archive")});
  ASSERT_EQ(applied.code, 0) << applied.output;
  ASSERT_TRUE(w.WaitUntilInForce(10s))
      << w.balancers().front().Status().dump(1);
  w.fabric().SendCommand(
      {{"cmd", "faults"}, {"duplicate", 0.02}, {"reorder", 0.02}});
  w.callers().SendCommand({{"cmd", "run"},
                           {"service", "survey-link"},
                           {"address", "10.20.0.1"},
                           {"port", 7000},
                           {"kind", "feed"},
                           {"flows", 1000},
                           {"concurrency", 1000},
                           {"rate", 500},
                           {"lines", 10},
                           {"push_ms", 500}});
  const auto run = [&](const json& spec) { w.callers().SendCommand(spec); };
  run(MakeRun("survey-link", "10.20.0.1", 7001, "tcp", 4000, 14));
  json non_idempotent =
      MakeRun("survey-link", "10.20.0.1", 7002, "udp", 3000, 8);
  non_idempotent["idempotent"] = false;
  run(non_idempotent);
  run(MakeRun("drawing-archive", "10.20.0.2", 8000, "tcp", 1000, 4));
  run(MakeRun("drawing-archive", "10.20.0.2", 8001, "udp", 1000, 3));
  ASSERT_TRUE(w.callers().SendCommand({{"cmd", "wait"}})["settled"])
      << w.CollectResults();
  w.callers().SendCommand({{"cmd", "stop_feeds"}});
  EXPECT_EQ(w.WaitUntilIdle(5s), "");
  const traffic_results v = w.CollectResults();
  EXPECT_TRUE(v.HasNoViolations()) << v;
  EXPECT_EQ(v.completed, 10'000) << v;
}

}  // namespace
}  // namespace radishyard
