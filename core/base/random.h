#pragma once

#include <cstdint>

namespace limpetrouter::core::base {

/// Seeded pseudo-random numbers (SplitMix64). The same seed gives the same sequence on every platform, which the
/// distributions of <random> do not promise, and golden sessions depend on it.
struct random_source {
  std::uint64_t state = 0;
};

/// Next 64 random bits.
std::uint64_t NextRandom(random_source& source);

/// Uniform in [0, bound). Returns 0 if `bound` is 0.
std::uint64_t NextBelow(random_source& source, std::uint64_t bound);

/// Uniform in [0, 1).
double NextUnit(random_source& source);

/// Mixes two values into one well-distributed hash.
std::uint64_t MixHash(std::uint64_t a, std::uint64_t b);

}  // namespace limpetrouter::core::base
