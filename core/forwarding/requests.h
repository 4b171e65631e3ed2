#pragma once

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/io/event.h"

namespace limpetrouter::core::forwarding {

/// Handles a caller's request: refuses it, or sends it to backend servers.
void AcceptRequest(forwarding_tables& tables, instance::context& ctx, const io::request_received& event);
/// Handles a caller that disconnected. The calls of an idempotent request are cancelled; those of a request that must
/// not be repeated continue, because their effect may be wanted.
void AbandonRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle);
/// Handles the end of a call: uses its answer, tries another backend server, or fails the request.
void HandleCallEnded(forwarding_tables& tables, instance::context& ctx, const io::server_call_ended& event);
/// Sends hedges and waiting parts, ends requests that have reached their time limit, and cancels calls that linger too
/// long.
void RunRequests(forwarding_tables& tables, instance::context& ctx);

}  // namespace limpetrouter::core::forwarding
