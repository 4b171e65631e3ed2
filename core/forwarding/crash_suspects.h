#pragma once

#include "core/forwarding/server_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// Records a call that lost its connection without an answer. If the server turns out to have crashed, the request of
/// the call may be the cause.
void NoteLostCall(server& server, const lost_call& call);

/// Handles a server that refuses connections. If the server lost calls shortly before, it has crashed, and the requests
/// of these calls become suspects on every instance. A request is withheld once a call that started after the request's
/// first crash ended in the crash of another server, provided that the request was the only one that ran on one of the
/// two servers.
void NoteServerDown(server& server, instance::context& ctx);

}  // namespace limpetrouter::core::forwarding
