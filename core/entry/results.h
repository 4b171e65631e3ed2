#pragma once

#include "core/entry/entry_tables.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::entry {

/// Applies the result of one attempt. Results of attempts that are not known (any more) and results that do not match
/// their attempt change nothing.
void ApplyResult(entry_tables& tables, instance::context& ctx, const base::instance_id& sender,
                 base::query_sequence sequence, const peer::attempt_result& result);

/// Ends an attempt whose message or gatherer was lost.
void FailUnreachableAttempt(entry_tables& tables, instance::context& ctx, query& query, std::uint64_t sequence,
                            base::executed_state executed);

/// Ends the attempts of gatherers that are gone or have restarted.
void FailAttemptsOfUnreachableGatherers(entry_tables& tables, instance::context& ctx);

/// Sends what is due after any change of a query and ends it if it is complete, hopeless or at its deadline. The query
/// may be gone afterwards.
void AdvanceQuery(entry_tables& tables, instance::context& ctx, std::uint64_t sequence);

}  // namespace limpetrouter::core::entry
