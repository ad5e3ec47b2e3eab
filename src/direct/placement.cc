// Expected time to answer as the measure of placement.
#include "direct/placement.h"

#include <algorithm>

namespace radishyard {
namespace {

/// Time to answer of an upstream where none was seen yet, in seconds.
constexpr double kUnknownAnswerS = 0.02;
/// Upstreams differ in speed by a factor of a few. One that seems faster than
/// this part of the mean probably fails its requests.
constexpr double kFastest = 0.5;
/// An upstream that has just started works slower by this factor.
constexpr double kColdFactor = 1.6;

using candidates = std::vector<known_upstream*>;

/// Lower goes first; see ChooseUpstream().
enum class preference : uint8_t { kLocal, kRemote, kDoubted, kAvoided };

preference PreferenceOf(const known_upstream& u,
                        const placement_request& request, time_point now) {
  if (u.mark == request.avoided) return preference::kAvoided;
  if (IsFailing(u.load, now) || IsDoubted(u.load, request.confirm_bound, now))
    return preference::kDoubted;
  return u.entry.domain == request.domain ? preference::kLocal
                                          : preference::kRemote;
}

/// Mean time to answer over the upstreams that have answered.
double TypicalAnswer(const candidates& list) {
  double sum = 0;
  uint32_t known = 0;
  for (const known_upstream* u : list) {
    if (u->load.responses == 0) continue;
    sum += u->load.answer_s;
    ++known;
  }
  return known == 0 ? kUnknownAnswerS : sum / known;
}

/// Grows with the time that one more flow would wait for its answers.
double CostOf(const known_upstream& u, double typical, time_point now) {
  const double answer = u.load.responses == 0
                            ? typical
                            : std::max(u.load.answer_s, typical * kFastest);
  const double cold = u.cold_until > now ? kColdFactor : 1.0;
  const double slots = std::max(1U, u.entry.slots);
  return (u.load.flows + 1) * answer * cold / slots;
}

}  // namespace

known_upstream* ChooseUpstream(const upstream_directory& directory,
                               const placement_request& request,
                               time_point now) {
  const auto found = directory.ready.find(request.service);
  if (found == directory.ready.end()) return nullptr;
  const candidates& list = found->second;
  const double typical = TypicalAnswer(list);
  known_upstream* best = nullptr;
  std::pair<preference, double> best_rank;
  for (size_t i = 0; i < list.size(); ++i) {
    known_upstream* const u = list[(request.flow_hash + i) % list.size()];
    const std::pair rank(PreferenceOf(*u, request, now),
                         CostOf(*u, typical, now));
    if (best != nullptr && rank >= best_rank) continue;
    best = u;
    best_rank = rank;
  }
  return best;
}

}  // namespace radishyard
