#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "core/base/strong_id.h"

namespace limpetrouter::core::entry {

/// Fingerprints of requests that have succeeded on a backend server, with least-recently-used eviction.
struct proven_table {
  /// Least recently used first.
  std::list<std::uint64_t> order;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
};

/// Maximum number of fingerprints. Each takes about 100 bytes.
inline constexpr std::size_t kMaxProven = 20'000;

/// True if the fingerprint is proven. Marks the fingerprint as recently used.
bool IsProven(proven_table& table, base::fingerprint_id fingerprint);
/// Adds a fingerprint. Evicts the least recently used one if the table is full.
void MarkProven(proven_table& table, base::fingerprint_id fingerprint);

}  // namespace limpetrouter::core::entry
