#pragma once

#include <cstdint>

#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// Row of an entry in its present life, added if it is new.
std::uint32_t FindOrAddEntry(gather_tables& tables, const base::instance_ref& ref);

/// Ends the calls of entries that are gone: queued ones are dropped, running reads are cancelled. Calls that are not
/// repeatable run on. Rows of former lives are forgotten.
void SweepEntries(gather_tables& tables, instance::context& ctx);

/// Sends the pending results, one message for each query. Results for an entry that is gone are dropped.
void FlushResults(gather_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::gather
