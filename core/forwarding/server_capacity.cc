#include "core/forwarding/server_capacity.h"

#include <algorithm>

namespace limpetrouter::core::forwarding {

double CapacityOf(const server& each, base::time_point /*now*/) {
  return static_cast<double>(std::max<std::uint32_t>(each.record.slots, 1));
}

}  // namespace limpetrouter::core::forwarding
