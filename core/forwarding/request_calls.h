#pragma once

#include <cstdint>

#include "core/forwarding/request_table.h"
#include "core/forwarding/server_choice.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

enum class send_purpose : std::uint8_t { kFirst, kRetry, kHedge };

/// Calls that this instance may have at one server of the service, so that all instances together stay within its
/// connections.
std::uint32_t MaxRunning(const forwarding_tables& tables, const active_request& request,
                         const base::service_id& service);

/// Chooses a server that the part was not sent to. A hedge takes only one with a free slot.
choice Choose(forwarding_tables& tables, instance::context& ctx, const active_request& request,
              const request_part& part, bool hedge);
/// Sends a part to the server that was chosen.
void StartCall(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
               std::size_t index, const choice& chosen, send_purpose purpose);
/// Sends a part to a server, or notes that it must wait or cannot be served.
void DispatchPart(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
                  std::size_t index, send_purpose purpose);
/// After a part lost a call: it waits for its other call, is sent again, or fails. `reached_server`: the call may have
/// reached a server, so that another one counts as a repeated send.
void ContinuePart(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
                  std::size_t index, bool reached_server);
/// Sends second calls for parts whose calls take unusually long.
void HedgeParts(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request);

/// Latency that half of the route's recent calls kept within, or a guess from its target.
base::duration TypicalLatency(const forwarding_tables& tables, const route& route);

}  // namespace limpetrouter::core::forwarding
