#pragma once

#include <cstdint>

#include "core/base/time.h"
#include "core/routing/queue_window.h"

namespace limpetrouter::core::routing {

/// Adaptive limit on the queries in flight of one collection at one entry. A query weighs as much as the share of the
/// collection's shards that it touches.
struct admission_limit {
  /// Zero until the first query sets it from the configured slots.
  double limit = 0;
  /// The limit that the first query set. An idle limit returns to it.
  double initial_limit = 0;
  /// The limit does not fall below it. If all entries are at their floor, calls wait for about two call times.
  double floor = 1;
  /// Adjustment periods in a row with a standing queue.
  std::uint32_t standing_periods = 0;
  double weight_in_flight = 0;
  std::uint32_t in_flight = 0;
  /// Highest weight in flight since the last adjustment.
  double peak = 0;
  base::time_point adjusted{};
  /// No refusal since the last adjustment means that the limit does not bind and need not grow above `initial_limit`.
  std::uint32_t refused_in_period = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Mean time of finished queries, for the advice when to try again.
  double mean_query_us = 0;
};

/// Whether one more query fits. Urgent ones pass the adaptive limit; a lone query always fits.
bool Admits(const admission_limit& limit, double weight, bool urgent);
void CountAdmitted(admission_limit& limit, double weight);
void CountEnded(admission_limit& limit, double weight, base::duration query_time);

/// Adjusts the limit to the queueing delay of the most loaded service of the collection, once an adjustment period.
/// `healthy` is the usual latency of a call.
void AdjustLimit(admission_limit& limit, const queue_state& worst, base::duration typical_latency,
                 base::time_point now);

}  // namespace limpetrouter::core::routing
