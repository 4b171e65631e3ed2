#pragma once

#include <cstdint>

#include "core/base/time.h"

namespace limpetrouter::core::routing {

/// Length of one window of queueing delay measurements.
inline constexpr base::duration kQueueWindow = std::chrono::milliseconds(100);

/// Queueing delays of recent calls, which gatherers report. Holds the current and the last complete window.
struct queue_window {
  base::time_point started{};
  std::uint32_t calls = 0;
  /// Calls that waited longer than the target.
  std::uint32_t delayed = 0;
  std::uint32_t shed = 0;
  std::int64_t total_delay_us = 0;
  std::uint32_t last_calls = 0;
  std::uint32_t last_delayed = 0;
  std::uint32_t last_shed = 0;
  std::int64_t last_total_delay_us = 0;
};

/// Returns the longest queueing delay that does not indicate overload: a quarter of the typical call latency, at least
/// 5 ms.
base::duration QueueTarget(base::duration typical_latency);

void AddQueueDelay(queue_window& window, base::duration queue_time, base::duration target, base::time_point now);
void AddShed(queue_window& window, base::time_point now);

/// Load of a queue, over the last complete and the current window.
struct queue_state {
  /// Share of calls that waited longer than the target.
  double delayed_share = 0;
  base::duration mean{};
  std::uint32_t calls = 0;
  std::uint32_t shed = 0;
};
/// Returns the state at `now`; all values are zero if there are no recent calls.
queue_state QueueState(const queue_window& window, base::time_point now);

/// Returns true if many calls wait or are shed, so that hedges and retries would delay other calls.
bool IsSaturated(const queue_window& window, base::time_point now);

}  // namespace limpetrouter::core::routing
