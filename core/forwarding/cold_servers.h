#pragma once

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// A server is cold for a time after its start, and again whenever its entry in the service registry says so. While it
/// is cold, all instances together keep to the rate that the configuration states for its service.

/// Returns when the server stops being cold; a time that is not after the present one if it is not cold.
base::time_point ColdUntil(const server_table& table, const server& each);
/// Returns the rate that the server tolerates from all instances together because it is cold, or was cold less than a
/// second ago; 0 if it has no such limit.
double ColdRate(const server_table& table, const server& each, base::time_point now);
/// True if the server is cold and the rules of its service are not known, so that it gets one call at a time.
bool IsColdWithoutRules(const server_table& table, const server& each, base::time_point now);
/// Applies what a newly read entry says. `restarted` is true if the entry is that of another incarnation than the one
/// known before.
void NoteColdStatement(server& each, bool restarted, base::time_point now);

/// Logs the servers that became cold and those that no longer are. Calls to a server that becomes cold pause, because
/// those that are running count for its rate.
void UpdateColdServers(server_table& table, instance::context& ctx);
/// Computes this instance's share of the rates of cold servers.
void UpdateColdShare(forwarding_tables& tables, const instance::context& ctx);
/// Returns the number of servers that are cold.
std::size_t CountColdServers(const server_table& table, base::time_point now);

}  // namespace limpetrouter::core::forwarding
