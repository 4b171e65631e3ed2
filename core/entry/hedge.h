#pragma once

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::entry {

/// Sends hedges for late calls within the hedge budget. Sends second attempts for overdue calls within the retry budget
/// if the backend servers of these calls are unresponsive.
void RunHedges(entry_tables& tables, instance::context& ctx, query& query);

}  // namespace limpetrouter::core::entry
