// The failure domains whose upstreams get no new flows on the operator's
// request, and how balancers agree on them: readers list the requests in the
// platform's store, and reports pass them on to the members of the domain.
#pragma once
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "direct/evacuation/evacuation_report.h"
#include "store/answer_timing.h"
#include "store/store_revision.h"

namespace radishyard {

/// \brief Most bytes of encoded domain names in a set, so that a report with it
/// fits into a datagram.
inline constexpr size_t kMaxEvacuationBytes = 4096;
/// \brief Most bytes that the encoding adds to a name of at most 255 bytes.
inline constexpr size_t kNameHeaderBytes = 2;

/// \brief The requests in the platform's store at one revision.
struct evacuation_list {
  store_revision revision;
  std::vector<std::string> domains;  ///< Sorted, without duplicates.
  auto operator<=>(const evacuation_list&) const = default;
};

/// \brief After the store has returned from a copy, the operator writes again
/// what the copy lacks. For this long, requests and withdrawals that were
/// honoured before stay in force although the copy does not have them. Then the
/// store's word counts.
inline constexpr duration kEvacuationRewriteTime = 2500ms;

/// \brief The evacuated domains as a balancer knows them. Invariant: `revision`
/// never decreases, so that a request that has been honoured is forgotten only
/// by a later state of the store.
struct evacuation_set {
  evacuation_list list;  ///< See IsKnown(); of no revision at the start.
  /// When the platform last confirmed the list to this balancer.
  time_point read_at{};
  /// The same for a balancer that has reported it here.
  time_point direct_at{};
  /// The last confirmation, also if a member has only passed it on.
  time_point confirmed_at{};
  /// The domains that were evacuated when the store returned from a copy, and
  /// those of the copy, sorted. Without effect from `kept_until`.
  std::vector<std::string> kept;
  std::vector<std::string> copied;
  time_point kept_until{};
  auto operator<=>(const evacuation_set&) const = default;
};

/// \brief The effect of a list or a report on a set.
enum class evacuation_effect : uint8_t {
  kOlder,      ///< It is older than what is known.
  kConfirmed,  ///< It has the same domains.
  kChanged,    ///< Other domains are evacuated now.
};

/// \brief True if the upstreams of `domain` get no new flows.
bool IsEvacuated(const evacuation_list& list, std::string_view domain);

/// \brief Applies a list that was read from the platform and was current at
/// `read_at`.
evacuation_effect ApplyEvacuations(evacuation_set& set, evacuation_list list,
                                   time_point read_at);

/// \brief Applies what a report or a snapshot of another balancer contains.
evacuation_effect ApplyEvacuationReport(evacuation_set& set,
                                        const evacuation_report& report,
                                        time_point now);

/// \brief Makes the part of a report or a snapshot about evacuations.
///
/// The age of a confirmation that was only passed on is not reported: the
/// delays of messages would prolong it without end.
evacuation_report MakeEvacuationReport(const evacuation_set& set,
                                       time_point now);

/// \brief Takes into account that the VM was suspended for `elapsed`, which the
/// monotonic clock does not count.
void RecordSuspension(evacuation_set& set, duration elapsed);

/// \brief Limits the names to kMaxEvacuationBytes, those in `known_domains`
/// first. Other programs may write requests as well.
/// \returns false if names were left out.
bool LimitDomains(evacuation_list& list,
                  const std::vector<std::string>& known_domains);

/// \brief Time in which a change reaches all members of a domain after a
/// reader knows it: a report is sent at once and repeated after the interval
/// of reports.
inline constexpr duration kEvacuationSpread = 1300ms;

/// \brief Intervals and timeouts of the reads of evacuations.
struct evacuation_times {
  duration read_interval = 1s;  ///< Between two reads of a reader.
  /// A balancer reads by itself once the last confirmation is this long ago.
  duration confirmation_timeout = 1s;
  /// The readers of a domain read for its other members.
  bool is_relayed = false;
  auto operator<=>(const evacuation_times&) const = default;
};

/// \brief Times with which the last flow is placed on an evacuated domain
/// within `bound` of the request, although one answer of the platform is lost:
/// read_interval + LostAnswerDelay() <= bound, with kEvacuationSpread added if
/// the readers read for others. Members that hear nothing read within
/// confirmation_timeout + `recheck_interval` + kReadTimeAllowance = bound.
evacuation_times MakeEvacuationTimes(duration bound,
                                     const answer_timing& timing,
                                     duration recheck_interval);

}  // namespace radishyard
