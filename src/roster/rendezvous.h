// Weighted rendezvous hashing: every balancer ranks the same candidates in the
// same order, and a candidate that is added or removed changes the choice only
// for its own share of the keys.
#pragma once
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace radishyard {

/// \brief A candidate of the choice, such as a pool or a member.
/// Invariant: `id_hash` is the NameHash of the candidate's name, so that it is
/// the same on every balancer.
struct rendezvous_candidate {
  uint64_t id_hash = 0;
  double weight = 1;  ///< Share relative to the others; a candidate with
                      ///< weight 0 is never chosen.
};

/// \brief Hash of a name that is the same on every balancer and in every
/// release.
uint64_t NameHash(std::string_view name);

/// \brief Indexes of the candidates with a positive weight, best first.
///
/// \code
/// std::vector<rendezvous_candidate> domains = {{NameHash("rennes"), 6},
///                                              {NameHash("vannes"), 4}};
/// size_t best = RankByRendezvous(StableHash(flow), domains)[0];
/// \endcode
std::vector<size_t> RankByRendezvous(
    uint64_t key, std::span<const rendezvous_candidate> candidates);

/// \brief Index of the best candidate, the first of RankByRendezvous, computed
/// without an allocation.
/// \returns `candidates.size()` if no candidate has a positive weight.
size_t PickByRendezvous(uint64_t key,
                        std::span<const rendezvous_candidate> candidates);

}  // namespace radishyard
