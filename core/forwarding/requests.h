#pragma once

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/io/event.h"

namespace limpetrouter::core::forwarding {

/// Takes a caller's request: refuses it, or sends it to backend servers.
void AcceptRequest(forwarding_tables& tables, instance::context& ctx, const io::request_received& event);
/// The caller has gone. Idempotent work ends; a request that must not repeat runs on, because its effect may be wanted.
void AbandonRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle);
/// A call has ended: takes its answer, tries another backend server, or gives the request up.
void HandleCallEnded(forwarding_tables& tables, instance::context& ctx, const io::server_call_ended& event);
/// Sends hedges and waiting parts, ends requests whose time has come, and cancels calls that linger too long.
void RunRequests(forwarding_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::forwarding
