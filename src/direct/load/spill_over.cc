// Computes, smooths and applies the shares of domains.
#include "direct/load/spill_over.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>

#include "direct/load/pooled_choice.h"

namespace radishyard {
namespace {

constexpr double kThousandths = 1000;
/// Where so many requests for each slot are in service or queued, queues grow
/// because demand exceeds the slots, and the requests show by how much.
constexpr double kFullRequestsPerSlot = 2;
/// Most demand that queues can show, in slots: they are bounded.
constexpr double kMaxQueuedDemand = 1.5;
/// Above this share, failures are evidence of overload. A few broken upstreams
/// cause less until new flows avoid them.
constexpr double kOverloadFailureShare = 0.1;
/// Callers retry rejected requests, so a higher share shows no more demand.
constexpr double kMaxFailureShare = 0.6;
/// Part of the slots that is assumed to be free in a domain of unknown load.
constexpr double kUnknownSpareShare = 0.05;
/// The assumed spare capacity falls from all to none between the requests per
/// slot expected at the threshold and this multiple of them: the domain is
/// busier than the demand of its own callers explains.
constexpr double kNoSpareRatio = 1.5;
/// Time constants of the smoothing. The longer one exceeds the age of sums, so
/// that changes that all balancers make at once are seen before they continue.
constexpr duration kSpillTimeConstant = 500ms;
constexpr duration kReturnTimeConstant = 2500ms;
/// A smaller share of all other domains together is dropped, so that the last
/// bytes between domains end when the overflow does.
constexpr double kMinShareOutside = 0.01;
/// Change of a share that is logged.
constexpr double kLoggedStep = 0.1;
/// Delay after an unanswered opening until a silent domain receives another
/// one. It doubles with each further one, up to kMaxDoublings times.
constexpr duration kFirstProbeDelay = 250ms;
constexpr uint32_t kMaxDoublings = 4;
/// Seed that makes the choice of the domain independent of that of the
/// upstream, which the same hash decides.
constexpr uint64_t kDomainSeed = 0x5350494C4C;

double OwnDemand(const spill_input& input) {
  if (input.failure_share <= kOverloadFailureShare) return input.demand;
  const double served = 1 - std::min(input.failure_share, kMaxFailureShare);
  return std::max(input.demand, input.slots / served);
}

double Overflow(const spill_input& input, double threshold) {
  if (!input.is_known) return 0;
  return std::max(0.0, OwnDemand(input) - threshold * input.slots);
}

/// Returns the requests in service or queued for each slot at `demand` per
/// slot: those of a queue with two servers and random arrivals (M/M/2).
double RequestsPerSlot(double demand) { return demand / (1 - demand * demand); }

double Spare(const spill_input& input, double threshold) {
  if (input.slots <= 0 || input.is_silent) return 0;
  if (!input.is_known) return kUnknownSpareShare * input.slots;
  if (input.failure_share > kOverloadFailureShare) return 0;
  const double busy = RequestsPerSlot(threshold);
  const double full = kNoSpareRatio * busy;
  const double part =
      std::clamp((full - input.busy / input.slots) / (full - busy), 0.0, 1.0);
  return part * std::max(0.0, threshold * input.slots - input.demand);
}

/// Returns the demand per slot up to which every domain is filled. If they need
/// more than kSpillThreshold, an overloaded one may use what is left of
/// the others, up to kMaxSpillThreshold.
double FindThreshold(const std::vector<spill_input>& inputs) {
  double demand = 0;
  double slots = 0;
  for (const spill_input& input : inputs) {
    if (!input.is_known || input.is_silent) continue;
    demand += OwnDemand(input);
    slots += input.slots;
  }
  if (slots <= 0) return kSpillThreshold;
  return std::clamp(demand / slots, kSpillThreshold, kMaxSpillThreshold);
}

double FindShare(const std::vector<domain_share>& shares,
                 std::string_view domain) {
  for (const domain_share& s : shares)
    if (s.domain == domain) return s.share;
  return 0;
}

double ShareOutside(const std::vector<domain_share>& shares,
                    std::string_view own_domain) {
  double sum = 0;
  for (const domain_share& s : shares)
    if (s.domain != own_domain) sum += s.share;
  return sum;
}

/// Gives all new flows to the own domain.
void EndOverflow(std::vector<domain_share>& shares,
                 std::string_view own_domain) {
  for (domain_share& s : shares) s.share = s.domain == own_domain ? 1 : 0;
}

/// Scales the shares to a sum of 1.
void Normalize(std::vector<domain_share>& shares) {
  double sum = 0;
  for (const domain_share& s : shares) sum += s.share;
  if (sum <= 0) return;
  for (domain_share& s : shares) s.share /= sum;
}

double ShareOfOthers(const std::vector<spill_input>& inputs,
                     const spill_input& own, double spare, double threshold) {
  if (own.slots <= 0) return 1;
  // Without overflow the own demand may be 0, also because it is unknown.
  const double own_overflow = Overflow(own, threshold);
  if (own_overflow <= 0 || spare <= 0) return 0;
  double overflow = 0;
  for (const spill_input& input : inputs)
    overflow += Overflow(input, threshold);
  const double placed = own_overflow * std::min(1.0, spare / overflow);
  return std::min(1.0, placed / OwnDemand(own));
}

/// Returns the part of the slots that serve requests if `utilization` counts
/// queued requests as well: that of a queue with two servers and random
/// arrivals (M/M/2), where utilization = part / (1 - part^2).
double ServingPart(double utilization) {
  const double u = 2 * utilization;
  return u <= 0 ? 0 : (std::sqrt(1 + u * u) - 1) / u;
}

/// Returns the demand that placed `busy` requests on the upstreams of `on`: the
/// slots that serve them, and what was rejected beside them.
double EstimateDemand(const spill_input& on, double busy) {
  const double all_busy = std::max(on.busy, busy);
  if (on.slots <= 0 || all_busy <= 0) return 0;
  const double utilization = all_busy / on.slots;
  const double admitted = 1 - std::min(on.failure_share, kMaxFailureShare);
  const double offered =
      std::max(ServingPart(utilization) / admitted,
               std::min(utilization / kFullRequestsPerSlot, kMaxQueuedDemand));
  return busy / all_busy * on.slots * offered;
}

void AddFailures(std::vector<spill_input>& inputs, const load_pool& pool,
                 std::string_view service, time_point now) {
  for (spill_input& input : inputs) {
    double ended = 0;
    double failures = 0;
    for (const auto& [source, known] : pool.sums) {
      if (now - known.measured_at > kMaxLoadAge) continue;
      for (const load_sample& s : known.sum.samples) {
        if (s.service != service || s.domain != input.domain) continue;
        ended += s.ended_milli_per_s;
        failures += s.failures_milli_per_s;
      }
    }
    input.failure_share = ended > 0 ? std::min(1.0, failures / ended) : 0;
  }
}

/// Adds up what the callers of each domain have placed in all domains.
void AddDemand(std::vector<spill_input>& inputs, const load_pool& pool,
               std::string_view service) {
  for (spill_input& input : inputs) {
    if (!input.is_known) continue;
    for (const load_sample& s : pool.sums.at(input.domain).sum.samples) {
      const auto on = std::ranges::find(inputs, s.domain, &spill_input::domain);
      if (s.service != service || on == inputs.end()) continue;
      input.demand += EstimateDemand(*on, s.busy_milli / kThousandths);
    }
  }
}

std::vector<spill_input> CollectInputs(
    const load_pool& pool, const load_view& loads, const std::string& service,
    const std::vector<known_upstream*>& upstreams,
    const std::string& own_domain, duration opening_timeout, time_point now) {
  std::map<std::string, double> slots =
      CountUsableSlots(upstreams, opening_timeout, now);
  slots.try_emplace(own_domain, 0);
  std::vector<spill_input> inputs;
  for (const auto& [domain, count] : slots) {
    spill_input input{.domain = domain, .slots = count};
    const auto sum = pool.sums.find(domain);
    if (sum != pool.sums.end()) {
      input.age = now - sum->second.measured_at;
      input.is_known = input.age <= kMaxLoadAge;
    }
    if (const service_load* load = FindLoad(loads, service, domain))
      input.busy = load->busy;
    input.is_silent = domain != own_domain &&
                      IsDomainSilent(upstreams, domain, opening_timeout, now);
    inputs.push_back(std::move(input));
  }
  AddFailures(inputs, pool, service, now);
  AddDemand(inputs, pool, service);
  return inputs;
}

/// Returns the shares of `service`, which are created if necessary.
service_shares& FindOrAdd(std::vector<service_shares>& services,
                          const std::string& service) {
  const auto at =
      std::ranges::lower_bound(services, service, {}, &service_shares::service);
  if (at != services.end() && at->service == service) return *at;
  return *services.insert(at, {.service = service});
}

}  // namespace

std::vector<domain_share> ComputeShares(const std::vector<spill_input>& inputs,
                                        std::string_view own_domain) {
  const auto own = std::ranges::find(inputs, own_domain, &spill_input::domain);
  if (own == inputs.end()) return {};
  const double threshold = FindThreshold(inputs);
  double spare = 0;
  double slots = 0;
  for (const spill_input& input : inputs) {
    if (input.domain == own_domain) continue;
    spare += Spare(input, threshold);
    slots += input.is_silent ? 0 : input.slots;
  }
  // Where no upstream is usable, placement takes the least suspect one.
  const double others =
      spare + slots > 0 ? ShareOfOthers(inputs, *own, spare, threshold) : 0;
  std::vector<domain_share> shares;
  for (const spill_input& input : inputs) {
    if (input.domain == own_domain) {
      shares.push_back({input.domain, 1 - others});
      continue;
    }
    // Without spare capacity and without an own upstream, slots decide.
    double part = spare > 0 ? Spare(input, threshold) / spare : 0;
    if (spare <= 0 && slots > 0 && !input.is_silent) part = input.slots / slots;
    shares.push_back({input.domain, others * part});
  }
  return shares;
}

std::vector<domain_share> SmoothShares(
    const std::vector<domain_share>& in_effect,
    const std::vector<domain_share>& target, std::string_view own_domain,
    duration elapsed) {
  const bool spills_more =
      FindShare(target, own_domain) < FindShare(in_effect, own_domain);
  const double time_constants =
      std::chrono::duration<double>(elapsed) /
      std::chrono::duration<double>(spills_more ? kSpillTimeConstant
                                                : kReturnTimeConstant);
  const double weight = 1 - std::exp(-time_constants);
  std::vector<domain_share> smoothed = target;
  for (domain_share& s : smoothed) {
    const double before = FindShare(in_effect, s.domain);
    // Domains that are gone or have lost their capacity get no flows at once.
    if (s.domain != own_domain && s.share <= 0 && before > 0 &&
        FindShare(target, own_domain) < 1)
      continue;
    s.share = before + weight * (s.share - before);
  }
  const bool has_ended =
      ShareOutside(smoothed, own_domain) < kMinShareOutside &&
      ShareOutside(target, own_domain) < kMinShareOutside;
  if (has_ended) EndOverflow(smoothed, own_domain);
  Normalize(smoothed);
  return smoothed;
}

bool IsDomainSilent(const std::vector<known_upstream*>& upstreams,
                    std::string_view domain, duration opening_timeout,
                    time_point now) {
  time_point last_alive_at{};
  time_point last_opening_at{};
  for (const known_upstream* u : upstreams) {
    if (u->entry.domain != domain) continue;
    last_alive_at = std::max(last_alive_at, u->stats.last_alive_at);
    last_opening_at = std::max(last_opening_at, u->stats.last_opening_at);
  }
  uint32_t unanswered = 0;
  for (const known_upstream* u : upstreams) {
    const upstream_stats& stats = u->stats;
    const bool is_overdue = u->entry.domain == domain && stats.unanswered > 0 &&
                            now - stats.unanswered_since > opening_timeout;
    if (is_overdue && stats.unanswered_since > last_alive_at)
      unanswered += stats.unanswered;
  }
  if (unanswered == 0) return false;
  const uint32_t doublings = std::min(unanswered - 1, kMaxDoublings);
  return now - last_opening_at < kFirstProbeDelay * (int64_t{1} << doublings);
}

std::vector<service_shares> UpdateShares(spill_over_state& spill,
                                         const load_view& loads,
                                         const upstream_directory& directory,
                                         const std::string& own_domain,
                                         duration opening_timeout,
                                         time_point now) {
  std::vector<service_shares> changed;
  std::erase_if(spill.services, [&](const service_shares& s) {
    return !directory.ready_by_service.contains(s.service);
  });
  for (const auto& [service, upstreams] : directory.ready_by_service) {
    service_shares& s = FindOrAdd(spill.services, service);
    s.inputs = CollectInputs(spill.pool, loads, service, upstreams, own_domain,
                             opening_timeout, now);
    const auto target = ComputeShares(s.inputs, own_domain);
    s.shares = s.shares.empty() ? target
                                : SmoothShares(s.shares, target, own_domain,
                                               now - s.decided_at);
    s.decided_at = now;
    const double own_share = FindShare(s.shares, own_domain);
    const bool has_ended = own_share == 1 && s.logged_own_share != 1;
    if (std::abs(own_share - s.logged_own_share) < kLoggedStep && !has_ended)
      continue;
    s.logged_own_share = own_share;
    changed.push_back(s);
  }
  return changed;
}

domain_choice SelectDomain(const spill_over_state& spill,
                           const upstream_directory& directory,
                           std::string_view service,
                           const std::string& own_domain, uint64_t flow_hash,
                           duration opening_timeout, time_point now) {
  domain_choice choice{.domain = own_domain};
  if (!spill.is_enabled) return choice;
  const auto known = std::ranges::lower_bound(spill.services, service, {},
                                              &service_shares::service);
  if (known == spill.services.end() || known->service != service) return choice;
  const auto ready = directory.ready_by_service.find(known->service);
  if (ready == directory.ready_by_service.end()) return choice;
  std::vector<domain_share> usable;
  double sum = 0;
  for (const domain_share& s : known->shares) {
    if (s.domain != own_domain &&
        IsDomainSilent(ready->second, s.domain, opening_timeout, now)) {
      choice.silent.push_back(s.domain);
      continue;
    }
    usable.push_back(s);
    sum += s.share;
  }
  double remaining = sum * DrawFraction(flow_hash, kDomainSeed);
  for (const domain_share& s : usable) {
    if (s.share <= 0) continue;
    choice.domain = s.domain;
    remaining -= s.share;
    if (remaining < 0) break;
  }
  return choice;
}

bool HasPeerFlows(const spill_over_state& spill, time_point now) {
  return spill.is_enabled && spill.pool.flows_received_at != time_point{} &&
         now - spill.pool.flows_received_at <= kMaxLoadAge;
}

}  // namespace radishyard
