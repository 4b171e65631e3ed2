#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace limpetrouter::core::base {

/// 64-bit content hash (XXH3). It detects damage and differences, not forgery.
std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Returns `HashBytes` as 16 lower-case hexadecimal digits, the form used in JSON.
std::string HexDigest(std::string_view bytes);

/// Formats `value` as 16 lower-case hexadecimal digits.
std::string ToHex(std::uint64_t value);

}  // namespace limpetrouter::core::base
