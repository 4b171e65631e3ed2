#include "core/gather/call_lanes.h"

namespace limpetrouter::core::gather {
namespace {

bool IsQueued(const gather_tables& tables, const call_key& key) {
  const auto found = tables.calls.find(key);
  return found != tables.calls.end() && found->second.state == call_state::kQueued;
}

}  // namespace

void PushLane(call_lanes& lanes, const call_key& key) {
  lanes.by_entry[key.entry].push_back(key);
  ++lanes.size;
}

std::optional<call_key> PopLane(const gather_tables& tables, call_lanes& lanes) {
  while (!lanes.by_entry.empty()) {
    auto lane = lanes.by_entry.upper_bound(lanes.last);
    if (lane == lanes.by_entry.end()) lane = lanes.by_entry.begin();
    std::optional<call_key> taken;
    while (!lane->second.empty() && !taken.has_value()) {
      if (IsQueued(tables, lane->second.front())) taken = lane->second.front();
      lane->second.pop_front();
    }
    lanes.last = lane->first;
    if (lane->second.empty()) lanes.by_entry.erase(lane);
    if (!taken.has_value()) continue;
    --lanes.size;
    return taken;
  }
  return std::nullopt;
}

std::vector<call_key> ListLanes(const gather_tables& tables, const call_lanes& lanes) {
  std::vector<call_key> keys;
  keys.reserve(lanes.size);
  for (const auto& [entry, lane] : lanes.by_entry) {
    for (const call_key& key : lane) {
      if (IsQueued(tables, key)) keys.push_back(key);
    }
  }
  return keys;
}

}  // namespace limpetrouter::core::gather
