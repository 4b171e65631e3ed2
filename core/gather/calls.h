#pragma once

#include "core/base/error_kind.h"
#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// Returns the result of an attempt that was not executed.
peer::attempt_result NotExecuted(const base::attempt_sequence& attempt, const base::shard_id& shard,
                                 const base::backend_server_id& server, base::error_kind kind);

/// Puts an accepted call into the queue of its backend server.
void EnqueueCall(gather_tables& tables, call& call);

/// Starts queued calls of a backend server until its usable slots are taken.
void StartQueued(gather_tables& tables, instance::context& ctx, holding& holding);

/// Calls `StartQueued` for every holding that is marked ready, until none is.
void StartReady(gather_tables& tables, instance::context& ctx);

/// Ends a call in any state and queues `result` for its entry. If the call was guarded, the calls that waited for its
/// end proceed.
void FinishCall(gather_tables& tables, instance::context& ctx, const call_key& key, peer::attempt_result result);

/// Ends a call that has not started, with `kind` as the failure.
void FinishNotExecuted(gather_tables& tables, instance::context& ctx, const call_key& key, base::error_kind kind);

/// Removes a call from its backend server and from the table, without a result.
call TakeCall(gather_tables& tables, const call_key& key);

/// Ends a call that has not started. A running read is asked to stop and ends with its end event; a running call that
/// is not repeatable continues.
void CancelCall(gather_tables& tables, instance::context& ctx, call& call);

/// Ends all calls in the queue of a backend server.
void FailQueued(gather_tables& tables, instance::context& ctx, holding& holding, base::error_kind kind);

/// Ends calls that passed their deadline before they started.
void ExpireCalls(gather_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::gather
