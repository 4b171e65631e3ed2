#include "core/gather/call_lanes.h"

namespace limpetrouter::core::gather {
namespace {

bool IsQueued(const gather_tables& tables, const call_key& key) {
  const auto found = tables.calls.find(key);
  return found != tables.calls.end() && found->second.state == call_state::kQueued;
}

}  // namespace

void PushCall(call_queue& queue, const call_key& key) {
  queue.by_entry[key.entry].push_back(key);
  ++queue.size;
}

std::optional<call_key> PopCall(const gather_tables& tables, call_queue& queue) {
  while (!queue.by_entry.empty()) {
    auto entry_keys = queue.by_entry.upper_bound(queue.last_entry);
    if (entry_keys == queue.by_entry.end()) entry_keys = queue.by_entry.begin();
    std::optional<call_key> popped;
    while (!entry_keys->second.empty() && !popped.has_value()) {
      if (IsQueued(tables, entry_keys->second.front())) popped = entry_keys->second.front();
      entry_keys->second.pop_front();
    }
    queue.last_entry = entry_keys->first;
    if (entry_keys->second.empty()) queue.by_entry.erase(entry_keys);
    if (!popped.has_value()) continue;
    --queue.size;
    return popped;
  }
  return std::nullopt;
}

std::vector<call_key> ListQueuedCalls(const gather_tables& tables, const call_queue& queue) {
  std::vector<call_key> keys;
  keys.reserve(queue.size);
  for (const auto& [entry, entry_keys] : queue.by_entry) {
    for (const call_key& key : entry_keys) {
      if (IsQueued(tables, key)) keys.push_back(key);
    }
  }
  return keys;
}

}  // namespace limpetrouter::core::gather
