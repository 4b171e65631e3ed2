#pragma once

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// Marks a part as waiting for a server, and puts it into the queue of its service. No effect if it waits already.
void Enqueue(forwarding_tables& tables, base::reply_handle handle, active_request& request, std::size_t index);
/// Marks a part as not waiting, and takes it out of the queue of its service.
void Dequeue(forwarding_tables& tables, request_part& part);
void DequeueAll(forwarding_tables& tables, active_request& request);

}  // namespace limpetrouter::core::forwarding
