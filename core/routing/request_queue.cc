#include "core/routing/request_queue.h"

#include <cmath>

namespace limpetrouter::core::routing {
namespace {

/// Time constant of the rates. Long enough to hold some calls, short enough to follow the start of a burst.
constexpr double kRateTimeUs = 300'000;
/// Weight of one call in the average time of a call.
constexpr double kCallTimeWeight = 0.05;

}  // namespace

void AddEvents(rate_meter& meter, double events, base::time_point now) {
  meter.per_second = RateOf(meter, now) + events * 1e6 / kRateTimeUs;
  meter.updated = now;
}

double RateOf(const rate_meter& meter, base::time_point now) {
  return meter.per_second * std::exp(-static_cast<double>((now - meter.updated).count()) / kRateTimeUs);
}

void AddCallTime(request_queue& queue, base::duration time, base::time_point now) {
  AddEvents(queue.ended, 1, now);
  queue.call_time_at = now;
  const auto us = static_cast<double>(time.count());
  queue.call_time_us = queue.call_time_us == 0 ? us : queue.call_time_us + kCallTimeWeight * (us - queue.call_time_us);
}

double RateBefore(const request_queue& queue, const urgency_class& limit, base::time_point now) {
  double rate = 0;
  for (const auto& [parts_class, meter] : queue.admitted) {
    if (parts_class < limit) rate += RateOf(meter, now);
  }
  return rate;
}

void Push(request_queue& queue, const queue_position& position, base::time_point now) {
  if (queue.parts.empty()) queue.waiting_since = now;
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
