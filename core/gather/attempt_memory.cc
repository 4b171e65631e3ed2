#include "core/gather/attempt_memory.h"

#include <algorithm>

#include "core/base/random.h"

namespace limpetrouter::core::gather {
namespace {

constexpr std::size_t kRemembered = 65'536;

}  // namespace

attempt_novelty RememberAttempt(gather_tables& tables, const call_key& key, bool repeatable) {
  entry_record& entry = tables.entries.at(key.entry);
  const std::uint64_t hash = base::MixHash(entry.hash, key.attempt);
  attempt_memory& memory = tables.attempts;
  if (memory.reads.contains(hash) || memory.writes.contains(hash)) return attempt_novelty::kSeen;
  if (repeatable) {
    memory.reads.insert(hash);
    memory.read_order.push_back(hash);
    if (memory.read_order.size() > kRemembered) {
      memory.reads.erase(memory.read_order.front());
      memory.read_order.pop_front();
    }
    return attempt_novelty::kNew;
  }
  if (key.attempt <= entry.forgotten) return attempt_novelty::kForgotten;
  memory.writes.insert(hash);
  memory.write_order.emplace_back(key, hash);
  if (memory.write_order.size() > kRemembered) {
    const auto& [oldest, oldest_hash] = memory.write_order.front();
    memory.writes.erase(oldest_hash);
    const auto owner = tables.entries.find(oldest.entry);
    if (owner != tables.entries.end()) owner->second.forgotten = std::max(owner->second.forgotten, oldest.attempt);
    memory.write_order.pop_front();
  }
  return attempt_novelty::kNew;
}

}  // namespace limpetrouter::core::gather
