#include "core/gather/attempt_memory.h"

#include <algorithm>

#include "core/base/random.h"

namespace limpetrouter::core::gather {
namespace {

/// Maximum of attempts in the history, for reads and for non-repeatable calls each.
constexpr std::size_t kHistorySize = 65'536;

}  // namespace

attempt_status RecordAttempt(gather_tables& tables, const call_key& key, bool repeatable) {
  entry_record& entry = tables.entries.at(key.entry);
  const std::uint64_t hash = base::MixHash(entry.hash, key.attempt);
  attempt_history& history = tables.attempts;
  if (history.reads.contains(hash) || history.writes.contains(hash)) return attempt_status::kDuplicate;
  if (repeatable) {
    history.reads.insert(hash);
    history.read_order.push_back(hash);
    if (history.read_order.size() > kHistorySize) {
      history.reads.erase(history.read_order.front());
      history.read_order.pop_front();
    }
    return attempt_status::kNew;
  }
  if (key.attempt <= entry.highest_evicted_attempt) return attempt_status::kTooOld;
  history.writes.insert(hash);
  history.write_order.emplace_back(key, hash);
  if (history.write_order.size() > kHistorySize) {
    const auto& [oldest, oldest_hash] = history.write_order.front();
    history.writes.erase(oldest_hash);
    const auto owner = tables.entries.find(oldest.entry);
    if (owner != tables.entries.end())
      owner->second.highest_evicted_attempt = std::max(owner->second.highest_evicted_attempt, oldest.attempt);
    history.write_order.pop_front();
  }
  return attempt_status::kNew;
}

}  // namespace limpetrouter::core::gather
