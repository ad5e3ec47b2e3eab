// Chooses upstreams by their expected response time.
#include "direct/forward/placement.h"

#include <algorithm>

#include "direct/load/pooled_choice.h"
#include "direct/upstream/silence_evidence.h"

namespace radishyard {
namespace {

/// Assumed response time while no upstream of the service has responded.
constexpr double kDefaultResponseSeconds = 0.02;
/// Upstreams differ in speed by a small factor only. One that seems to need
/// less than this fraction of the mean response time probably fails its
/// requests.
constexpr double kMinResponseFraction = 0.5;
/// An upstream in its cold start is slower by this factor.
constexpr double kColdStartFactor = 1.6;
/// New flows avoid an upstream that this many other balancers observe silent.
/// One of them may only have lost packets on its own link.
constexpr size_t kMinWitnessesToAvoid = 2;

using candidates = std::vector<known_upstream*>;

/// Order of preference, the best first; see ChooseUpstream().
enum class preference : uint8_t { kLocal, kRemote, kSuspect, kAvoided };

preference GetPreference(const known_upstream& u,
                         const placement_request& request, time_point now) {
  if (u.mark == request.avoided_mark) return preference::kAvoided;
  const bool is_suspect =
      IsFailing(u.stats, now) ||
      IsSuspect(u.stats, request.opening_timeout, now) ||
      CountWitnesses(u, now) >= kMinWitnessesToAvoid ||
      std::ranges::find(request.silent_domains, u.entry.domain) !=
          request.silent_domains.end();
  if (is_suspect) return preference::kSuspect;
  return u.entry.domain == request.domain ? preference::kLocal
                                          : preference::kRemote;
}

/// Returns the mean response time of the upstreams that have responded, in
/// seconds.
double MeanResponseTime(const candidates& list) {
  double sum = 0;
  uint32_t sample_count = 0;
  for (const known_upstream* u : list) {
    if (u->stats.responses == 0) continue;
    sum += u->stats.mean_response_s;
    ++sample_count;
  }
  return sample_count == 0 ? kDefaultResponseSeconds : sum / sample_count;
}

/// Estimates the response time per slot, in seconds.
double EstimateResponse(const known_upstream& u, double mean_response_s,
                        time_point now) {
  const double response_s =
      u.stats.responses == 0 ? mean_response_s
                             : std::max(u.stats.mean_response_s,
                                        mean_response_s * kMinResponseFraction);
  const double cold_factor = u.cold_until > now ? kColdStartFactor : 1.0;
  const double slots = std::max(1U, u.entry.slots);
  return response_s * cold_factor / slots;
}

/// Estimates how long one more flow would wait for its responses: flows per
/// slot times the response time.
double EstimateCost(const known_upstream& u, double mean_response_s,
                    time_point now) {
  return (u.stats.flows + 1) * EstimateResponse(u, mean_response_s, now);
}

/// Returns the upstreams of the best class that is not empty, among those for
/// which `is_candidate` is true.
template <typename Predicate>
std::vector<pooled_candidate> SelectBestClass(const candidates& list,
                                              const placement_request& request,
                                              double mean_response_s,
                                              time_point now,
                                              Predicate is_candidate) {
  preference best = preference::kAvoided;
  std::vector<pooled_candidate> selected;
  for (known_upstream* const u : list) {
    if (!is_candidate(*u)) continue;
    const preference rank = GetPreference(*u, request, now);
    if (rank > best) continue;
    if (rank < best) selected.clear();
    best = rank;
    selected.push_back({u, 1 / EstimateResponse(*u, mean_response_s, now)});
  }
  return selected;
}

bool HasGrant(const placement_request& request, const known_upstream& u) {
  return request.starts == nullptr ||
         CanPlaceOn(*request.starts, u, request.start_now);
}

/// Chooses among the upstreams for which `is_candidate` is true.
template <typename Predicate>
known_upstream* ChooseAmong(const upstream_directory& directory,
                            const placement_request& request, time_point now,
                            Predicate is_candidate) {
  const auto found = directory.ready_by_service.find(request.service);
  if (found == directory.ready_by_service.end()) return nullptr;
  const candidates& list = found->second;
  const double mean_response_s = MeanResponseTime(list);
  if (request.has_peer_flows && IsOwnCountSmall(list))
    return ChooseOfTwo(
        SelectBestClass(list, request, mean_response_s, now, is_candidate),
        request.flow_hash);
  known_upstream* best = nullptr;
  std::pair<preference, double> best_rank;
  for (size_t i = 0; i < list.size(); ++i) {
    known_upstream* const u = list[(request.flow_hash + i) % list.size()];
    if (!is_candidate(*u)) continue;
    const std::pair rank(GetPreference(*u, request, now),
                         EstimateCost(*u, mean_response_s, now));
    if (best != nullptr && rank >= best_rank) continue;
    best = u;
    best_rank = rank;
  }
  return best;
}

}  // namespace

known_upstream* ChooseUpstream(const upstream_directory& directory,
                               const placement_request& request,
                               time_point now) {
  return ChooseAmong(directory, request, now, [&](const known_upstream& u) {
    return HasGrant(request, u);
  });
}

known_upstream* ChooseUpstreamToRequest(const upstream_directory& directory,
                                        const placement_request& request,
                                        time_point now) {
  const bool is_limited = request.starts != nullptr &&
                          request.starts->limits.contains(request.service);
  if (!is_limited) return nullptr;
  known_upstream* const wanted =
      ChooseAmong(directory, request, now, [&](const known_upstream& u) {
        return HasGrant(request, u) ||
               ExpectsGrant(*request.starts, u, request.start_now);
      });
  return wanted != nullptr && HasGrant(request, *wanted) ? nullptr : wanted;
}

}  // namespace radishyard
