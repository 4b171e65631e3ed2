#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/base/time.h"
#include "core/forwarding/server_table.h"

namespace limpetrouter::core::forwarding {

/// Returns the number of calls, of all instances together, that the server runs at once without slowing down. Never
/// more than the slots that its entry states.
double CapacityOf(const server& each, base::time_point now);
/// Returns the work of the server from which it gets no further calls. `max_work` is the limit of a server without a
/// knee, in multiples of its slots. Calls beyond a knee slow down those that run, while calls beyond the slots only
/// wait, so the limit of a server with a knee is closer to its capacity.
double WorkLimitOf(const server& each, double max_work, base::time_point now);
/// Returns the recent latency of the server's calls, relative to the typical latency of such calls.
double SlownessOf(const server& each, base::time_point now);
/// Returns the latency of a call that does not queue at the server, relative to the typical latency of such calls. The
/// recent latency of all calls if the speed is not learned.
double SpeedOf(const server& each, base::time_point now);

/// Learns from a call that the server has served. `load` is the load report in the answer.
void LearnCapacity(server& each, const running_call& ended, base::duration elapsed,
                   const std::optional<server_load>& load, base::time_point now);
/// Learns from a call that was abandoned: it would have taken longer than `elapsed`.
void LearnOverdue(server& each, const running_call& ended, base::duration elapsed, base::time_point now);

/// Capacity of the servers of one service, for metrics.
struct service_capacity {
  base::service_id service;
  double total = 0;
  double lowest = 0;
  /// Age of the newest sample of the server whose samples are oldest; zero if there are no samples.
  base::duration age{};
};
/// Returns the capacity of the first `max_services` services by name.
std::vector<service_capacity> SummarizeCapacity(const server_table& table, std::size_t max_services,
                                                base::time_point now);

}  // namespace limpetrouter::core::forwarding
