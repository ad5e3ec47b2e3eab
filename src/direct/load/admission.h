// Admission control under overload: decides whether an opening is placed, left
// to the caller's retransmission, or refused.
//
// Load that it addresses: callers that together need more work than the
// upstreams of a service can do, in all failure domains that may be used.
// Without it upstreams reject what exceeds their queues, whatever its priority.
//
// The threshold is one number for each service, the admitted part of the
// offered work. Openings are ranked by priority and by the work of a request,
// and within an address by a hash of the flow; those with a rank above the
// threshold are not placed. All balancers derive it from the same pooled loads,
// and their only state is a smoothing over seconds, so a balancer that starts
// soon agrees with the others. docs/design/admission.md weighs the
// alternatives.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "direct/load/address_demand.h"
#include "direct/load/service_load.h"
#include "direct/upstream/routing_table.h"
#include "packet/flow_key.h"

namespace radishyard {

/// \brief Evidence of overload of one service: the load of the domain that has
/// the most room.
struct overload_evidence {
  double utilization = 0;     ///< Requests in service or queued per slot.
  double failures_per_s = 0;  ///< Requests that upstreams rejected or failed.
  double slots = 0;
  duration age{};  ///< Of the load.
  auto operator<=>(const overload_evidence&) const = default;
};

/// \brief The openings to one address, as part of the work that is offered to a
/// service.
struct admission_class {
  endpoint address;
  uint8_t priority = 0;
  double work_s = 0;      ///< Work of one request.
  double first_rank = 0;  ///< Rank of its first opening, from 0 to 1.
  double share = 0;       ///< Its part of the offered work.
  auto operator<=>(const admission_class&) const = default;
};

/// \brief The threshold of one service. While `is_known` is false, no load of
/// the service is known, and everything is admitted.
struct service_admission {
  bool is_known = false;
  overload_evidence evidence;
  double pressure = 0;  ///< Smoothed pressure; see admission.cc.
  double admitted = 1;  ///< Admitted part of the offered work: the threshold.
  bool is_falling = false;  ///< The last update lowered the threshold.
  /// How long loads without overload have been seen, up to the learning time in
  /// admission.cc. Until then everything is admitted.
  duration learned{};
  time_point updated_at{};
  std::vector<admission_class> classes;  ///< Sorted by rank.
  auto operator<=>(const service_admission&) const = default;
};

/// \brief Thresholds, keyed by service.
using service_admissions = std::map<std::string, service_admission>;

/// \brief Derives the thresholds of all services of `table` from the pooled
/// loads. To be called several times a second.
void UpdateAdmissions(service_admissions& admissions,
                      const routing_table& table,
                      const address_demands& demands, const load_view& loads,
                      time_point now);

/// \brief True if a load of the service is known that is not older than
/// kMaxLoadAge.
bool IsRecent(const service_admission& admission, time_point now);

/// \brief True if the load is recent and shows overload, and the classes are
/// known, so that not everything is admitted.
bool IsOverloaded(const service_admission& admission, time_point now);

/// \brief What to do with an opening.
enum class admission_action : uint8_t {
  kPlace,
  kDelay,   ///< Drop it: the caller's next copy is placed, and in time.
  kRefuse,  ///< Reset it: nothing has run.
};

/// \brief Size of an array that is indexed by admission_action.
inline constexpr size_t kAdmissionActionCount = 3;

/// \brief Decides on an opening.
/// \param admission the threshold of its service.
/// \param row the address that it is sent to.
/// \param retransmission_count how often the caller has sent it before.
admission_action DecideAdmission(const service_admission& admission,
                                 const published_address& row,
                                 const flow_key& flow,
                                 uint32_t retransmission_count, time_point now);

/// \brief True while requests of a service wait in the queues of its upstreams.
bool IsQueueing(const service_admissions& admissions);

}  // namespace radishyard
