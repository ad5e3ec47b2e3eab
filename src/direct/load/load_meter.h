// Measures the load that this balancer places on each service in each failure
// domain of upstreams: requests in service, ended and failed requests. Reports
// carry the measurement to the other members of the failure domain.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "direct/load/load_message.h"
#include "direct/upstream/upstream_directory.h"

namespace radishyard {

/// \brief Most upstreams whose flows a report contains, so that a notice with
/// the sums of them, up to 3 bytes each, fits into a datagram.
inline constexpr size_t kMaxPooledUpstreams = 1024;
/// \brief A report that follows the last one sooner repeats its measurement: a
/// mean over so few samples would only add noise.
inline constexpr duration kMinMeasurement = 500ms;

/// \brief What is measured of one service in one failure domain of upstreams.
struct load_cell {
  double busy_sum = 0;    ///< Requests in service, summed over the samples.
  uint32_t ended = 0;     ///< Requests ended since `measured_since`.
  uint32_t failures = 0;  ///< Of these, failed ones.
  uint64_t openings = 0;  ///< Openings placed since the start.
  auto operator<=>(const load_cell&) const = default;
};

/// \brief Service and failure domain of upstreams.
using load_key = std::pair<std::string, std::string>;

/// \brief The measurement since the last report. Invariant: `busy_sum` of each
/// cell is the sum over `samples` samples.
struct load_meter {
  std::map<load_key, load_cell> cells;
  uint32_t samples = 0;
  time_point measured_since{};
  load_report last;  ///< As last reported.
  auto operator<=>(const load_meter&) const = default;
};

/// \brief True if the upstream can serve new flows as far as this balancer
/// knows. A failing one can: upstreams also fail requests when they are full.
/// \param opening_timeout see IsSuspect().
bool IsUsable(const known_upstream& upstream, duration opening_timeout,
              time_point now);

/// \brief Returns the slots of the usable ones of `upstreams` by their domain,
/// 0 for a domain without any.
std::map<std::string, double> CountUsableSlots(
    const std::vector<known_upstream*>& upstreams, duration opening_timeout,
    time_point now);

/// \brief Adds a sample of the requests in service on usable upstreams. To be
/// called several times in each report interval.
void SampleLoad(load_meter& meter, const upstream_directory& directory,
                duration opening_timeout, time_point now);

/// \brief Counts an opening that was placed on `entry`.
void CountOpening(load_meter& meter, const upstream_entry& entry);

/// \brief Counts the requests of this balancer that have ended since the last
/// call. To be called before their outcomes are reported, which resets them.
void CountEnded(load_meter& meter, upstream_directory& directory);

/// \brief Completes the measurement of an interval and starts the next one.
load_report ExtractLoadReport(load_meter& meter,
                              const upstream_directory& directory,
                              const upstream_list& list, time_point now);

}  // namespace radishyard
