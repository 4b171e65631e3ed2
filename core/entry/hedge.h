#pragma once

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::entry {

/// Sends hedges for the calls that are late, within the budget, and second attempts for calls that are overdue.
void RunHedges(entry_tables& tables, instance::context& ctx, query& query);

}  // namespace limpetrouter::core::entry
