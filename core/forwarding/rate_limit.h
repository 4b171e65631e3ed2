#pragma once

#include <cstdint>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// A backend server may state a rate limit for all instances together. The instances do not negotiate: each one takes
/// a fixed share of the limit, which follows from the number of instances that callers are directed to. Calls that
/// exceed the share go to other servers.

/// Applies what an answer says about the rate limit of its server. `call_started` is when the call of the answer was
/// started, and `share` this instance's share of each limit.
void NoteRateLimit(server& server, instance::context& ctx, const rate_limit_statement& statement,
                   base::time_point call_started, double share);
/// Returns when this instance may make its next call to the server: `now`, or a later time if its share of the server's
/// limit is used up.
base::time_point NextCallTime(const server& server, double share, base::time_point now);
/// Takes a call from the share of the server's limit. `repeated` is true for a retry.
void TakeLimitedCall(server& server, double share, bool repeated, base::time_point now);
/// Computes this instance's share of each limit from the number of instances.
void UpdateLimitShare(forwarding_tables& tables, const instance::context& ctx);
/// Logs for each server with a limit, at intervals, how many calls this instance has made under the limit.
void ReportRateLimits(server_table& table, instance::context& ctx);

}  // namespace limpetrouter::core::forwarding
