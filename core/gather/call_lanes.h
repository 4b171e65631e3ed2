#pragma once

#include <optional>
#include <vector>

#include "core/gather/gather_tables.h"

namespace limpetrouter::core::gather {

/// Appends a call to the calls of its entry.
void PushCall(call_queue& queue, const call_key& key);

/// Removes and returns the next call: round-robin between entries, first in, first out within an entry. Returns nothing
/// if no call is queued.
std::optional<call_key> PopCall(const gather_tables& tables, call_queue& queue);

/// Returns the queued calls in the order of their entries, without those that have ended.
std::vector<call_key> ListQueuedCalls(const gather_tables& tables, const call_queue& queue);

}  // namespace limpetrouter::core::gather
