// Weighted rendezvous hashing: every balancer ranks the same candidates in the
// same order, and a candidate that comes or goes moves only its own share.
#pragma once
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace radishyard {

/// \brief Something that may be chosen: a pool, a member.
/// Invariant: `id_hash` comes from NameHash, so that it is the same everywhere.
struct rendezvous_candidate {
  uint64_t id_hash = 0;
  double weight = 1;  ///< Share relative to the others; 0 is never chosen.
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

/// \brief The first of RankByRendezvous without an allocation;
/// `candidates.size()` where no candidate has a positive weight.
size_t PickByRendezvous(uint64_t key,
                        std::span<const rendezvous_candidate> candidates);

}  // namespace radishyard
