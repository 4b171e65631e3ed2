#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/random.h"

namespace limpetrouter::core::routing {

/// Reasons to avoid a replica while a better one exists, in ascending order of severity.
enum class replica_rank : std::uint8_t {
  kGood,
  /// The replica had no success yet, or none since its ejection, and already has a running call.
  kOnProbation,
  kEjected,
  /// An attempt of the same query has failed or is running there.
  kTried,
  /// No instance that holds connections to the replica is expected to answer.
  kNoHolder,
  kDraining,
  /// The replica cannot be used at all.
  kUnusable,
};

struct replica_candidate {
  /// Position in the list of replicas of the shard.
  std::uint32_t position = 0;
  replica_rank rank = replica_rank::kGood;
  /// (Outstanding calls of this entry + 1) x recent latency in microseconds; a lower score is better.
  double score = 0;
};

/// Chooses the better of two random candidates of the best rank (power of two choices). Returns the position of its
/// replica, or nothing if no usable candidate has a rank of at most `worst`.
std::optional<std::uint32_t> ChooseReplica(const std::vector<replica_candidate>& candidates, replica_rank worst,
                                           base::random_source& random);

}  // namespace limpetrouter::core::routing
