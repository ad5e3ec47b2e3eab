// Histograms of the times that a traffic thread measures, for the metrics page.
#pragma once
#include "observe/time_histogram.h"

namespace radishyard {

/// \brief Histograms since the thread started; resolution 1 ms.
struct traffic_histograms {
  time_histogram opening;  ///< From the SYN sent to an upstream to its SYN-ACK.
  time_histogram queue_wait;  ///< From receipt of an opening to its placement.
  time_histogram slot_hold;   ///< From placement of a request to its end.
};

}  // namespace radishyard
