#pragma once

#include <cstdint>

#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// Returns the key in `gather_tables::entries` of an entry incarnation, which is added if it is new.
std::uint32_t FindOrAddEntry(gather_tables& tables, const base::instance_ref& ref);

/// Ends the calls of entries that are no longer available: queued calls are dropped, running reads are cancelled, and
/// running calls that are not repeatable continue. Records of former incarnations without calls are removed.
void SweepEntries(gather_tables& tables, instance::context& ctx);

/// Sends the pending results, one message for each query. Results for an entry incarnation that is no longer available
/// are dropped.
void FlushResults(gather_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::gather
