#pragma once

#include "core/forwarding/request_table.h"
#include "core/instance/context.h"

namespace limpetrouter::core::forwarding {

/// Admission control refuses a request when its parts are expected to wait for servers beyond what its caller can use.
/// The wait follows from the parts ahead in the queue of the service and from the rate at which calls to the service
/// end; a part that finds a free server does not wait, so that nothing is refused while servers are free.

/// True if the deployment calls for admission control. Otherwise only a plain request whose queue reaches beyond its
/// deadline is refused.
inline bool IsAdmissionControlled(const forwarding_tables& tables) { return tables.bounds.policies.admission_control; }

/// Marks a part as waiting for a server, and puts it into the queue of its service. No effect if it waits already.
void Enqueue(forwarding_tables& tables, base::reply_handle handle, active_request& request, std::size_t index,
             base::time_point now);
/// Marks a part as not waiting, and takes it out of the queue of its service.
void Dequeue(forwarding_tables& tables, request_part& part);
void DequeueAll(forwarding_tables& tables, active_request& request);

/// True if parts of the same or a more urgent class wait for the service, so that a new part must wait behind them.
bool HasPartsAhead(const forwarding_tables& tables, const active_request& request, const base::service_id& service);
/// True if any part waits for the service.
bool HasWaitingParts(const forwarding_tables& tables, const base::service_id& service);

/// Decides on a new request of which nothing was sent, and whose parts without a free server are in the queues. Refuses
/// the request and returns false if it is not expected to be answered in time, and there is no room for it to be
/// answered late.
bool AdmitRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle);
/// Puts a request that can no longer be answered within its target behind those that can, and ends it if it can no
/// longer be answered before its deadline. Returns true if the request has ended.
bool ReviewRequest(forwarding_tables& tables, instance::context& ctx, base::reply_handle handle);
/// Puts requests behind the others, or refuses them, that more urgent ones have displaced: the last ones of each queue,
/// of which nothing was sent.
void DisplaceRequests(forwarding_tables& tables, instance::context& ctx);

/// Returns the maximum work of a server for calls of the request, in multiples of its slots.
double WorkLimit(const forwarding_tables& tables, const active_request& request, const base::service_id& service,
                 base::time_point now);
/// Records the time of a call that was served.
void NoteServedCall(forwarding_tables& tables, const base::service_id& service, base::duration time,
                    base::time_point now);
/// Returns the number of parts that wait for servers, over all services.
std::size_t CountWaitingParts(const forwarding_tables& tables);

}  // namespace limpetrouter::core::forwarding
