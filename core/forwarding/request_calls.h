#pragma once

#include <cstdint>

#include "core/forwarding/request_table.h"
#include "core/forwarding/server_choice.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

enum class send_purpose : std::uint8_t { kFirst, kRetry, kHedge };

/// Returns the number of calls that this instance may have at one server of the service at a time, so that all
/// instances together stay within the server's connection limit.
std::uint32_t MaxRunning(const forwarding_tables& tables, const active_request& request,
                         const base::service_id& service);

/// Chooses a server that the part was not sent to. A hedge requires a server with a free slot.
choice Choose(forwarding_tables& tables, instance::context& ctx, const active_request& request,
              const request_part& part, bool hedge);
/// Sends a part to the chosen server.
void StartCall(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
               std::size_t index, const choice& chosen, send_purpose purpose);
/// Sends a part to a server, or marks the part as waiting or failed.
void DispatchPart(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
                  std::size_t index, send_purpose purpose);
/// Continues a part that lost a call: the part waits for its other call, is sent again, or fails. `reached_server` is
/// true if the lost call may have reached a server, so that the next call counts as a repeated send.
void ContinuePart(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request,
                  std::size_t index, bool reached_server);
/// Sends second calls for parts whose calls take unusually long.
void HedgeParts(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle, active_request& request);

/// Returns the median latency of the route's recent calls, or an estimate from its target latency if too few calls were
/// measured.
base::duration TypicalLatency(const forwarding_tables& tables, const route& route);

}  // namespace limpetrouter::core::forwarding
