// \file Log lines, the metrics page, and traces of sampled flows. A traffic
// thread only updates its own histograms and queues hops of traced flows; the
// control thread writes them.
//
//   using namespace radishyard;
//   OpenLog("radishyardd", severity::kInfo, "-");
//   Log(severity::kInfo, "service_adopted", {{"service", name}});
//
//   metrics_page page;
//   page.BeginMetric(metric_kind::kGauge, "radishyard_open_flows",
//                    "Open flows.");
//   page.AddSample({{"thread", "0"}}, 17);
//
//   failure why;
//   auto traces = trace_writer::Open(io, "rennes-1", "trace.jsonl", why);
//   traces->TryQueueHop(hop);
#pragma once
#include "observe/log.h"
#include "observe/metrics.h"
#include "observe/time_histogram.h"
#include "observe/trace.h"
