// Derives the threshold of admission from pooled loads and ranks openings.
#include "direct/load/admission.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

namespace radishyard {
namespace {

/// Requests in service or queued for each slot of a full upstream: it serves 2
/// and queues 8 (docs/hard-load.md).
constexpr double kFullUtilization = 5;
/// Pressure up to which everything is admitted: for each slot one request in
/// service and one queued. Slots stay busy only while requests wait, because
/// arrivals at single upstreams vary.
constexpr double kRoomPressure = 2;
/// Below this pressure slots are free.
constexpr double kFreePressure = 1;
/// Relative decrease of the threshold for each unit of pressure above
/// kRoomPressure. It is the gain of a loop with a delay of a second, in which
/// the pressure rises by several units when the load rises from 0.8 to 1.2.
constexpr double kPressureGain = 0.5;
/// More pressure than this above kRoomPressure does not lower the threshold
/// further. It comes from upstreams that are slow or failing, which fewer
/// openings would not relieve.
constexpr double kMaxExcess = 4;
/// Time constants of the smoothed pressure. Under overload loads are 0.5 to 1.5
/// s old; a threshold that followed them much faster would oscillate.
constexpr double kRiseSeconds = 1;
constexpr double kFallSeconds = 1.5;
/// Most of the offered work that is admitted whatever the pressure, for all
/// priorities above the lowest. Requests on open flows may fill the upstreams,
/// and refusing the most important openings would not relieve them.
constexpr double kMaxHeadroom = 0.75;
/// Part of the openings of each address that is admitted at any threshold, so
/// that no class is starved for good.
constexpr double kLeastShare = 0.03;
/// Openings with a rank this far above a threshold that does not fall may wait
/// for their next copy.
constexpr double kDelayBand = 0.05;
/// Openings that can still be served later rank as if they needed more work by
/// this factor.
constexpr double kLaterFactor = 1.25;
/// Time without overload in which the classes are learned. A balancer that has
/// started in a peak, as after a power loss, knows neither their shares nor how
/// long the peak lasts: callers that all open their flows again cause a peak
/// that queues and retries serve.
constexpr duration kLearningTime = 3s;
/// Longest time between two updates that counts as learning; loads may have
/// been unknown in a longer one.
constexpr duration kMaxLearningStep = 1s;
/// Times from the first copy of an opening to its second and third copy.
constexpr std::array<duration, 2> kCopyTimes{200ms, 600ms};
/// Consecutive ports of one caller that share a hash. Each request of a refused
/// caller opens up to three flows: if each of them were drawn anew, most
/// callers would be admitted after some requests, and then hold a long flow.
/// With this many, a caller is refused for a while and draws anew later.
constexpr uint16_t kPortsPerDraw = 64;

/// Time after its first copy at which the given copy of an opening is sent.
duration TimeOfCopy(uint32_t retransmission_count) {
  if (retransmission_count == 0) return {};
  return kCopyTimes.at(std::min<size_t>(retransmission_count, 2) - 1);
}

/// The position of a flow among the openings to its address, from 0 to 1. It
/// is the same on every balancer and for each copy of the opening.
double FlowPosition(flow_key flow) {
  flow.caller.port /= kPortsPerDraw;
  constexpr int kBits = 32;
  return std::ldexp(static_cast<double>(StableHash(flow) >> kBits), -kBits);
}

/// Highest utilization assumed for a wait. Any higher one leads to the same
/// decision, and the time stays within the range of `duration`.
constexpr double kMaxAssumedUtilization = 1000;

/// Mean work of a request over the offered requests of a service, in seconds.
double MeanWork(const std::vector<admission_class>& classes) {
  double requests = 0;
  for (const admission_class& c : classes) requests += c.share / c.work_s;
  return requests > 0 ? 1 / requests : kDefaultWorkSeconds;
}

/// Time from a request to its response at the present load: its own work after
/// that of the requests that wait before it, which need the mean work.
duration ExpectedResponse(const service_admission& admission, double work_s) {
  const double waiting =
      std::clamp(admission.evidence.utilization, 1.0, kMaxAssumedUtilization) -
      1;
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      work_s + waiting * MeanWork(admission.classes)));
}

/// True if a request is served within its target latency although its flow is
/// placed only with the given copy of its opening.
bool CanServeCopy(const service_admission& admission,
                  const published_address& row, double work_s,
                  uint32_t retransmission_count) {
  return TimeOfCopy(retransmission_count) +
             ExpectedResponse(admission, work_s) <=
         row.target_latency;
}

/// Part of an address's new flows that goes to `service`.
double WeightOf(const published_address& row, const std::string& service) {
  double weight = 0;
  double total = 0;
  for (const service_share& share : row.shares) {
    total += share.weight;
    if (share.service == service) weight += share.weight;
  }
  return total == 0 ? 0 : weight / total;
}

address_demand FindDemand(const address_demands& demands,
                          const endpoint& address) {
  const auto found = demands.find(address);
  return found == demands.end() ? address_demand{} : found->second;
}

/// Sort key of a class: priority first, then the work that a request costs,
/// more if it can also be served later.
std::pair<uint8_t, double> RankKey(const service_admission& admission,
                                   const published_address& row,
                                   double work_s) {
  const bool can_wait = CanServeCopy(admission, row, work_s, 1);
  return {row.priority, work_s * (can_wait ? kLaterFactor : 1.0)};
}

/// Computes the classes of `service`, sorted by rank. `share` is their part of
/// the offered work, or equal parts while none has been observed.
std::vector<admission_class> RankClasses(const service_admission& admission,
                                         const std::string& service,
                                         const routing_table& table,
                                         const address_demands& demands,
                                         time_point now) {
  std::vector<std::pair<std::pair<uint8_t, double>, admission_class>> keyed;
  double total = 0;
  for (const published_address& row : table.addresses) {
    const double weight = WeightOf(row, service);
    if (weight == 0) continue;
    const address_demand demand = FindDemand(demands, row.address);
    const double offered = weight * OpeningsPerSecond(demand, now) *
                           RequestsPerFlow(demand) * demand.work_s;
    keyed.push_back({RankKey(admission, row, demand.work_s),
                     {.address = row.address,
                      .priority = row.priority,
                      .work_s = demand.work_s,
                      .share = offered}});
    total += offered;
  }
  std::sort(keyed.begin(), keyed.end());
  std::vector<admission_class> classes;
  double first_rank = 0;
  for (auto& [key, c] : keyed) {
    c.share = total > 0 ? c.share / total : 1.0 / keyed.size();
    c.first_rank = first_rank;
    first_rank += c.share;
    classes.push_back(c);
  }
  return classes;
}

const admission_class* FindClass(const service_admission& admission,
                                 const endpoint& address) {
  const auto found =
      std::find_if(admission.classes.begin(), admission.classes.end(),
                   [&](const auto& c) { return c.address == address; });
  return found == admission.classes.end() ? nullptr : &*found;
}

/// True if the classes are those of the table's rows for `service`.
bool MatchesTable(const service_admission& admission,
                  const std::string& service, const routing_table& table) {
  size_t rows = 0;
  for (const published_address& row : table.addresses) {
    if (WeightOf(row, service) == 0) continue;
    const admission_class* const c = FindClass(admission, row.address);
    if (c == nullptr || c->priority != row.priority) return false;
    ++rows;
  }
  return rows == admission.classes.size();
}

/// The pressure that the evidence shows, in the unit of utilization. The part
/// of the arriving work that is rejected counts in addition to what is queued;
/// if all is rejected, it counts as a second full queue.
double MeasurePressure(const overload_evidence& evidence, double mean_work_s) {
  const double rejected = evidence.failures_per_s * mean_work_s;
  // Upstreams hold no more than that; the rest are requests whose end was not
  // seen.
  return std::min(evidence.utilization, kFullUtilization) +
         kFullUtilization * rejected / (rejected + evidence.slots);
}

/// Selects the load of the domain with the least pressure, among those that are
/// recent enough and have usable upstreams. While one domain has room, the
/// overflow of the others belongs there, and nothing needs to be refused.
/// \returns nothing if there is none.
std::optional<overload_evidence> FindLeastPressure(const load_view& view,
                                                   const std::string& service,
                                                   double mean_work_s,
                                                   time_point now) {
  std::optional<overload_evidence> least;
  for (const service_load& load : view.loads) {
    const duration age = now - load.measured_at;
    if (load.service != service || age > kMaxLoadAge) continue;
    // Requests on unusable upstreams are no load on the usable ones.
    if (load.slots <= 0) continue;
    const overload_evidence evidence{.utilization = load.busy / load.slots,
                                     .failures_per_s = load.failures_per_s,
                                     .slots = load.slots,
                                     .age = age};
    const bool is_less = !least || MeasurePressure(evidence, mean_work_s) <
                                       MeasurePressure(*least, mean_work_s);
    if (is_less) least = evidence;
  }
  return least;
}

/// Moves the smoothed pressure towards `measured`.
void SmoothPressure(service_admission& admission, double measured,
                    time_point now) {
  const double elapsed_s =
      std::chrono::duration<double>(now - admission.updated_at).count();
  const double time_constant_s =
      measured > admission.pressure ? kRiseSeconds : kFallSeconds;
  const double weight =
      1 - std::exp(-std::max(0.0, elapsed_s) / time_constant_s);
  admission.pressure += weight * (measured - admission.pressure);
}

/// The part of the offered work that is above the lowest priority.
double HeadroomOf(const std::vector<admission_class>& classes) {
  double share = 0;
  for (const admission_class& c : classes)
    if (c.priority != classes.back().priority) share += c.share;
  return std::min(share, kMaxHeadroom);
}

/// Counts the time since the last update if no overload is seen.
void AdvanceLearning(service_admission& admission, time_point now) {
  if (!admission.is_known || admission.admitted < 1) return;
  const duration step =
      std::clamp(now - admission.updated_at, duration{}, kMaxLearningStep);
  admission.learned = std::min(admission.learned + step, kLearningTime);
}

void UpdateAdmission(service_admission& admission,
                     const overload_evidence& evidence, time_point now) {
  AdvanceLearning(admission, now);
  const double measured =
      MeasurePressure(evidence, MeanWork(admission.classes));
  // Slots are free: nothing is throttled for the sake of smoothness.
  const bool has_room = measured < kFreePressure;
  if (has_room) admission.pressure = measured;
  // A first sample, as after a restart of all balancers, shows no trend yet.
  if (!admission.is_known) {
    admission.pressure = std::min(measured, kRoomPressure);
    admission.updated_at = now;
  }
  SmoothPressure(admission, measured, now);
  const double excess =
      std::clamp(admission.pressure - kRoomPressure, 0.0, kMaxExcess);
  const double admitted = std::max(std::exp(-kPressureGain * excess),
                                   HeadroomOf(admission.classes));
  admission.is_falling = admitted < admission.admitted;
  admission.admitted = admitted;
  admission.evidence = evidence;
  admission.updated_at = now;
  admission.is_known = true;
}

}  // namespace

void UpdateAdmissions(service_admissions& admissions,
                      const routing_table& table,
                      const address_demands& demands, const load_view& loads,
                      time_point now) {
  std::set<std::string> services;
  for (const published_address& row : table.addresses)
    for (const service_share& share : row.shares)
      services.insert(share.service);
  std::erase_if(admissions,
                [&](const auto& a) { return !services.contains(a.first); });
  for (const std::string& service : services) {
    service_admission& admission = admissions[service];
    const auto evidence =
        FindLeastPressure(loads, service, MeanWork(admission.classes), now);
    if (!evidence) {
      // A gap in the loads does not start the learning time anew. The classes
      // serve as the mean work until the next load.
      admission = {.learned = admission.learned,
                   .classes = std::move(admission.classes)};
      continue;
    }
    // Refused callers try again, so the openings seen under overload overstate
    // their classes. The ranks of the time before stay in effect.
    if (admission.admitted >= 1 || !MatchesTable(admission, service, table))
      admission.classes = RankClasses(admission, service, table, demands, now);
    UpdateAdmission(admission, *evidence, now);
  }
}

bool IsRecent(const service_admission& admission, time_point now) {
  const duration age = now - admission.updated_at + admission.evidence.age;
  return admission.is_known && age <= kMaxLoadAge;
}

bool IsOverloaded(const service_admission& admission, time_point now) {
  return IsRecent(admission, now) && admission.admitted < 1 &&
         admission.learned >= kLearningTime;
}

admission_action DecideAdmission(const service_admission& admission,
                                 const published_address& row,
                                 const flow_key& flow,
                                 uint32_t retransmission_count,
                                 time_point now) {
  if (!IsOverloaded(admission, now)) return admission_action::kPlace;
  const admission_class* const c = FindClass(admission, row.address);
  if (c == nullptr) return admission_action::kPlace;
  const bool is_too_late = TimeOfCopy(retransmission_count) +
                               ExpectedResponse(admission, c->work_s) >
                           row.timeout;
  if (is_too_late) return admission_action::kRefuse;
  // The first copy was not refused, so it was placed or delayed.
  if (retransmission_count > 0) return admission_action::kPlace;
  const double position = FlowPosition(flow);
  const double rank = c->first_rank + c->share * position;
  if (position < kLeastShare || rank < admission.admitted)
    return admission_action::kPlace;
  const bool can_wait = !admission.is_falling &&
                        rank < admission.admitted + kDelayBand &&
                        CanServeCopy(admission, row, c->work_s, 1);
  return can_wait ? admission_action::kDelay : admission_action::kRefuse;
}

bool IsQueueing(const service_admissions& admissions) {
  return std::any_of(admissions.begin(), admissions.end(), [](const auto& a) {
    return a.second.is_known && a.second.evidence.utilization > 1;
  });
}

}  // namespace radishyard
