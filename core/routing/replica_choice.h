#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/random.h"

namespace limpetrouter::core::routing {

/// Why a replica is avoided while a better one exists, from the least to the most serious reason.
enum class replica_rank : std::uint8_t {
  kGood,
  /// Not yet proven, or just back from an ejection, and already busy with a call.
  kOnProbation,
  kEjected,
  /// An attempt of the same query has failed or is running there.
  kTried,
  /// No instance that holds connections to it can be expected to answer.
  kNoHolder,
  kDraining,
  /// Cannot be used at all.
  kUnusable,
};

struct replica_candidate {
  /// Position in the list of replicas of the shard.
  std::uint32_t position = 0;
  replica_rank rank = replica_rank::kGood;
  /// (Own outstanding calls + 1) x recent latency.
  double score = 0;
};

/// Power of two choices among the candidates of the best rank that is at most `worst`.
std::optional<std::uint32_t> ChooseReplica(const std::vector<replica_candidate>& candidates, replica_rank worst,
                                           base::random_source& random);

}  // namespace limpetrouter::core::routing
