#pragma once

#include "core/base/time.h"
#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// Returns how long a suspected call is delayed. The replica that follows the crashed one in the order of the
/// fingerprint executes the request a second time. The replicas after that one delay the request, so that a hedge or a
/// retry that arrives there in the meantime does not crash a third backend server. They execute the call if no second
/// crash is reported during the delay.
base::duration SecondExecutionDelay(const instance::context& ctx, const call& call);

}  // namespace limpetrouter::core::gather
