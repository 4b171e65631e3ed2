#include "core/forwarding/admission.h"

namespace limpetrouter::core::forwarding {

void Enqueue(forwarding_tables& tables, base::reply_handle handle, active_request& request, std::size_t index) {
  request_part& part = request.parts[index];
  if (part.waiting) return;
  part.waiting = true;
  part.position = {false, request.route->priority, {}, handle, index};
  routing::Push(tables.queues[part.service], part.position);
}

void Dequeue(forwarding_tables& tables, request_part& part) {
  if (!part.waiting) return;
  part.waiting = false;
  routing::Remove(tables.queues[part.service], part.position);
}

void DequeueAll(forwarding_tables& tables, active_request& request) {
  for (request_part& part : request.parts)
    Dequeue(tables, part);
}

}  // namespace limpetrouter::core::forwarding
