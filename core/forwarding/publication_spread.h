#pragma once

#include <optional>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::forwarding {

/// Few instances of a data centre read the platform; the others follow one of them, so that the number of calls to the
/// platform does not grow with the fleet. An instance that receives no recent updates reads the platform itself.

/// True if this instance must read the platform now.
bool MustRead(const forwarding_tables& tables, const instance::context& ctx);
/// Requests updates from the reader that this instance follows, and sends updates to the followers of this instance.
void RunSpread(forwarding_tables& tables, instance::context& ctx);
void HandlePublicationRequest(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                              const peer::publication_request& request);
/// Returns the changes of the update, or nothing if the update starts after the position that this instance knows, or
/// ends before it.
std::optional<published_changes> AcceptPublicationUpdate(forwarding_tables& tables, instance::context& ctx,
                                                         const peer::message_header& header,
                                                         const peer::publication_update& update);

}  // namespace limpetrouter::core::forwarding
