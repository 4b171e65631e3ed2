#pragma once

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/io/event.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::forwarding {

/// An instance without links to the backend servers passes its callers' requests on to an instance that reaches them,
/// and returns that instance's answer. The other instance handles such a request like one of its own callers, but never
/// passes it on again. A request is sent to a further instance only if the one before it states that the request was
/// not executed.

/// True if the request, which has no running call, is better handled by another instance: this one cannot reach the
/// servers, the request may still be executed, and another instance is known to reach them.
bool MayRelay(const forwarding_tables& tables, const instance::context& ctx, const active_request& request);
/// Passes the request on. Returns false if there is no suitable instance.
bool StartRelay(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request);
/// Tells the other instance that the answer is no longer needed.
void CancelRelay(forwarding_tables& tables, instance::context& ctx, active_request& request);
/// Passes idempotent requests on whose calls were started before this instance was found to be cut off.
void RelayUnanswered(forwarding_tables& tables, instance::context& ctx);

void HandleRelayRequest(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                        const peer::relay_request& relayed);
void HandleRelayAnswer(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                       const peer::relay_answer& relayed);
void HandleRelayCancel(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                       const peer::relay_cancel& relayed);
/// Handles a message of this protocol that could not be delivered.
void HandleRelaySendFailed(forwarding_tables& tables, instance::context& ctx, const io::peer_send_failed& event);

}  // namespace limpetrouter::core::forwarding
