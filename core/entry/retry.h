#pragma once

#include <cstdint>

#include "core/base/error_kind.h"
#include "core/entry/entry_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::entry {

/// Plans the next attempt of a shard, or gives the shard up after too many. `budget_exempt` retries need no budget.
void ScheduleRetry(query& query, std::uint32_t shard, base::time_point at, bool budget_exempt);

/// Decides what follows from an attempt that has ended without an accepted answer.
void HandleFailure(entry_tables& tables, instance::context& ctx, query& query, const attempt& ended,
                   base::error_kind failure, base::executed_state executed);

/// Sends the retries that are due and within their budget.
void RunRetries(entry_tables& tables, instance::context& ctx, query& query);

/// Restarts a query whose snapshot is gone as soon as there is a newer one.
void RunRestart(entry_tables& tables, instance::context& ctx, query& query);

}  // namespace limpetrouter::core::entry
