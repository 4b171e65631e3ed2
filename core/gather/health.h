#pragma once

#include "core/base/error_kind.h"
#include "core/gather/gather_tables.h"
#include "core/instance/context.h"

namespace limpetrouter::core::gather {

/// Takes what the end of a call says about its backend server: slots, drain, connect failures.
void RecordCallResult(gather_tables& tables, instance::context& ctx, holding& holding,
                      const peer::attempt_result& result, base::duration call_time);

/// Takes a load report, or the failure to get one.
void RecordProbeResult(gather_tables& tables, instance::context& ctx, holding& holding,
                       const io::backend_probe_ended& event);

/// True if a call may be sent now, although connections fail: one trial from time to time.
bool AllowCall(holding& holding, base::time_point now);

/// Sends the probes that are due. Probes that open connections ahead of use are paced.
void SendProbes(gather_tables& tables, instance::context& ctx);

/// Looks up which held backend servers drain, and ends the queued calls of those.
void CheckDrains(gather_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::gather
