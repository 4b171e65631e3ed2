#pragma once

#include <nlohmann/json.hpp>

#include "core/gather/gather_tables.h"
#include "core/instance/context.h"
#include "core/io/event.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::gather {

/// Queues the calls of an entry, and answers immediately for those that cannot be executed here.
void HandleGatherRequest(gather_tables& tables, instance::context& ctx, const peer::message_header& header,
                         const peer::gather_request& request);
/// Drops queued attempts and stops running ones, except running attempts of requests that are not repeatable.
void HandleGatherCancel(gather_tables& tables, instance::context& ctx, const peer::message_header& header,
                        const peer::gather_cancel& cancel);
void HandleCallEnded(gather_tables& tables, instance::context& ctx, const io::backend_call_ended& event);
void HandleProbeEnded(gather_tables& tables, instance::context& ctx, const io::backend_probe_ended& event);
/// Performs the periodic work of one tick: queues, deadlines, load probes, drains, crash incidents and changes of
/// holdings.
void RunGather(gather_tables& tables, instance::context& ctx);
/// Handles a pause of the process of length `gap`: calls that were queued before it are answered as not executed, and
/// running reads that passed their deadline are stopped.
void HandlePause(gather_tables& tables, instance::context& ctx, base::duration gap);
/// Returns true if no call is queued or running and no result is pending.
bool IsIdle(const gather_tables& tables);

/// Reports the held backend servers by id, for operators: role, running and queued calls, slots, connection limit, and
/// whether the backend server starts cold, drains or fails.
nlohmann::json ReportHoldings(const gather_tables& tables, base::time_point now);

}  // namespace limpetrouter::core::gather
