#include "core/base/digest.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace limpetrouter::core::base {

std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string HexDigest(std::string_view bytes) { return ToHex(HashBytes(bytes)); }

std::string ToHex(std::uint64_t value) { return fmt::format("{:016x}", value); }

}  // namespace limpetrouter::core::base
