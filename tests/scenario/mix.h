#pragma once

#include <cstdint>
#include <string>

namespace limpetrouter::tests::scenario {

/// Text of a script with the usual load and a random pair of failures that overlap, each possibly twice. The same seed
/// gives the same script.
std::string MixScript(std::uint64_t seed);

}  // namespace limpetrouter::tests::scenario
