#pragma once

#include <cstdint>

#include "core/forwarding/server_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// Applies what an answer says about the rate limit of its server. `call_started` is when the call of the answer was
/// started.
void NoteRateLimit(server& server, instance::context& ctx, const rate_limit_statement& statement,
                   base::time_point call_started);
/// Counts a call to a server. `repeated` is true for a hedge or a retry.
void NoteLimitedCall(server& server, bool repeated);
/// Logs for each server with a limit, at intervals, how many calls this instance has made under the limit.
void ReportRateLimits(server_table& table, instance::context& ctx);

}  // namespace limpetrouter::core::forwarding
