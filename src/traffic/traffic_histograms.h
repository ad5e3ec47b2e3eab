// Times that a traffic thread measures, for the metrics page.
#pragma once
#include "observe/time_histogram.h"

namespace radishyard {

/// \brief Histograms since the thread started; resolution 1 ms.
struct traffic_histograms {
  time_histogram opening;  ///< From a SYN sent to an upstream to its SYN-ACK.
  time_histogram queue_wait;  ///< Of openings until they were placed first.
  time_histogram slot_hold;   ///< Of requests, from placement to their end.
};

}  // namespace radishyard
