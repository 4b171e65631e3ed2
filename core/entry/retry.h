#pragma once

#include <cstdint>

#include "core/base/error_kind.h"
#include "core/entry/entry_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::entry {

/// Schedules the next attempt of a shard for the time `at`, or fails the shard after kMaxAttemptsPerShard attempts. A
/// `budget_exempt` retry does not count against the retry budget.
void ScheduleRetry(query& query, std::uint32_t shard, base::time_point at, bool budget_exempt);

/// Handles an attempt that has ended without an accepted answer: ends the query, fails the shard, or schedules a retry
/// or a restart.
void HandleFailure(entry_tables& tables, instance::context& ctx, query& query, const attempt& ended,
                   base::error_kind failure, base::executed_state executed);

/// Sends the retries that are due and within the retry budget.
void RunRetries(entry_tables& tables, instance::context& ctx, query& query);

/// Restarts a query whose snapshot is unavailable as soon as there is a newer snapshot.
void RunRestart(entry_tables& tables, instance::context& ctx, query& query);

}  // namespace limpetrouter::core::entry
