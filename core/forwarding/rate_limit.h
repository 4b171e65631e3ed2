#pragma once

#include <cstdint>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// A backend server may state a rate limit for all instances together. The instances do not negotiate: each one takes
/// a fixed share of the limit, which follows from the number of instances that callers are directed to. Calls that
/// exceed the share go to other servers.
///
/// A share of less than one call in a turn of two seconds is used in some turns only. In each turn, the instance may
/// call the servers of the same rank in all services that have such limits, so that a sharded request finds a server
/// for each of its shards in the same turn.

/// The rate of a cold server (see cold_servers.h) is divided in the same way. Its bound counts each single second, so
/// that calls are not made up for, and instances that are too many to have one call in the same second each take
/// shorter turns with a margin for turns that coincide.

/// Applies what an answer says about the rate limit of its server. `call_started` is when the call of the answer was
/// started.
void NoteRateLimit(const server_table& table, server& server, instance::context& ctx,
                   const rate_limit_statement& statement, base::time_point call_started);
/// True if the server states a rate limit, or has one because it is cold.
bool IsRateLimited(const server_table& table, const server& server, base::time_point now);
/// Returns when this instance may make its next call to the server: `now`, or a later time if its share of the server's
/// limit is used up. The limit of a cold server is the lower one of its stated limit and the rate of cold servers.
base::time_point NextCallTime(const server_table& table, const server& server, base::time_point now);
/// Takes a call from this instance's share of the server's limit. `repeated` is true for a retry.
void TakeLimitedCall(const server_table& table, server& server, bool repeated, base::time_point now);
/// Computes this instance's share of each limit from the number of instances.
void UpdateLimitShare(forwarding_tables& tables, const instance::context& ctx);
/// Logs for each server with a limit, at intervals, how many calls this instance has made under the limit.
void ReportRateLimits(server_table& table, instance::context& ctx);

}  // namespace limpetrouter::core::forwarding
