#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "core/base/strong_id.h"

namespace limpetrouter::core::entry {

/// Fingerprints that have succeeded on a backend server, least recently used first.
struct proven_table {
  std::list<std::uint64_t> order;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
};

/// About 100 bytes each.
inline constexpr std::size_t kMaxProven = 20'000;

/// True if the fingerprint is proven; marks it as used.
bool IsProven(proven_table& table, base::fingerprint_id fingerprint);
void MarkProven(proven_table& table, base::fingerprint_id fingerprint);

}  // namespace limpetrouter::core::entry
