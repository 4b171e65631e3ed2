#pragma once

#include <cstdint>

namespace limpetrouter::core::base {

/// Seeded pseudo-random number generator (SplitMix64). The same seed gives the same sequence on every platform, which
/// the distributions of <random> do not guarantee and on which the golden logs of the tests depend.
struct random_source {
  std::uint64_t state = 0;
};

/// Returns the next 64 random bits.
std::uint64_t NextRandom(random_source& source);

/// Returns a uniformly distributed integer in [0, bound), or 0 if `bound` is 0.
std::uint64_t NextBelow(random_source& source, std::uint64_t bound);

/// Returns a uniformly distributed number in [0, 1).
double NextUnit(random_source& source);

/// Combines two values into one well-distributed hash.
std::uint64_t MixHash(std::uint64_t a, std::uint64_t b);

}  // namespace limpetrouter::core::base
