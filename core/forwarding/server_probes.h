#pragma once

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/io/event.h"

namespace limpetrouter::core::forwarding {

/// Probes a backend server that has lost a call, unless it has been probed very recently.
void ProbeAfterLostCall(forwarding_tables& tables, instance::context& ctx, server& target);
/// Starts a probe of the server.
probe_id StartProbe(forwarding_tables& tables, instance::context& ctx, server& target);
/// Applies the outcome of a probe: a server that cannot be connected to is ejected, and calls that it lost shortly
/// before make their requests suspects.
void HandleProbeEnded(forwarding_tables& tables, instance::context& ctx, const io::server_probe_ended& event);

}  // namespace limpetrouter::core::forwarding
