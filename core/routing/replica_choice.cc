#include "core/routing/replica_choice.h"

namespace limpetrouter::core::routing {
namespace {

/// Returns the `n`-th candidate of `rank`, counted from 0; null if there are fewer.
const replica_candidate* NthOfRank(const std::vector<replica_candidate>& candidates, replica_rank rank,
                                   std::uint64_t n) {
  for (const replica_candidate& candidate : candidates) {
    if (candidate.rank != rank) continue;
    if (n == 0) return &candidate;
    --n;
  }
  return nullptr;
}

}  // namespace

std::optional<std::uint32_t> ChooseReplica(const std::vector<replica_candidate>& candidates, replica_rank worst,
                                           base::random_source& random) {
  replica_rank best = replica_rank::kUnusable;
  std::uint64_t count = 0;
  for (const replica_candidate& candidate : candidates) {
    if (candidate.rank < best) {
      best = candidate.rank;
      count = 0;
    }
    if (candidate.rank == best) ++count;
  }
  if (best == replica_rank::kUnusable || best > worst) return std::nullopt;
  const std::uint64_t first = base::NextBelow(random, count);
  if (count == 1) return NthOfRank(candidates, best, first)->position;
  std::uint64_t second = base::NextBelow(random, count - 1);
  if (second >= first) ++second;
  const replica_candidate* a = NthOfRank(candidates, best, first);
  const replica_candidate* b = NthOfRank(candidates, best, second);
  return b->score < a->score ? b->position : a->position;
}

}  // namespace limpetrouter::core::routing
