#pragma once

#include <string_view>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// An instance may lose its links to all backend servers while callers and other instances still reach it. It notices
/// this by calls to several servers that fail or stay unanswered without any answer in between, and confirms it by
/// probes of further servers. Until a probe succeeds, its requests are relayed to other instances, and callers are
/// directed to those.

/// Records what the end of a call to a server says about the links of this instance.
void NoteContact(forwarding_tables& tables, instance::context& ctx, const call& ended, const call_result& result);
/// Records the outcome of a probe.
void NoteProbe(forwarding_tables& tables, instance::context& ctx, const probe_id& probe, bool connected);
/// Handles a server that refuses connections. It counts as down once another server is known to be reached, because
/// this instance may have lost its links to all servers.
void NoteRefusal(forwarding_tables& tables, instance::context& ctx, const base::backend_server_id& id);
/// Starts probes if the links are in doubt or lost, and publishes that they are lost.
void RunContact(forwarding_tables& tables, instance::context& ctx);
/// Discards the observations before a pause of the process, as answers that arrived meanwhile have not been read.
void ResetContact(forwarding_tables& tables, base::time_point now);

std::string_view ToString(contact_state state);
/// True if calls to several servers have failed since the last answer or the last accepted connection.
bool IsInDoubt(const forwarding_tables& tables);
/// True if a call to a server on a new connection is expected to fail.
inline bool HasNoNewConnections(const forwarding_tables& tables) {
  return tables.contact.state != contact_state::kConnected;
}
/// True if any call to a server is expected to fail.
inline bool IsCutOff(const forwarding_tables& tables) { return tables.contact.state == contact_state::kCutOff; }

}  // namespace limpetrouter::core::forwarding
