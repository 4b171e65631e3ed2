#pragma once

#include <cstdint>

#include "core/base/time.h"
#include "core/gather/gather_tables.h"

namespace limpetrouter::core::gather {

/// Returns how many calls this holder may run concurrently now, between 1 and the limit.
std::uint32_t UsableSlots(const holding_slots& slots);

/// Applies the limits of the configuration.
void SetSlotLimit(holding_slots& slots, std::uint32_t server_slots, std::uint32_t connections);

/// Begins the ramp of a backend server that starts cold: one slot at first, and all of them after a few seconds of
/// successful calls.
void StartCold(holding_slots& slots, base::time_point now);

/// Updates the slots after a call that succeeded and took `call_time`. Raises the usable slots additively, by about one
/// per round of calls.
void RaiseSlots(holding_slots& slots, base::duration call_time, base::time_point now);

/// Halves the usable slots after the backend server shed a call, which can happen when another holder is active too. A
/// burst of sheds within 20 ms halves them only once.
void LowerSlots(holding_slots& slots, base::time_point now);

/// Returns the expected queueing time of a call that is accepted now.
base::duration EstimateWait(const holding& holding, bool urgent);

}  // namespace limpetrouter::core::gather
