#pragma once

#include <optional>

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"
#include "core/peer/messages.h"

namespace limpetrouter::core::forwarding {

/// Few instances of a data centre read the platform; the others follow one of them, so that the platform's calls do not
/// grow with the fleet. An instance that hears nothing fresh reads the platform itself.

/// True if this instance must read the platform now.
bool MustRead(const forwarding_tables& tables, const instance::context& ctx);
/// Asks the instance that is followed for news, and sends news to those that follow this one.
void RunSpread(forwarding_tables& tables, instance::context& ctx);
void HandlePublicationRequest(forwarding_tables& tables, instance::context& ctx, const peer::message_header& header,
                              const peer::publication_request& request);
/// Returns the changes that the update brings; nothing if it does not follow on what is known.
std::optional<published_changes> AcceptPublicationUpdate(forwarding_tables& tables, instance::context& ctx,
                                                         const peer::message_header& header,
                                                         const peer::publication_update& update);

}  // namespace limpetrouter::core::forwarding
