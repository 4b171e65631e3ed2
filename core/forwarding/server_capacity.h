#pragma once

#include "core/base/time.h"
#include "core/forwarding/server_table.h"

namespace limpetrouter::core::forwarding {

/// Returns the number of calls, of all instances together, that the server runs at once without slowing down. Never
/// more than the slots that its entry states.
double CapacityOf(const server& each, base::time_point now);

}  // namespace limpetrouter::core::forwarding
