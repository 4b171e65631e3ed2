#pragma once

#include "core/base/time.h"
#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// How long a suspected call waits before its run. The second run belongs to the replica that follows the crashed one
/// in the order of the fingerprint. Replicas further on wait, so that a hedge or a retry that arrives there meanwhile
/// does not crash a third backend server; they run the call if no news of a second crash comes.
base::duration SecondExecutionDelay(const instance::context& ctx, const call& call);

}  // namespace limpetrouter::core::gather
