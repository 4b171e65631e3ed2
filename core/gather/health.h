#pragma once

#include "core/base/error_kind.h"
#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// Updates the usable slots, the drain state and the count of connection failures from the result of a call, which took
/// `call_time`.
void RecordCallResult(gather_tables& tables, instance::context& ctx, holding& holding,
                      const peer::attempt_result& result, base::duration call_time);

/// Updates the health of a backend server from its load report, or from the failure to get one.
void RecordProbeResult(gather_tables& tables, instance::context& ctx, holding& holding,
                       const io::backend_probe_ended& event);

/// Returns whether a call may be sent now. While connections fail, this is one trial call every 500 ms; a true result
/// then counts as that trial.
bool AllowCall(holding& holding, base::time_point now);

/// Sends the probes that are due. Of the probes that open connections ahead of use, at most two are sent per tick.
void SendProbes(gather_tables& tables, instance::context& ctx);

/// Updates which held backend servers drain, and ends the queued calls of those that drain or were removed from the
/// configuration.
void CheckDrains(gather_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::gather
