#pragma once

#include <cstdint>

#include "core/base/time.h"
#include "core/routing/queue_window.h"

namespace limpetrouter::core::routing {

/// Adaptive limit on the queries in flight of one collection at one entry. The weight of a query is the share of the
/// collection's shards that it calls.
struct admission_limit {
  /// Maximum of `weight_in_flight`. Zero until the first query sets it from the configured slots.
  double limit = 0;
  /// The limit that the first query set. An idle limit returns to this value.
  double initial_limit = 0;
  /// Lower bound of the limit. If all entries are at this bound, calls wait for about two call times.
  double floor = 1;
  /// Adjustment periods in a row with a standing queue.
  std::uint32_t standing_periods = 0;
  double weight_in_flight = 0;
  std::uint32_t in_flight = 0;
  /// Highest weight in flight since the last adjustment.
  double peak = 0;
  /// When the limit was last adjusted.
  base::time_point adjusted{};
  /// Queries refused since the last adjustment. If there are none, the limit does not restrict the load and need not
  /// grow above `initial_limit`.
  std::uint32_t refused_in_period = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Exponentially weighted mean duration of finished queries in microseconds, from which the advised retry delay is
  /// computed.
  double mean_query_us = 0;
};

/// Returns whether one more query is admitted. The limit does not apply to urgent queries, and a query is always
/// admitted if no other query is in flight.
bool Admits(const admission_limit& limit, double weight, bool urgent);
void CountAdmitted(admission_limit& limit, double weight);
void CountEnded(admission_limit& limit, double weight, base::duration query_time);

/// Adjusts the limit once per adjustment period. `worst` is the state of the most loaded service of the collection, and
/// `typical_latency` is the typical latency of a call.
void AdjustLimit(admission_limit& limit, const queue_state& worst, base::duration typical_latency,
                 base::time_point now);

}  // namespace limpetrouter::core::routing
