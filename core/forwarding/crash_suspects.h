#pragma once

#include "core/forwarding/server_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// Remembers a call that lost its connection without an answer. If the server turns out to have crashed, its request
/// may be the reason.
void NoteLostCall(server& server, const lost_call& call);

/// The server refuses connections: if it lost calls just before, it has crashed, and their requests are suspected on
/// every instance. A request is withheld once a run that began after its first crash ended in another server's crash,
/// and it was the only one that ran in one of the two.
void NoteServerDown(server& server, instance::context& ctx);

}  // namespace limpetrouter::core::forwarding
