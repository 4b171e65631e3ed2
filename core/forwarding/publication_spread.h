#pragma once

#include <optional>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::forwarding {

/// One instance of a data centre reads the platform and the others follow it, so that the number of calls to the
/// platform does not grow with the fleet. A second instance stands by: it reads while the first one does not answer or
/// is cut off from the platform. An instance that receives no recent updates reads the platform itself and asks any
/// instance.

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

/// Answers an instance that asks for the evacuated data centres.
void HandleEvacuationRequest(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                             const peer::evacuation_request& request);

}  // namespace limpetrouter::core::forwarding
