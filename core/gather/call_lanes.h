#pragma once

#include <optional>
#include <vector>

#include "core/gather/gather_tables.h"

namespace limpetrouter::core::gather {

/// Appends a call to the lane of its entry.
void PushCall(call_queue& queue, const call_key& key);

/// Takes the next call: entries take turns, and within an entry the oldest comes first. Empty if there is none.
std::optional<call_key> PopCall(const gather_tables& tables, call_queue& queue);

/// Queued calls in the order of their entries, without those that have ended.
std::vector<call_key> ListQueuedCalls(const gather_tables& tables, const call_queue& queue);

}  // namespace limpetrouter::core::gather
