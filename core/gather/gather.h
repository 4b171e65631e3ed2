#pragma once

#include <nlohmann/json.hpp>

#include "core/gather/gather_tables.h"
#include "core/instance/context.h"
#include "core/io/event.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::gather {

/// Queues the calls of an entry, or answers at once for those that cannot run here.
void HandleGatherRequest(gather_tables& tables, instance::context& ctx, const peer::message_header& header,
                         const peer::gather_request& request);
/// Drops queued attempts and stops running ones, except those of requests that are not repeatable.
void HandleGatherCancel(gather_tables& tables, instance::context& ctx, const peer::message_header& header,
                        const peer::gather_cancel& cancel);
void HandleCallEnded(gather_tables& tables, instance::context& ctx, const io::backend_call_ended& event);
void HandleProbeEnded(gather_tables& tables, instance::context& ctx, const io::backend_probe_ended& event);
/// Runs queues, deadlines, load probes, cold-start ramps and changes of holdings.
void RunGather(gather_tables& tables, instance::context& ctx);
/// The process was paused for `gap`: queued work of before is answered as not run.
void HandlePause(gather_tables& tables, instance::context& ctx, base::duration gap);
/// True when no call is queued or running.
bool IsIdle(const gather_tables& tables);

/// Held backend servers with role, slots in use, queue, connections and cold-start share, by id, for operators.
nlohmann::json ReportHoldings(const gather_tables& tables, base::time_point now);

}  // namespace limpetrouter::core::gather
