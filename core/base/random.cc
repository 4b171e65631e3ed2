#include "core/base/random.h"

namespace limpetrouter::core::base {
namespace {

constexpr std::uint64_t kGoldenGamma = 0x9E3779B97F4A7C15ULL;

std::uint64_t Finalize(std::uint64_t z) {
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31);
}

}  // namespace

std::uint64_t NextRandom(random_source& source) {
  source.state += kGoldenGamma;
  return Finalize(source.state);
}

std::uint64_t NextBelow(random_source& source, std::uint64_t bound) {
  if (bound == 0) return 0;
  return NextRandom(source) % bound;
}

double NextUnit(random_source& source) {
  constexpr double kScale = 1.0 / static_cast<double>(1ULL << 53);
  return static_cast<double>(NextRandom(source) >> 11) * kScale;
}

std::uint64_t MixHash(std::uint64_t a, std::uint64_t b) { return Finalize(a + kGoldenGamma * (b + 1)); }

}  // namespace limpetrouter::core::base
