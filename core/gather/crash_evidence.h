#pragma once

#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// The connection of a running call broke. Its result is held back until the incident closes, so that the evidence is
/// complete and reaches other holders before an entry can retry the call there.
void AddLostCall(gather_tables& tables, instance::context& ctx, const call_key& key, peer::attempt_result result);

/// Closes incidents whose time is over: blames fingerprints, tells the holders of the other replicas, and hands the
/// results on.
void CloseIncidents(gather_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::gather
