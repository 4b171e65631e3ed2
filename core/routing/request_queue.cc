#include "core/routing/request_queue.h"

namespace limpetrouter::core::routing {

void Push(request_queue& queue, const queue_position& position) {
  if (queue.parts.insert(position).second) ++queue.classes[{position.late, position.priority}];
}

void Remove(request_queue& queue, const queue_position& position) {
  if (queue.parts.erase(position) == 0) return;
  const auto found = queue.classes.find({position.late, position.priority});
  if (--found->second == 0) queue.classes.erase(found);
}

std::size_t CountUpTo(const request_queue& queue, bool late, std::uint32_t priority) {
  std::size_t count = 0;
  for (const auto& [parts_class, parts] : queue.classes) {
    if (parts_class <= std::pair(late, priority)) count += parts;
  }
  return count;
}

}  // namespace limpetrouter::core::routing
