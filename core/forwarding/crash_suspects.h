#pragma once

#include "core/forwarding/request_table.h"
#include "core/forwarding/server_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// Records a call that lost its connection without an answer. If the server turns out to have crashed, the request of
/// the call may be the cause.
void NoteLostCall(server& server, const lost_call& call);

/// Handles a server that refuses connections. If the server lost calls shortly before, it has crashed, and the requests
/// of these calls become suspects on every instance. A request is withheld once a call that started after the request's
/// first crash ended in the crash of another server, provided that the request was the only one that ran on one of the
/// two servers. If other requests ran on each of them, it takes a third crash, by a call that started after the second.
void NoteServerDown(server& server, instance::context& ctx);

/// Handles the answer of a server that has executed the request: a suspected request is cleared on every instance.
void NoteAnsweredCall(instance::context& ctx, base::fingerprint_id fingerprint);

/// True if the request may crash the servers that run it: it is suspected, or has lost calls at several servers, and
/// none of its calls has been answered.
bool MayCrashServers(const active_request& request);
/// Sends the held parts of a request once one of its parts has been answered. Fails them if no call is left that could
/// be answered, and the servers that lost its calls have been probed, so that the other instances learn of a crash
/// before the caller sends the request again.
void ResumeHeldParts(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle,
                     active_request& request);

}  // namespace limpetrouter::core::forwarding
