#pragma once

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::entry {

/// Applies the result of one attempt. Ignores results of attempts that are unknown or have ended, and results that do
/// not match their attempt.
void ApplyResult(entry_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 base::query_sequence sequence, const peer::attempt_result& result);

/// Ends an attempt, as failed with kPeerUnreachable, whose request may not have been delivered or whose gatherer is
/// unreachable.
void FailUnreachableAttempt(entry_tables& tables, instance::context& ctx, query& query, std::uint64_t sequence,
                            base::executed_state executed);

/// Ends the attempts of gatherers that are unreachable or have restarted. Does nothing if the member table has not
/// changed since the last call.
void FailAttemptsOfUnreachableGatherers(entry_tables& tables, instance::context& ctx);

/// Sends the calls of a query that are due. Ends the query if it is complete, cannot be completed or is at its
/// deadline; the query is erased then.
void AdvanceQuery(entry_tables& tables, instance::context& ctx, std::uint64_t sequence);

}  // namespace limpetrouter::core::entry
