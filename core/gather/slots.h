#pragma once

#include <cstdint>

#include "core/base/time.h"
#include "core/gather/gather_tables.h"

namespace limpetrouter::core::gather {

/// Calls that this holder may run at once now, between 1 and the limit.
std::uint32_t UsableSlots(const holding_slots& slots);

/// Takes the limits of the configuration over.
void SetSlotLimit(holding_slots& slots, std::uint32_t server_slots, std::uint32_t connections);

/// The backend server starts cold: one slot first, all within a few seconds of successful calls.
void StartCold(holding_slots& slots, base::time_point now);

/// A call succeeded after `called`. Raises the usable slots additively, about by one per round of calls.
void RaiseSlots(holding_slots& slots, base::duration call_time, base::time_point now);

/// The backend server shed a call, as another holder may be active. Halves the usable slots, once for a burst of sheds.
void LowerSlots(holding_slots& slots, base::time_point now);

/// Expected time in the queue of a call that is accepted now.
base::duration EstimateWait(const holding& holding, bool urgent);

}  // namespace limpetrouter::core::gather
