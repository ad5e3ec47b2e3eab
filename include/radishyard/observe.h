// \file What the daemon tells about itself: log lines, the text of a metrics
// page, and traces of sampled flows. A traffic thread only adds to histograms
// of its own and offers hops; all writing is the control thread's work.
//
//   using namespace radishyard;
//   OpenLog("radishyardd", severity::kInfo, "-");
//   Log(severity::kInfo, "service_adopted", {{"service", name}});
//
//   metrics_page page;
//   page.BeginMetric(metric_kind::kGauge, "radishyard_open_flows",
//                    "Open now.");
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
