#pragma once

#include "core/base/error_kind.h"
#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// Result of an attempt that did not run.
peer::attempt_result NotExecuted(const base::attempt_sequence& attempt, const base::shard_id& shard,
                                 const base::backend_server_id& server, base::error_kind kind);

/// Puts an accepted call into the queue of its backend server.
void EnqueueCall(gather_tables& tables, call& call);

/// Starts queued calls of a backend server as far as its slots allow.
void StartQueued(gather_tables& tables, instance::context& ctx, holding& holding);

/// Same, for every holding that is marked ready, until none is.
void StartReady(gather_tables& tables, instance::context& ctx);

/// Ends a call in any state with `result`, which goes to its entry. Lets calls go on that waited for its end.
void FinishCall(gather_tables& tables, instance::context& ctx, const call_key& key, peer::attempt_result result);

/// Ends a call that has not started.
void FinishNotExecuted(gather_tables& tables, instance::context& ctx, const call_key& key, base::error_kind kind);

/// Removes a call from its backend server and from the table, without a result.
call TakeCall(gather_tables& tables, const call_key& key);

/// Ends a call that has not started, or stops it if it is a running read; its end event follows then.
void CancelCall(gather_tables& tables, instance::context& ctx, call& call);

/// Ends all calls in the queue of a backend server.
void FailQueued(gather_tables& tables, instance::context& ctx, holding& holding, base::error_kind kind);

/// Ends calls that passed their deadline before they started.
void ExpireCalls(gather_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::gather
