#pragma once

#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// Records that the connection of a running call broke. The result is delayed until the incident closes, so that the
/// evidence is complete and reaches other holders before an entry can retry the call there.
void AddLostCall(gather_tables& tables, instance::context& ctx, const call_key& key, peer::attempt_result result);

/// Closes incidents that have been open for 5 ms: records the suspected fingerprints, notifies the holders of the other
/// replicas, and releases the delayed results.
void CloseIncidents(gather_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::gather
