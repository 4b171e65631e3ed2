#include "core/routing/queue_window.h"

#include <algorithm>

namespace limpetrouter::core::routing {
namespace {

/// Above this share of delayed calls, an extra call mainly delays other calls.
constexpr double kSaturatedShare = 0.4;
constexpr double kSaturatedShedShare = 0.02;
/// With fewer calls, the measured shares are not significant.
constexpr std::uint32_t kMinCalls = 5;

void Rotate(queue_window& window, base::time_point now) {
  const base::duration age = now - window.started;
  if (age < kQueueWindow) return;
  const bool recent = age < 3 * kQueueWindow;
  window.last_calls = recent ? window.calls : 0;
  window.last_delayed = recent ? window.delayed : 0;
  window.last_shed = recent ? window.shed : 0;
  window.last_total_delay_us = recent ? window.total_delay_us : 0;
  window.calls = 0;
  window.delayed = 0;
  window.shed = 0;
  window.total_delay_us = 0;
  window.started = now;
}

}  // namespace

base::duration QueueTarget(base::duration typical_latency) {
  return std::max<base::duration>(typical_latency / 4, std::chrono::milliseconds(5));
}

void AddQueueDelay(queue_window& window, base::duration queue_time, base::duration target, base::time_point now) {
  Rotate(window, now);
  ++window.calls;
  if (queue_time > target) ++window.delayed;
  window.total_delay_us += queue_time.count();
}

void AddShed(queue_window& window, base::time_point now) {
  Rotate(window, now);
  ++window.shed;
}

queue_state QueueState(const queue_window& window, base::time_point now) {
  queue_state state;
  if (now - window.started > 3 * kQueueWindow) return state;
  state.calls = window.calls + window.last_calls;
  state.shed = window.shed + window.last_shed;
  if (state.calls == 0) return state;
  state.delayed_share = static_cast<double>(window.delayed + window.last_delayed) / state.calls;
  state.mean = base::duration((window.total_delay_us + window.last_total_delay_us) / state.calls);
  return state;
}

bool IsSaturated(const queue_window& window, base::time_point now) {
  const queue_state state = QueueState(window, now);
  if (state.calls + state.shed < kMinCalls) return false;
  if (state.delayed_share > kSaturatedShare) return true;
  return state.shed > kSaturatedShedShare * (state.calls + state.shed);
}

}  // namespace limpetrouter::core::routing
